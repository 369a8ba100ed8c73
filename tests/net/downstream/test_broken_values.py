"""Long values that break off midway: what becomes of them, and of the responses around them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ironrail.net.protocol import meta_codec
from tests.net.downstream.test_long_values import HEAD, LONG, asked
from tests.peers import World, scenario, until


# An entry ran and was never answered: a long value behind it broke off, of which nothing had been written.
@scenario
async def test_a_value_that_breaks_off_before_its_turn_leaves_the_response_ahead_of_it() -> None:
    world = await World(max_attempts=1).start()
    client = await world.client()
    client.put("0", b"entry")
    entry = await world.origin.next()
    client.get("1")
    client.get("2")
    behind = {m.flag: m for m in (await world.cache.next(), await world.cache.next())}
    behind[b"O1"].reply(HEAD + LONG[:1000])
    await asyncio.sleep(0.02)
    behind[b"O1"].reset()
    await until(lambda: "1" not in world.node._dispatcher.requests.by_id)
    behind[b"O2"].reply_value(b"v")
    entry.respond(b"r")
    assert await client.line() == b"HD O0 cr\r\n"
    assert await client.line() == meta_codec.FAILED
    assert await client.value("2") == b"v"


# Earlier responses that the client had not read yet were lost when a value behind them broke off.
@scenario
async def test_a_value_that_breaks_off_leaves_unread_responses_to_be_read() -> None:
    world = await World().start()
    client = await world.client()
    client.reader._transport.pause_reading()  # type: ignore[attr-defined]
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for connection in world.node._client_listener.context.connections.values():
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.get("0")
    client.get("1")
    got = {m.flag: m for m in (await world.cache.next(), await world.cache.next())}
    got[b"O0"].reply_value(LONG[:60_000])
    got[b"O1"].reply(HEAD + LONG[:1000])  # too little to pause its server
    await until(lambda: world.node._dispatcher.requests.by_id.keys() == {"1"})
    await asyncio.sleep(0.02)
    got[b"O1"].reset()
    await until(lambda: not world.node._dispatcher.requests.by_id)
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    assert await client.value("0") == LONG[:60_000]
    await client.line()
    with pytest.raises(asyncio.IncompleteReadError):
        await client.reader.readexactly(len(LONG))


# A long value that is longer than the origin told was served without its end.
@scenario
async def test_a_long_value_of_the_origin_that_goes_on_behind_its_length_is_broken_off() -> None:
    world = await World().start()
    client, got = await asked(world)
    got.reply(b"EN O1\r\n")
    told = 100_000
    (await world.origin.next()).reply(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % told + LONG[: told + 20]
    )
    assert await client.line() == b"VA %d O1\r\n" % told
    with pytest.raises(asyncio.IncompleteReadError):
        await client.reader.readexactly(told + 2)


# A long value that its server wrote slowly was cut off: an attempt behind it was revoked with its connection.
@scenario
async def test_a_slow_long_value_goes_on_when_an_attempt_behind_it_is_overdue() -> None:
    world = await World(hedging_allowed=False).start()
    world.node._dispatcher.pools["c"].manager.state.max_connections = 1
    reader, other = await world.client(), await world.client()
    reader.get("1")
    first = await world.cache.next()
    other.get("2", key="k2", wait=2000)
    second = await world.cache.next()
    assert second.writer is first.writer
    first.reply(HEAD + LONG[:100_000])
    assert await other.line() in (meta_codec.FAILED, meta_codec.write_busy(0.005))
    first.reply(LONG[100_000:] + b"\r\n")
    assert await reader.value("1") == LONG
