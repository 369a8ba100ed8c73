"""Lingering connections: how long they last, and how many there may be."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from ironrail.connections.downstream import lingering_close, session_timeouts
from ironrail.connections.downstream.descriptor_budget import NUM_RESERVED_DESCRIPTORS, allocate_descriptors
from ironrail.net.downstream import client_listener
from tests.net.downstream.test_client_admission import is_ready
from tests.net.downstream.test_connection_close import RESPONSE_BYTES, connection_of
from tests.peers import World, scenario, until


@scenario
async def test_a_lingering_connection_is_aborted_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER_SECONDS", 0.05)
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    connection_of(world).close()
    assert await client.reader.read() == b""
    await until(lambda: not world.node._client_listener.context.connections)
    assert not len(world.node._client_listener.context.lingering)


@scenario
async def test_the_oldest_lingering_connection_is_aborted_at_the_limit() -> None:
    world = await World().start()
    clients = [await world.client() for _ in range(4)]
    for client in clients:
        assert await is_ready(client)
    world.node._client_listener.context.lingering.max_connections = 2
    first, second, third, _ = world.node._client_listener.open_connections()
    for connection in (first, second, third):
        connection.close()
    await until(lambda: len(world.node._client_listener.context.connections) == 3)
    assert first not in world.node._client_listener.context.lingering
    assert (
        second in world.node._client_listener.context.lingering
        and third in world.node._client_listener.context.lingering
    )
    assert await is_ready(clients[3])


@scenario
async def test_a_half_closed_client_that_never_reads_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    """A close waits for unsent data, which must not take forever."""
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER_SECONDS", 0.05)
    monkeypatch.setattr("ironrail.net.downstream.half_closed.UNREAD_RESPONSE_TIMEOUT_SECONDS", 0.1)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = connection_of(world), 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * 65536)
        await until(lambda: not connection.session.pending_responses)
        n += 1
    client.get("waits")
    await world.cache.next()
    assert list(world.node._dispatcher.requests.by_id) == ["waits"]
    client.writer.write_eof()
    await until(lambda: not world.node._dispatcher.requests.by_id)  # at once, as the client has disconnected
    await until(lambda: not world.node._client_listener.context.connections)


@scenario
async def test_an_idle_client_that_never_reads_its_last_response_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Below the high-water mark the transport does not report unsent data."""
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER_SECONDS", 0.05)
    monkeypatch.setattr("ironrail.net.downstream.half_closed.UNREAD_RESPONSE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = connection_of(world), 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * RESPONSE_BYTES)
        await until(lambda: not connection.session.pending_responses)
        n += 1
    assert connection.session.responses_unread_since is None
    monkeypatch.setattr(session_timeouts, "IDLE_TIMEOUT_SECONDS", 0.1)
    await until(lambda: not world.node._client_listener.context.connections)


@pytest.mark.parametrize("sockets", [64, 65, 100, 256, 384, 1024, 4096])
def test_the_descriptor_budget_stays_within_the_limit(sockets: int) -> None:
    shares = allocate_descriptors(sockets)
    assert min(shares.servers, shares.clients, shares.lingering, shares.accepts_per_turn) >= 1
    # in one iteration of the event loop: this many accepted, and this many closed whose descriptors are
    # not yet free
    assert (
        NUM_RESERVED_DESCRIPTORS
        + shares.servers
        + shares.clients
        + shares.lingering
        + 2 * shares.accepts_per_turn
        <= sockets
    )


def test_the_registry_evicts_the_oldest_lingering_connection() -> None:
    some = lingering_close.LingeringCloseRegistry[str](2)
    assert some.add("a") is None and some.add("b") is None
    assert some.add("c") == "a" and len(some) == 2
    some.remove("b")
    assert some.add("d") is None and "b" not in some


# A client that came again as soon as it was turned away took 29 MiB: each closed connection was kept for 1 s.
@scenario
async def test_a_lingering_connection_is_not_kept_after_its_client_has_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER_SECONDS", 60.0)
    world = await World().start()
    client = await world.client()
    connection = weakref.ref(world.node._client_listener.open_connections()[0])
    client.send(b"bad\r\n" * 8)
    assert (await client.reader.read()).count(b"ERROR") == 8
    client.close()
    await until(lambda: not world.node._client_listener.context.connections)
    await until(lambda: gc.collect() is not None and connection() is None)


# Responses in the system's buffers were lost: the client's next command reset a connection closed after 1 s.
@scenario
async def test_a_connection_lingers_until_the_system_of_its_client_has_the_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER_SECONDS", 0.05)
    world = await World().start()
    client = await world.client()
    client.reader._transport.pause_reading()  # type: ignore[attr-defined]
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    value = b"v" * 40_000
    client.get("1")
    (await world.cache.next()).reply_value(value)
    connection = connection_of(world)
    await until(lambda: connection.session.has_been_used and connection.session.is_idle)
    await until(lambda: not connection.transport.get_write_buffer_size())
    connection.close()
    await asyncio.sleep(0.3)
    client.send(b"mn\r\n")
    await asyncio.sleep(0.05)
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    assert await client.value("1") == value
