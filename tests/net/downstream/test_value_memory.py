"""Memory for long writes: whoever ends gives it back, and whoever waits for it gets a response."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.connections.downstream import session_timeouts
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.diagnostics.reasons import Violation
from ironrail.net.protocol import meta_codec
from tests.peers import Client, World, scenario, until

LONG = b"v" * 1024 * 1024
GOOD_FIELDS = b"c=once,t=x,d=5000"


def write(name: bytes, fields: bytes = GOOD_FIELDS, value: bytes = LONG, end: bytes = b"\r\n") -> bytes:
    return b"ms k %d O%b P%b\r\n" % (len(value), name, fields) + value + end


async def world_with_memory(size: int) -> tuple[World, MemoryBudget]:
    world = await World().start()
    budget = world.node._dispatcher.streamer.memory_budget = MemoryBudget(size)
    return world, budget


async def half_sent(world: World, budget: MemoryBudget) -> Client:
    """Return a client that has sent one half of a long value, for which memory is reserved."""
    client = await world.client()
    client.send(write(b"half")[: len(LONG) // 2])
    await until(lambda: budget.reserved_bytes)
    return client


# A bad long value kept its memory for good, until none was left for others.
@pytest.mark.parametrize(
    ("command", "response"),
    [
        (write(b"1", b"c=once,t=x,d=soon"), b"CLIENT_ERROR bad d\r\n"),
        (write(b"1", b"t=x,d=5000"), b"CLIENT_ERROR missing c\r\n"),
        (write(b"1", end=b"xx"), b"CLIENT_ERROR bad data chunk\r\n"),
        (write(b"1", b"c=none,t=x,d=5000"), b"CLIENT_ERROR unknown class\r\n"),
    ],
)
@scenario
async def test_a_long_value_that_is_answered_with_an_error_releases_its_memory(
    command: bytes, response: bytes
) -> None:
    world, budget = await world_with_memory(len(LONG))
    client = await world.client()
    client.send(command)
    assert await client.line() == response
    assert budget.reserved_bytes == 0


@scenario
async def test_a_long_value_that_is_rejected_at_shutdown_releases_its_memory() -> None:
    world, budget = await world_with_memory(len(LONG))
    world.node._client_listener.reject_all()
    client = await world.client()
    client.send(write(b"1"))
    assert await client.line() == meta_codec.write_busy(None)
    assert budget.reserved_bytes == 0


# A partial value that timed out kept its memory until its client closed, up to 10 s later.
@scenario
async def test_a_long_value_that_times_out_releases_its_memory_with_its_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(session_timeouts, "COMMAND_TIMEOUT_SECONDS", 0.1)
    world, budget = await world_with_memory(len(LONG))
    client = await half_sent(world, budget)
    assert await client.line() == meta_codec.COMMAND_TIMEOUT
    assert budget.reserved_bytes == 0


# An evicted client kept the memory of its partial value while its connection lingered.
@scenario
async def test_a_long_value_of_an_evicted_client_releases_its_memory() -> None:
    world, budget = await world_with_memory(len(LONG))
    evicted = await half_sent(world, budget)
    world.node._client_listener.sessions.max_sessions = 1
    await world.client()
    lingering = world.node._client_listener.context.lingering
    await until(lambda: lingering)
    assert budget.reserved_bytes == 0
    evicted.close()


# The run-time check saw no resource whose holder had ended.
@scenario
async def test_a_reservation_whose_owner_has_ended_is_counted() -> None:
    world, budget = await world_with_memory(len(LONG))
    client = await half_sent(world, budget)
    connection = world.node._client_listener.open_connections()[0]
    connection.session.end()
    guard = world.node._dispatcher.diagnostics.invariants
    await until(lambda: guard.violations[Violation.HELD_AFTER_END])
    client.close()


# The router passed its memory limit: values of up to 64 KiB of pipelined writes were in no budget.
@scenario
async def test_pipelined_writes_together_hold_no_more_memory_than_there_is() -> None:
    world, budget = await world_with_memory(300_000)
    clients = [await world.client() for _ in range(4)]
    for number, client in enumerate(clients):
        for count in range(10):
            client.put(f"{number}-{count}", LONG[:60_000])
    requests = world.node._dispatcher.requests
    await until(lambda: len(requests.by_id) >= 5)
    await asyncio.sleep(0.1)
    assert len(requests.by_id) == 5 and budget.free_bytes == 0
    answered = asyncio.create_task(respond_to_all(world))
    for number, client in enumerate(clients):
        for count in range(10):
            assert await client.line() == b"HD O%d-%d cr\r\n" % (number, count)
    answered.cancel()
    assert budget.reserved_bytes == 0


async def respond_to_all(world: World) -> None:
    while True:
        (await world.origin.next()).respond(b"r")
