"""Clients whose connection a router ends: paused, slow to read, or full of bad commands."""

from __future__ import annotations

import asyncio

import pytest
from ironrail.connections.downstream import session_manager
from ironrail.net.downstream import client_listener

from tests.peers import World, scenario, until
from tests.test_clients import P, is_ready


@scenario
async def test_a_client_that_paused_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_manager, "IDLE", 0.1)
    monkeypatch.setattr(client_listener, "SWEEP", 0.02)
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    assert await client.ended()


@scenario
async def test_a_client_that_takes_no_answers_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_manager, "UNREAD", 0.1)
    monkeypatch.setattr(client_listener, "SWEEP", 0.02)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    n = 0
    while len(world.node._clients.places):
        if n < 400:
            client.get(str(n))
            n += 1
        while not world.cache.messages.empty():
            (await world.cache.next()).reply_value(b"x" * 65536)
        await asyncio.sleep(0.001)  # until the router has closed it


@scenario
async def test_hundreds_of_commands_at_once_are_taken_by_and_by() -> None:
    world = await World().start()
    client, other = await world.client(), await world.client()
    # writes, which the module holds till the origin has a place for them
    client.send(b"".join(b"ms k 1 O%d Pc=once,t=x,d=5000\r\nv\r\n" % n for n in range(300)))
    assert await is_ready(other)

    async def answer() -> None:
        while True:
            message = await world.origin.next()
            assert len(world.node._host.requests.by_id) <= session_manager.MOST_PIPELINED
            message.respond(b"r")

    task = asyncio.ensure_future(answer())
    for n in range(300):  # in order; the module may refuse some of so many
        line = await client.line()
        assert line == b"HD O%d cr\r\n" % n or line.startswith(b"SERVER_ERROR busy ")
    assert not task.done()
    task.cancel()


@scenario
async def test_a_crowd_of_bad_commands_ends_the_connection() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"what\r\n" * 5000)
    for _ in range(session_manager.MOST_BAD):
        assert await client.line() == b"ERROR\r\n"
    assert await client.ended()


@scenario
async def test_a_client_with_good_commands_between_is_kept() -> None:
    world = await World().start()
    client = await world.client()
    for _ in range(session_manager.MOST_BAD):
        client.send(b"what\r\nmn\r\n")
        assert [await client.line(), await client.line()] == [b"ERROR\r\n", b"MN\r\n"]


@scenario
async def test_what_comes_after_lost_framing_is_not_read() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    client.send(b"ms k 60000000 O2 " + P + b"\r\n" + b"x" * 60_000_000)
    place = next(iter(world.node._clients.places))
    await until(lambda: place.ending)
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
    assert (await client.line()).startswith(b"CLIENT_ERROR ")
    with pytest.raises(ConnectionError):
        await client.writer.drain()
        while True:
            await client.writer.wait_closed()
