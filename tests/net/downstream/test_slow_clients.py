"""Clients that take or send long values slowly, and never stop for long."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.connections.downstream import session_timeouts
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.dispatch.value_streamer import STREAM_BUFFER_BYTES
from ironrail.net.downstream import client_listener
from tests.net.downstream.test_connection_close import connection_of
from tests.net.downstream.test_response_memory import slow_client
from tests.peers import Client, World, scenario, until

TIMEOUT_SECONDS = 0.4
PIECE_BYTES = 16_384
PIECE_SECONDS = 0.01
VALUE = bytes(range(256)) * 1024  # 256 KiB


def shorten_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    half_closed = "ironrail.net.downstream.half_closed"
    monkeypatch.setattr(session_timeouts, "UNREAD_RESPONSE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(f"{half_closed}.UNREAD_RESPONSE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(f"{half_closed}.LINGER_SECONDS", 0.05)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)


async def read_slowly(client: Client, size: int) -> bytes:
    """Read `size` bytes in small pieces, seldom enough that the buffers ahead of them stay full."""
    received = b""
    while len(received) < size:
        client.reader._transport.resume_reading()  # type: ignore[attr-defined]
        piece = await client.reader.read(min(PIECE_BYTES, size - len(received)))
        client.reader._transport.pause_reading()  # type: ignore[attr-defined]
        assert piece, f"the connection ended after {len(received)} of {size} bytes"
        received += piece
        await asyncio.sleep(PIECE_SECONDS)
    return received


# A client that read long values slowly, without a pause, was cut off: only empty buffers counted as progress.
@scenario
async def test_a_client_that_takes_a_long_value_slowly_gets_all_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeouts(monkeypatch)
    world = await World().start()
    client = await slow_client(world)
    client.get("1")
    (await world.cache.next()).reply_value(VALUE)
    expected = b"VA %d O1\r\n" % len(VALUE) + VALUE + b"\r\n"
    assert await read_slowly(client, len(expected)) == expected


async def client_with_unread_values(world: World) -> tuple[Client, bytes]:
    """Return a client that has not read its responses, and the responses."""
    client = await slow_client(world)
    value = VALUE[:60_000]
    for number in range(4):
        client.get(str(number), key=f"k{number}")
    for _ in range(4):
        (await world.cache.next()).reply_value(value)
    connection = connection_of(world)
    await until(lambda: connection.session.has_been_used and connection.session.is_idle)
    return client, b"".join(b"VA %d O%d\r\n" % (len(value), n) + value + b"\r\n" for n in range(4))


# The same with values that are short enough to be kept whole.
@scenario
async def test_a_client_that_takes_short_values_slowly_gets_all_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeouts(monkeypatch)
    world = await World().start()
    client, expected = await client_with_unread_values(world)
    assert await read_slowly(client, len(expected)) == expected


# A connection that the router had closed was cut off 10 s later, however steadily its client read.
@scenario
async def test_a_closed_connection_lingers_while_its_client_takes_the_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeouts(monkeypatch)
    world = await World().start()
    client, expected = await client_with_unread_values(world)
    connection_of(world).close()
    assert await read_slowly(client, len(expected)) == expected


# The other side: one that takes a part and then nothing is ended in time.
@scenario
async def test_a_client_that_stops_in_the_middle_of_a_long_value_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeouts(monkeypatch)
    progress = "ironrail.connections.downstream.transfer_progress"
    monkeypatch.setattr(f"{progress}.MAX_CREDIT_SECONDS", TIMEOUT_SECONDS)
    world = await World().start()
    client = await slow_client(world)
    client.get("1")
    (await world.cache.next()).reply_value(VALUE)
    await read_slowly(client, 4 * PIECE_BYTES)
    begun_at = asyncio.get_running_loop().time()
    await until(lambda: not world.node._client_listener.context.connections)
    assert asyncio.get_running_loop().time() - begun_at < 4 * TIMEOUT_SECONDS
    budget = world.node._dispatcher.memory_budget
    assert budget.reserved_bytes == 0 and not world.node._dispatcher.attempts


# Without a limit on the whole, one that takes a byte now and then would hold its memory for good.
@scenario
async def test_a_client_that_takes_a_byte_now_and_then_gives_way_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    progress = "ironrail.connections.downstream.transfer_progress"
    monkeypatch.setattr(f"{progress}.SLOW_GRACE_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(f"{progress}.MAX_CREDIT_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    world.node._dispatcher.streamer.memory_budget = MemoryBudget(STREAM_BUFFER_BYTES + 100_000)
    slow = await slow_client(world)
    slow.get("slow", key="k1")
    (await world.cache.next()).reply_value(VALUE)
    await until(lambda: world.node._dispatcher.memory_budget.reserved_bytes)
    await asyncio.sleep(2 * TIMEOUT_SECONDS)
    closes = world.node._dispatcher.diagnostics.client_closes
    assert not closes[ClientCloseReason.TOO_SLOW]  # nobody waits
    writer = await world.client()
    writer.put("writer", VALUE)
    assert (await world.origin.next()).value == VALUE
    assert closes[ClientCloseReason.TOO_SLOW] == 1


# A client that wrote a long value a byte at a time kept others from the memory for 20 s.
@scenario
async def test_a_client_that_sends_a_byte_now_and_then_gives_way_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    progress = "ironrail.connections.downstream.transfer_progress"
    monkeypatch.setattr(f"{progress}.SLOW_GRACE_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    budget = world.node._dispatcher.streamer.memory_budget = MemoryBudget(len(VALUE) + 1000)
    slow, writer = await world.client(), await world.client()

    async def send_slowly() -> None:
        slow.send(b"ms k %d Oslow Pc=once,t=x,d=5000\r\n" % len(VALUE))
        while True:
            slow.send(b"v")
            await asyncio.sleep(TIMEOUT_SECONDS / 4)

    sending = asyncio.create_task(send_slowly())
    await until(lambda: budget.reserved_bytes)
    await asyncio.sleep(2 * TIMEOUT_SECONDS)
    writer.put("writer", VALUE)
    assert (await world.origin.next()).value == VALUE
    assert (await slow.line()).startswith(b"CLIENT_ERROR")
    sending.cancel()


# A write that followed a long read was rejected, as it had waited unread while the read was taken.
@scenario
async def test_a_write_behind_a_slowly_taken_value_has_its_whole_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(session_timeouts, "COMMAND_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    client = await slow_client(world)
    client.get("1")
    client.send(b"ms k 1 O2 Pc=once,t=x,d=5000")
    (await world.cache.next()).reply_value(VALUE)
    expected = b"VA %d O1\r\n" % len(VALUE) + VALUE + b"\r\n"
    reading = asyncio.create_task(read_slowly(client, len(expected)))
    session = connection_of(world).session
    await until(lambda: session.responses_unread_since is not None)
    await until(lambda: session.responses_unread_since is None)
    await asyncio.sleep(0.05)  # for checks
    client.send(b"\r\nv\r\n")
    (await world.origin.next()).respond(b"r")
    assert await reading == expected
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    assert await client.line() == b"HD O2 cr\r\n"


# A crowd of closing connections cut off the one whose client was still taking its answers.
@scenario
async def test_a_connection_with_unread_answers_outlasts_others_that_linger(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeouts(monkeypatch)
    world = await World().start()
    client, expected = await client_with_unread_values(world)
    others = [await world.client() for _ in range(2)]
    context = world.node._client_listener.context
    context.lingering.max_connections = 2
    slow, *rest = world.node._client_listener.open_connections()
    for connection in (slow, *rest):
        connection.close()
    await until(lambda: rest[0] not in context.connections.values())
    assert await read_slowly(client, len(expected)) == expected
    for other in others:
        assert await other.ended()


# A connection that closed long after its last answer was reset at once, as the time before counted.
@scenario
async def test_the_time_before_a_close_is_no_time_without_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_timeouts(monkeypatch)
    world = await World().start()
    client = await slow_client(world)
    value = VALUE[:40_000]
    client.get("1")
    (await world.cache.next()).reply_value(value)
    connection = connection_of(world)
    await until(lambda: connection.session.has_been_used and connection.session.is_idle)
    await until(lambda: not connection.transport.get_write_buffer_size())
    await asyncio.sleep(2 * TIMEOUT_SECONDS)
    connection.close()
    await asyncio.sleep(TIMEOUT_SECONDS / 2)
    client.send(b"mn\r\n")
    await asyncio.sleep(0.05)
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    assert await client.value("1") == value


# One client that found no memory ended all slow ones, where one of them held enough.
@scenario
async def test_one_shortage_ends_one_slow_client(monkeypatch: pytest.MonkeyPatch) -> None:
    progress = "ironrail.connections.downstream.transfer_progress"
    monkeypatch.setattr(f"{progress}.SLOW_GRACE_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(f"{progress}.MAX_CREDIT_SECONDS", TIMEOUT_SECONDS)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    count = 3
    budget = MemoryBudget(count * STREAM_BUFFER_BYTES + 100_000)
    world.node._dispatcher.streamer.memory_budget = budget
    slow_clients = []
    for number in range(count):
        slow_clients.append(await slow_client(world))
        slow_clients[-1].get(str(number), key=f"k{number}")
        (await world.cache.next()).reply_value(4 * VALUE)  # more than the buffers hold
        await until(lambda: budget.reserved_bytes >= (number + 1) * STREAM_BUFFER_BYTES)  # noqa: B023
    await asyncio.sleep(2 * TIMEOUT_SECONDS)
    writer = await world.client()
    writer.put("writer", VALUE)
    assert (await world.origin.next()).value == VALUE
    await asyncio.sleep(0.1)  # for more checks
    assert world.node._dispatcher.diagnostics.client_closes[ClientCloseReason.TOO_SLOW] == 1
