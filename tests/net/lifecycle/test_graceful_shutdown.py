"""Graceful shutdown in the process of a test: any client timeouts, pending and unread commands."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import astuple, replace
from typing import Any

import pytest

from ironrail.connections.downstream import client_session
from ironrail.net.lifecycle import graceful_shutdown
from ironrail.net.lifecycle.graceful_shutdown import ShutdownSchedule, shutdown_schedule
from ironrail.net.lifecycle.node import Node
from ironrail.policy.settings import RequestClass
from tests.net.downstream.test_client_admission import is_ready
from tests.peers import LOCAL, ONCE, READ, SETTINGS, World, scenario, until


def of(*give_up: float) -> ShutdownSchedule:
    """The end of a router with classes of such deadlines."""
    rows = {f"c{n}": RequestClass(f"c{n}", 0.1, client_timeout=g) for n, g in enumerate(give_up)}
    return shutdown_schedule(replace(SETTINGS, classes=rows))


@pytest.mark.parametrize("longest", [0.0, 0.05, 0.3, 1.0, 1.7, 3.0, 9.0, float("inf")])
def test_all_requests_are_answered_before_sigkill_for_any_client_timeout(longest: float) -> None:
    steps = of(0.0, longest, min(longest, 0.4))
    killed = min(3.0, longest) + 0.7
    assert 0.4 < steps.accept_until < steps.idle_close_at < steps.partial_command_deadline
    assert steps.partial_command_deadline < steps.response_deadline < steps.exit_at < killed
    assert killed - steps.response_deadline <= 0.2  # and no request is given up sooner than it needs to be


def test_long_client_timeouts_use_the_whole_time_until_sigkill() -> None:
    assert astuple(of(9.0)) == astuple(of(3.0)) == pytest.approx((0.45, 1.0, 1.5, 3.55, 3.65))


SHORT = replace(READ, client_timeout=0.4)


async def short(**changes: Any) -> World:
    """A router all of whose deadlines are short."""
    once = replace(ONCE, client_timeout=0.4)
    return await World(classes={"read": SHORT, "once": once}, **changes).start()


@scenario
async def test_with_short_client_timeouts_all_requests_are_answered_before_sigkill() -> None:
    """All was answered 3.55 s after SIGTERM: SIGKILL came 1.1 s after it, and found what hung."""
    world = await short()
    client = await world.client()
    loop = asyncio.get_running_loop()
    began, sent = loop.time(), 0
    ending = asyncio.ensure_future(world.node.stop())
    while loop.time() - began < 0.85:  # its own pace up to the end; the cache never answers
        client.get(f"r{sent}", wait=400)
        sent += 1
        await asyncio.sleep(0.05)
    await ending
    assert loop.time() - began < 0.4 + 0.7 + 0.5  # and a busy machine besides
    for _ in range(sent):
        assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert await client.ended()


@scenario
async def test_hundreds_of_unparsed_commands_are_answered_at_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await short()
    client = await world.client()
    client.get("held", wait=400)
    await world.cache.next()
    client.send(b"".join(b"mg k v Or%d Pc=read,t=x,d=400\r\n" % n for n in range(300)))
    expire_all, late = world.node._dispatcher.expire_all, 0

    def end() -> None:
        nonlocal late
        if (
            not late
        ):  # more comes in the moment of the end: it is read, and held, once all others are answered
            late = 300
            writes = b"".join(b"ms k 1 Os%d Pc=once,t=x,d=400\r\nv\r\n" % n for n in range(late))
            client.writer.transport.write(writes)
        expire_all()

    monkeypatch.setattr(world.node._dispatcher, "expire_all", end)
    await world.node.stop()
    # here the process ends: all is answered, and said to be over
    assert (
        late
        and not world.node._dispatcher.requests.by_id
        and not world.node._client_listener.open_connections()
    )
    for _ in range(301 + late):
        assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert await client.ended()


@scenario
async def test_a_connection_with_unparsed_commands_is_not_closed() -> None:
    """More than a connection may have in hand was parsed a turn later, and its end came between."""
    world = await World().start()
    client, most = await world.client(), client_session.MAX_PIPELINED_COMMANDS
    client.send(b"mn\r\n" * (most + 2))
    looked = 0

    def look() -> None:
        nonlocal looked
        looked += 1
        world.node._client_listener.close_idle(True)
        if looked < 2000:
            loop.call_soon(look)

    loop = asyncio.get_running_loop()
    loop.call_soon(look)
    world.node._client_listener.start_draining()
    for _ in range(most + 2):
        assert await client.line() == b"SERVER_ERROR not ready\r\n"


@scenario
async def test_unread_responses_are_waited_for_and_arrive_complete() -> None:
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = world.node._client_listener.open_connections()[0], 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * 65536)
        await until(lambda: not connection.session.pending_responses)
        n += 1
    ending = asyncio.ensure_future(world.node.stop())
    poll_interval = graceful_shutdown.POLL_INTERVAL_SECONDS
    await asyncio.sleep(of(9.0).idle_close_at + 2 * poll_interval)  # idle ones are closed since
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    for i in range(n):
        assert await client.value(str(i)) == b"x" * 65536
    assert await client.ended()
    client.close()
    await ending


@scenario
async def test_a_client_that_never_closes_does_not_delay_the_exit() -> None:
    world = await short()
    rude = await world.client()
    assert await is_ready(rude)
    await world.node.stop()  # within the time of the whole test
    assert await rude.ended()


@scenario
async def test_a_router_that_never_listened_stops_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World().start()
    listen = world.address
    second = Node(replace(world.config(), listen_address=listen))
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop.__class__, "add_signal_handler", lambda *_: None, raising=False)
    second.start()
    assert second._handover._task is not None and not second._is_listening
    await asyncio.wait_for(second.stop(), graceful_shutdown.ACCEPT_SECONDS / 2)
    await asyncio.sleep(0)
    assert second._handover._task.cancelled() and not second._is_listening


@scenario
async def test_a_failed_handover_raises_the_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    """It went on without a listener: a process that nobody could reach."""
    monkeypatch.setattr("ironrail.net.lifecycle.handover.ENDPOINT_LIST_TIMEOUT_SECONDS", 0.05)
    world = await World().start()
    with socket.create_server((LOCAL, 0)) as taken:  # by who does not share
        node = Node(replace(world.config(), listen_address=taken.getsockname()[:2]))
        with pytest.raises(OSError, match="use"):
            await asyncio.wait_for(node.serve(), 5.0)
    node._endpoint_watcher.stop()


@scenario
async def test_a_reload_during_shutdown_is_rejected() -> None:
    world = await World().start()
    world.node._reloader._read = lambda: replace(world.config(), discovery_address=(LOCAL, 9))
    task = world.node._endpoint_watcher._task
    world.node._client_listener.start_draining()
    world.node.reload()
    assert (
        world.node._endpoint_watcher._task is task and world.node._reloader.config.discovery_address[1] != 9
    )
