"""Long writes that wait for memory: the wait ends with their deadline, and when their client leaves."""

from __future__ import annotations

import asyncio
import time

import pytest

from ironrail.connections.downstream import session_timeouts
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.net.dispatch.memory_grants import release_memory
from ironrail.net.dispatch.value_streamer import STREAM_BUFFER_BYTES
from ironrail.net.downstream.client_connection import ClientConnection
from ironrail.net.protocol import meta_codec
from tests.net.downstream.test_value_memory import LONG, world_with_memory, write
from tests.peers import Client, World, scenario, until

BUSY = meta_codec.write_busy(None)
OWED_SECONDS = 3.0  # a client that stops in the middle of a request gets an error or a close by then
SLACK_SECONDS = 0.05  # of the protocol page, for each time limit


async def without_memory() -> tuple[World, MemoryBudget]:
    """Start a router whose memory for long values is reserved by another owner."""
    world, budget = await world_with_memory(len(LONG))
    assert budget.reserve("another", len(LONG))
    return world, budget


def free(world: World, budget: MemoryBudget) -> None:
    budget.release("another")
    world.node._client_listener.context.grant_memory()


async def waiting_write(world: World, budget: MemoryBudget, fields: bytes) -> Client:
    client = await world.client()
    client.send(write(b"1", fields))
    await until(lambda: budget.waiting_count)
    return client


# A write that had been read by the machine, and waited for memory, got no answer in its time.
@scenario
async def test_a_write_that_waits_for_memory_is_rejected_before_its_deadline() -> None:
    world, budget = await without_memory()
    client = await world.client()
    sent_at = time.monotonic()
    client.send(write(b"1", b"c=once,t=x,d=400") + b"mg k v O2 Pc=read,t=x,d=5000\r\n")
    assert await client.line() == BUSY
    assert time.monotonic() - sent_at <= 0.4 + SLACK_SECONDS
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("2") == b"v"  # the command behind it is answered too
    assert world.origin.messages.empty() and not budget.waiting_count
    assert world.node._dispatcher.request_metrics.busy["once"] == 1


# A keyed write whose client had left was sent to the origin once there was memory for it.
@scenario
async def test_a_write_whose_client_left_while_it_waited_for_memory_is_not_sent() -> None:
    world, budget = await without_memory()
    client = await world.client()
    client.put("0", b"short")  # so that a connection to the origin is open
    (await world.origin.next()).respond(b"receipt")
    await client.line()
    data = write(b"1", b"c=keyed,t=x,d=5000,k=a", bytes(96 * 1024))
    client.send(data[:40_000])
    await until(lambda: budget.waiting_count)
    client.send(data[40_000:])
    client.close()
    await asyncio.sleep(0.02)
    free(world, budget)
    await asyncio.sleep(0.1)
    assert world.origin.messages.empty() and not budget.reserved_bytes


@scenario
async def test_a_client_that_leaves_gives_up_its_place_in_the_queue_for_memory() -> None:
    world, budget = await without_memory()
    client = await world.client()
    client.send(write(b"1", value=bytes(96 * 1024))[:40_000])  # so little that the close gets through
    await until(lambda: budget.waiting_count)
    client.close()
    left_at = time.monotonic()
    await until(lambda: not budget.waiting_count)
    assert time.monotonic() - left_at < 1.0


# A write that had waited for memory was given its whole time anew, and its server told too long a wait.
@scenario
async def test_the_deadline_of_a_write_includes_its_wait_for_memory() -> None:
    world, budget = await without_memory()
    client = await waiting_write(world, budget, b"c=once,t=x,d=1000")
    sent_at = time.monotonic()
    await asyncio.sleep(0.6)
    free(world, budget)
    put = await world.origin.next()
    told_ms = int(put.headers["request-info"].partition("d=")[2].partition(",")[0])
    assert told_ms <= 400
    await client.line()
    assert time.monotonic() - sent_at <= 1.0 + SLACK_SECONDS


@pytest.mark.parametrize("sent_bytes", [0, 300_000])
@pytest.mark.parametrize("memory_comes", [False, True])
@scenario
async def test_a_client_that_stops_while_it_waits_for_memory_is_answered_in_time(
    sent_bytes: int, memory_comes: bool
) -> None:
    world, budget = await without_memory()
    client = await world.client()
    data = write(b"1", b"c=once,t=x,d=5000")
    client.send(data[: data.index(b"\r\n") + 2 + sent_bytes])
    sent_at = time.monotonic()
    await until(lambda: budget.waiting_count)
    if memory_comes:
        await asyncio.sleep(session_timeouts.COMMAND_TIMEOUT_SECONDS - 0.2)
        free(world, budget)
    assert await client.line() in (BUSY, meta_codec.COMMAND_TIMEOUT)
    assert time.monotonic() - sent_at < OWED_SECONDS


