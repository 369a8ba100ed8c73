"""Values too long to be buffered, in both directions, on loopback sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.connections.upstream import pool_manager
from ironrail.connections.upstream.connection import ReplyState
from ironrail.net.dispatch.value_streamer import STREAM_BUFFER_BYTES
from ironrail.net.protocol import meta_codec
from tests.peers import Client, Message, World, scenario, until

LONG = bytes(range(256)) * 4096  # 1 MiB
HEAD = b"VA %d O1 h1\r\n" % len(LONG)


async def asked(world: World, wait: int = 5000) -> tuple[Client, Message]:
    client = await world.client()
    client.get("1", wait=wait)
    return client, await world.cache.next()


@scenario
async def test_a_server_connection_is_resumed_after_the_last_chunk_paused_it() -> None:
    world = await World().start()
    client, got = await asked(world)
    client.reader._transport.pause_reading()  # type: ignore[attr-defined]
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    for connection in world.node._client_listener.context.connections.values():
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    value = LONG[: 600 * 1024]
    whole = b"VA %d O1 h1\r\n" % len(value) + value + b"\r\n"
    got.reply(whole)
    while world.node._dispatcher.requests.by_id:  # the system and the router hold what is left
        client.reader._transport.resume_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.001)
    assert await client.value("1") == value
    client.get("2")
    again = await world.cache.next()
    assert again.writer is got.writer
    again.reply_value(b"v")
    assert await client.value("2") == b"v"


@pytest.mark.parametrize("cut", [1, len(HEAD) - 1, len(HEAD), len(HEAD) + 70_000, len(HEAD) + len(LONG) + 1])
@scenario
async def test_a_long_value_split_at_any_point_arrives_complete(cut: int) -> None:
    world = await World().start()
    client, got = await asked(world)
    whole = HEAD + LONG + b"\r\n"
    got.reply(whole[:cut])
    await asyncio.sleep(0.01)
    got.reply(whole[cut:])
    assert await client.value("1") == LONG
    client.get("2")
    again = await world.cache.next()
    assert again.writer is got.writer  # nothing is left on it
    again.reply_value(b"v")
    assert await client.value("2") == b"v"
    assert world.node._dispatcher.memory_budget.free_bytes == world.node._dispatcher.memory_budget.total_bytes


@scenario
async def test_only_the_first_bytes_of_a_long_value_have_a_deadline() -> None:
    world = await World().start()
    client, got = await asked(world, wait=1000)
    got.reply(HEAD + LONG[:1000])
    assert await client.line() == b"VA %d O1\r\n" % len(LONG)
    await asyncio.sleep(1.1)  # its client's time is up, and it has begun
    got.reply(LONG[1000:] + b"\r\n")
    assert await client.reader.readexactly(len(LONG) + 2) == LONG + b"\r\n"


@scenario
async def test_a_long_value_from_the_origin_is_streamed() -> None:
    world = await World().start()
    client, got = await asked(world)
    got.reply(b"EN O1\r\n")
    fetch = await world.origin.next()
    fetch.respond(LONG)
    assert await client.value("1") == LONG


@scenario
async def test_a_truncated_long_value_closes_the_client_connection() -> None:
    world = await World().start()
    client, got = await asked(world)
    got.reply(HEAD + LONG[:100_000])
    await client.line()
    got.end()
    with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
        await client.reader.readexactly(len(LONG))
    assert not world.node._dispatcher.requests.by_id


@scenario
async def test_a_slow_reader_pauses_only_its_own_server_connection() -> None:
    world = await World().start()
    client, got = await asked(world)
    client.reader._transport.pause_reading()  # type: ignore[attr-defined]
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    for (
        connection
    ) in world.node._client_listener.context.connections.values():  # or the system takes all of it
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    huge = bytes(meta_codec.MAX_VALUE_BYTES)
    got.reply(b"VA %d O1 h1\r\n" % len(huge) + huge + b"\r\n")
    host = world.node._dispatcher
    await until(lambda: host.requests.by_id and next(iter(host.requests.by_id.values())).streamed_attempt)
    link = next(iter(host.attempts)).attempt.connection
    assert link is not None
    await until(lambda: link.reply_state is ReplyState.PAUSED)
    other = await world.client()
    other.get("2")
    (await world.cache.next()).reply_value(b"v")
    assert await other.value("2") == b"v"
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    assert await client.value("1") == huge


@scenario
async def test_a_long_value_is_cancelled_when_its_client_disconnects() -> None:
    world = await World().start()
    client, got = await asked(world)
    got.reply(HEAD + LONG[:100_000])
    await client.line()
    client.close()
    assert await world.cache.ended.acquire()
    room = world.node._dispatcher.memory_budget
    assert room.free_bytes == room.total_bytes and not world.node._dispatcher.attempts


@scenario
async def test_a_long_value_without_memory_is_a_failed_attempt() -> None:
    world = await World().start()
    room = world.node._dispatcher.streamer.memory_budget = MemoryBudget(STREAM_BUFFER_BYTES)
    assert room.reserve("another", 1)
    client, got = await asked(world, wait=200)
    got.reply(HEAD + LONG + b"\r\n")
    assert (await client.line()).startswith(b"SERVER_ERROR")


@scenario
async def test_a_long_response_waits_for_earlier_responses() -> None:
    world = await World().start()
    client = await world.client()
    client.get("0")
    client.get("1")
    got = {m.flag: m for m in (await world.cache.next(), await world.cache.next())}
    got[b"O1"].reply(HEAD + LONG + b"\r\n")
    await asyncio.sleep(0.02)
    got[b"O0"].reply_value(b"first")
    assert await client.value("0") == b"first"
    assert await client.value("1") == LONG


@scenario
async def test_a_slowly_received_reply_is_not_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_manager, "PARTIAL_REPLY_TIMEOUT_SECONDS", 1.0)
    world = await World().start()
    client, got = await asked(world)
    for byte in b"VA 6 O1\r\nvalues\r\n":
        got.reply(bytes([byte]))
        world.node._dispatcher.pools["c"].expire()
        await asyncio.sleep(0.08)  # longer in all than one may stand still
    assert await client.value("1") == b"values"


@scenario
async def test_long_writes_wait_for_memory_and_are_read_in_order() -> None:
    world = await World().start()
    world.node._dispatcher.streamer.memory_budget = MemoryBudget(len(LONG) + 1000)
    first, second = await world.client(), await world.client()
    first.put("1", LONG)
    put = await world.origin.next()
    second.put("2", LONG)
    await asyncio.sleep(0.05)
    assert "2" not in world.node._dispatcher.requests.by_id  # not taken: its value is not read
    put.respond(b"r1")
    assert await first.line() == b"HD O1 cr1\r\n"
    put = await world.origin.next()
    assert put.value == LONG
    put.respond(b"r2")
    assert await second.line() == b"HD O2 cr2\r\n"
    assert world.node._dispatcher.memory_budget.free_bytes == len(LONG) + 1000


@scenario
async def test_a_client_that_disconnects_while_waiting_for_memory_blocks_no_other() -> None:
    world = await World().start()
    room = world.node._dispatcher.streamer.memory_budget = MemoryBudget(len(LONG))
    assert room.reserve("another", len(LONG))
    leaver, stays = await world.client(), await world.client()
    leaver.send(b"ms k %d O1 Pc=once,t=x,d=5000\r\n" % len(LONG) + LONG[:-1000])
    await until(lambda: room.waiting_count)
    stays.put("2", LONG)
    await until(lambda: room.waiting_count == 2)
    leaver.close()
    room.release("another")
    world.node._client_listener.context.grant_memory()  # the leaver, who is found to be gone
    put = await world.origin.next()
    assert put.value == LONG


# A client waited without end for a value whose silent server had been removed from the endpoint list.
@scenario
async def test_a_long_value_of_a_removed_server_is_given_up_when_no_more_of_it_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool_manager, "STREAM_TIMEOUT_SECONDS", 0.3)
    world = await World().start()
    client, got = await asked(world)
    got.reply(HEAD + LONG[:100_000])
    await client.line()
    await world.tell(world.cache.row("c", state="terminated"))
    assert "c" not in world.node._dispatcher.pools
    with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
        await client.reader.readexactly(len(LONG))
    budget = world.node._dispatcher.memory_budget
    assert budget.reserved_bytes == 0 and not world.node._dispatcher.attempts
    await until(lambda: not world.node._dispatcher._pool_registry.removed)
