"""A router's end in the process of a test: deadlines of any length, what is held, what is unread."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import astuple, replace
from typing import Any

import pytest
from ironrail.connections.downstream import session_manager
from ironrail.net.lifecycle import graceful_shutdown
from ironrail.net.lifecycle.graceful_shutdown import ShutdownSchedule, shutdown_schedule
from ironrail.net.lifecycle.node import Node
from ironrail.policy.settings import RequestClass

from tests.peers import LOCAL, ONCE, READ, SETTINGS, World, scenario, until
from tests.test_clients import is_ready


def of(*give_up: float) -> ShutdownSchedule:
    """The end of a router with classes of such deadlines."""
    rows = {f"c{n}": RequestClass(f"c{n}", 0.1, client_timeout=g) for n, g in enumerate(give_up)}
    return shutdown_schedule(replace(SETTINGS, classes=rows))


@pytest.mark.parametrize("longest", [0.0, 0.05, 0.3, 1.0, 1.7, 3.0, 9.0, float("inf")])
def test_all_is_answered_before_the_platform_may_kill_whatever_the_deadlines(longest: float) -> None:
    steps = of(0.0, longest, min(longest, 0.4))
    killed = min(3.0, longest) + 0.7
    assert 0.4 < steps.connections < steps.rest < steps.halves < steps.answers < steps.end < killed
    assert killed - steps.answers <= 0.2  # and no request is given up sooner than it needs to be


def test_where_deadlines_are_long_the_end_is_as_late_as_it_may_be() -> None:
    assert astuple(of(9.0)) == astuple(of(3.0)) == pytest.approx((0.45, 1.0, 1.5, 3.55, 3.65))


SHORT = replace(READ, client_timeout=0.4)


async def short(**changes: Any) -> World:
    """A router all of whose deadlines are short."""
    once = replace(ONCE, client_timeout=0.4)
    return await World(classes={"read": SHORT, "once": once}, **changes).start()


@scenario
async def test_with_short_deadlines_nothing_is_unanswered_when_the_platform_may_kill() -> None:
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
async def test_hundreds_of_commands_that_the_end_finds_unparsed_have_their_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await short()
    client = await world.client()
    client.get("held", wait=400)
    await world.cache.next()
    client.send(b"".join(b"mg k v Or%d Pc=read,t=x,d=400\r\n" % n for n in range(300)))
    expire_all, late = world.node._host.expire_all, 0

    def end() -> None:
        nonlocal late
        if (
            not late
        ):  # more comes in the moment of the end: it is read, and held, once all others are answered
            late = 300
            writes = b"".join(b"ms k 1 Os%d Pc=once,t=x,d=400\r\nv\r\n" % n for n in range(late))
            client.writer.transport.write(writes)
        expire_all()

    monkeypatch.setattr(world.node._host, "expire_all", end)
    await world.node.stop()
    # here the process ends: all is answered, and said to be over
    assert late and not world.node._host.requests.by_id and not world.node._clients.all()
    for _ in range(301 + late):
        assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert await client.ended()


@scenario
async def test_what_is_read_and_not_yet_parsed_is_not_shut_over() -> None:
    """More than a connection may have in hand was parsed a turn later, and its end came between."""
    world = await World().start()
    client, most = await world.client(), session_manager.MOST_PIPELINED
    client.send(b"mn\r\n" * (most + 2))
    looked = 0

    def look() -> None:
        nonlocal looked
        looked += 1
        world.node._clients.end_waiting(True)
        if looked < 2000:
            loop.call_soon(look)

    loop = asyncio.get_running_loop()
    loop.call_soon(look)
    world.node._clients.drain()
    for _ in range(most + 2):
        assert await client.line() == b"SERVER_ERROR not ready\r\n"


@scenario
async def test_answers_that_are_not_yet_taken_are_waited_for_and_arrive_whole() -> None:
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = world.node._clients.all()[0], 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * 65536)
        await until(lambda: not connection.place.open)
        n += 1
    ending = asyncio.ensure_future(world.node.stop())
    await asyncio.sleep(of(9.0).rest + 2 * graceful_shutdown.LOOK)  # resting ones were shut since
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    for i in range(n):
        assert await client.value(str(i)) == b"x" * 65536
    assert await client.ended()
    client.close()
    await ending


@scenario
async def test_one_that_never_closes_does_not_keep_the_process() -> None:
    world = await short()
    rude = await world.client()
    assert await is_ready(rude)
    await world.node.stop()  # within the time of the whole test
    assert await rude.ended()


@scenario
async def test_a_router_that_never_listened_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World().start()
    listen = world.address
    second = Node(replace(world.config(), listen=listen))
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop.__class__, "add_signal_handler", lambda *_: None, raising=False)
    second.start()
    assert second._late is not None and not second._listening
    await asyncio.wait_for(second.stop(), graceful_shutdown.LAST_CONNECTIONS / 2)
    await asyncio.sleep(0)
    assert second._late.cancelled() and not second._listening


@scenario
async def test_one_that_can_not_share_the_address_ends_with_the_reason(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It went on without a listener: a process that nobody could reach."""
    monkeypatch.setattr("ironrail.net.lifecycle.node.LIST_WAIT", 0.05)
    world = await World().start()
    with socket.create_server((LOCAL, 0)) as taken:  # by who does not share
        node = Node(replace(world.config(), listen=taken.getsockname()[:2]))
        with pytest.raises(OSError, match="use"):
            await asyncio.wait_for(node.serve(), 5.0)
    node._discovery.stop()


@scenario
async def test_told_to_read_its_configuration_while_it_ends_it_begins_nothing_anew() -> None:
    world = await World().start()
    world.node._reread = lambda: replace(world.config(), discovery=(LOCAL, 9))
    task = world.node._discovery._task
    world.node._clients.drain()
    world.node.reload()
    assert world.node._discovery._task is task and world.node._config.discovery[1] != 9