# A rejected value is not kept, and its client is not answered twice for it.
@scenario
async def test_a_client_that_stops_in_a_rejected_value_gets_no_second_response() -> None:
    world, budget = await without_memory()
    client = await world.client()
    client.send(write(b"1", b"c=once,t=x,d=100")[:300_000])
    assert await client.line() == BUSY
    assert await client.ended()
    assert not budget.waiting_count


@scenario
async def test_a_bad_write_does_not_wait_for_memory() -> None:
    world, _ = await without_memory()
    client = await world.client()
    client.send(write(b"1", b"c=once,t=x,d=soon") + b"mn\r\n")
    assert await client.line() == b"CLIENT_ERROR bad d\r\n"
    assert await client.line() == meta_codec.READY


@scenario
async def test_writes_that_wait_for_memory_are_rejected_when_a_shutdown_rejects_all() -> None:
    world, budget = await without_memory()
    client = await waiting_write(world, budget, b"c=once,t=x,d=5000")
    world.node._client_listener.reject_all()
    assert await client.line() == BUSY
    assert not budget.waiting_count


# A long write went on waiting although a long read had given all its memory back.
@scenario
async def test_the_memory_of_a_long_read_goes_to_a_write_that_waits() -> None:
    world, _ = await world_with_memory(STREAM_BUFFER_BYTES)
    reader, writer = await world.client(), await world.client()
    reader.get("1")
    read = await world.cache.next()
    read.reply(b"VA %d O1 h1\r\n" % len(LONG) + LONG[:100_000])
    await reader.line()
    data = write(b"2", value=bytes(96 * 1024))
    writer.send(data[:40_000])
    await until(lambda: world.node._dispatcher.memory_budget.waiting_count)
    writer.send(data[40_000:])
    read.reply(LONG[100_000:] + b"\r\n")
    await reader.reader.readexactly(len(LONG) + 2)
    (await world.origin.next()).respond(b"receipt")
    assert await writer.line() == b"HD O2 creceipt\r\n"


# A client that goes on sending was taken for silent, as all that it had sent counted as old.
@scenario
async def test_a_client_that_goes_on_after_a_wait_for_memory_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ClientConnection, "has_socket_input", lambda _: True)  # it sends without a rest
    world, budget = await without_memory()
    client = await world.client()
    data = write(b"1", b"c=once,t=x,d=5000")
    client.send(data[:300_000])
    await until(lambda: budget.waiting_count)
    await asyncio.sleep(session_timeouts.COMMAND_TIMEOUT_SECONDS - 0.2)
    free(world, budget)
    for start in range(300_000, len(data), 100_000):
        await asyncio.sleep(session_timeouts.RESUMED_VALUE_TIMEOUT_SECONDS - 0.2)
        client.send(data[start : start + 100_000])
    (await world.origin.next()).respond(b"receipt")
    assert await client.line() == b"HD O1 creceipt\r\n"


# A value that was read whole before it found memory counted as arrived when it did: its answer came late.
@scenario
async def test_the_wait_of_a_value_that_was_read_already_counts_towards_its_deadline() -> None:
    world, budget = await world_with_memory(100_000)
    assert budget.reserve("another", 95_000)
    client = await world.client()
    sent_at = time.monotonic()
    client.put("1", b"v" * 10_000, wait=600)
    await until(lambda: budget.waiting_count)
    await asyncio.sleep(0.4)
    release_memory(budget, "another")
    await world.origin.next()  # it never answers
    assert (await client.line()).startswith(b"SERVER_ERROR")
    assert time.monotonic() - sent_at < 0.6 + SLACK_SECONDS


# The wait for memory of a value that was read whole before it counted towards later requests as well.
@pytest.mark.parametrize("is_granted", [True, False])
@scenario
async def test_the_wait_for_memory_does_not_count_towards_a_later_request(is_granted: bool) -> None:
    world, budget = await world_with_memory(100_000)
    assert budget.reserve("another", 95_000)
    client = await world.client()
    client.put("1", b"v" * 10_000, wait=300)
    await until(lambda: budget.waiting_count)
    if is_granted:
        release_memory(budget, "another")
        (await world.origin.next()).respond(b"r")
    await client.line()
    await asyncio.sleep(0.5)
    client.get("2", wait=300)
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("2") == b"v"
