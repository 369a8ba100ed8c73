"""Connections that the router closes: idle, with unread responses, or with bad commands."""

from __future__ import annotations

import asyncio
import errno

import pytest

from ironrail.connections.downstream import client_session, session_timeouts
from ironrail.net.downstream import client_listener
from ironrail.net.downstream.client_connection import ClientConnection
from tests.net.downstream.test_client_admission import P, is_ready
from tests.peers import World, scenario, until


@scenario
async def test_an_idle_connection_is_closed_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_timeouts, "IDLE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    assert await client.ended()


@scenario
async def test_a_failed_check_of_one_connection_does_not_end_the_timeouts_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against partial commands that get no error for the rest of the process's life."""
    monkeypatch.setattr(session_timeouts, "IDLE_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(session_timeouts, "COMMAND_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
    world = await World().start()
    client, other = await world.client(), await world.client()
    assert await is_ready(client)

    def fail(_: ClientConnection) -> bool:
        raise OSError(errno.ENOMEM, "Cannot allocate memory")

    monkeypatch.setattr(ClientConnection, "has_unread_input", fail)
    other.send(b"mg k v Ohalf ")
    assert (await other.line()).startswith(b"CLIENT_ERROR")


@scenario
async def test_a_client_that_reads_no_responses_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_timeouts, "UNREAD_RESPONSE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    n = 0
    while len(world.node._client_listener.sessions):
        if n < 400:
            client.get(str(n))
            n += 1
        while not world.cache.messages.empty():
            (await world.cache.next()).reply_value(b"x" * 65536)
        await asyncio.sleep(0.001)  # until the router has closed it


@scenario
async def test_pipelined_commands_beyond_the_limit_are_parsed_later() -> None:
    world = await World().start()
    client, other = await world.client(), await world.client()
    # writes, which the policy queues until the origin has capacity
    client.send(b"".join(b"ms k 1 O%d Pc=once,t=x,d=5000\r\nv\r\n" % n for n in range(300)))
    assert await is_ready(other)

    async def answer() -> None:
        while True:
            message = await world.origin.next()
            assert len(world.node._dispatcher.requests.by_id) <= client_session.MAX_PIPELINED_COMMANDS
            message.respond(b"r")

    task = asyncio.ensure_future(answer())
    for n in range(300):  # in order; the policy may shed some of so many
        line = await client.line()
        assert line == b"HD O%d cr\r\n" % n or line.startswith(b"SERVER_ERROR busy ")
    assert not task.done()
    task.cancel()


@scenario
async def test_consecutive_bad_commands_close_the_connection() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"what\r\n" * 5000)
    for _ in range(client_session.MAX_CONSECUTIVE_BAD_COMMANDS):
        assert await client.line() == b"ERROR\r\n"
    assert await client.ended()


@scenario
async def test_valid_commands_between_bad_ones_keep_the_connection_open() -> None:
    world = await World().start()
    client = await world.client()
    for _ in range(client_session.MAX_CONSECUTIVE_BAD_COMMANDS):
        client.send(b"what\r\nmn\r\n")
        assert [await client.line(), await client.line()] == [b"ERROR\r\n", b"MN\r\n"]


@scenario
async def test_input_after_a_framing_error_is_not_read() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    client.send(b"ms k 60000000 O2 " + P + b"\r\n" + b"x" * 60_000_000)
    session = next(iter(world.node._client_listener.sessions))
    await until(lambda: session.is_ending)
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
    assert (await client.line()).startswith(b"CLIENT_ERROR ")
    with pytest.raises(ConnectionError):
        await client.writer.drain()
        while True:
            await client.writer.wait_closed()
