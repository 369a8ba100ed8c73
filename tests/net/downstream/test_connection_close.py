"""Connections that the router closes, with requests and responses under way at that moment."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ironrail.connections.downstream import session_manager, session_timeouts
from ironrail.connections.downstream.transfer_progress import Contention
from ironrail.net.downstream.client_connection import ClientConnection
from tests.net.downstream.test_client_admission import P, is_ready
from tests.peers import Client, World, scenario, until

REQUEST = b"mg k v O1 " + P + b"\r\n"
ESTABLISHED, FIN_WAIT1, FIN_WAIT2 = 1, 4, 5  # states of a connection (linux/tcp_states.h)
RESPONSE_BYTES = 50_000  # bytes: more than the client takes at once


def connection_of(world: World) -> ClientConnection:
    return world.node._client_listener.open_connections()[0]


async def send_during_close(world: World, client: Client, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a request arrive between the check for unread input and the shutdown of the socket."""
    can_close_cleanly = ClientConnection.can_close_cleanly
    raw = client.writer.get_extra_info("socket")

    def clear(connection: ClientConnection) -> bool:
        is_clear = can_close_cleanly(connection)
        if is_clear and not connection.is_closing:
            client.writer.transport.write(REQUEST)  # out at once, as nothing is before it
            assert not client.writer.transport.get_write_buffer_size()
            assert raw.fileno() >= 0
        return is_clear

    monkeypatch.setattr(ClientConnection, "can_close_cleanly", clear)


async def expect_orderly_close(client: Client, world: World) -> None:
    """Expect an end without a reset, and no forwarded request."""
    assert await client.reader.read() == b""  # a reset would raise
    client.close()
    await until(lambda: not len(world.node._client_listener.context.lingering))
    assert world.cache.messages.empty()


@scenario
async def test_a_request_that_crosses_a_drained_close_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle connection is closed while draining."""
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    await send_during_close(world, client, monkeypatch)
    world.node._client_listener.start_draining()
    world.node._client_listener.close_idle(False)
    await expect_orderly_close(client, world)


@scenario
async def test_a_request_that_crosses_a_close_behind_a_response_is_dropped_and_the_response_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    client = await world.client()
    client.get("0")
    got = await world.cache.next()
    world.node._client_listener.start_draining()
    await send_during_close(world, client, monkeypatch)
    got.reply_value(b"v" * 60_000)
    assert await client.value("0") == b"v" * 60_000
    await expect_orderly_close(client, world)


@scenario
async def test_a_request_that_crosses_an_idle_eviction_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    world.node._client_listener.sessions.retention.max_sessions = 0
    client, other = await world.client(), await world.client()
    assert await is_ready(client)
    world.node._client_listener.sessions.retention.reuse_ratio = 0.0
    await send_during_close(world, client, monkeypatch)
    assert await is_ready(other)
    await expect_orderly_close(client, world)


@scenario
async def test_a_request_that_crosses_an_idle_timeout_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    monkeypatch.setattr(session_timeouts, "IDLE_TIMEOUT_SECONDS", 0.0)
    connection = connection_of(world)
    close = connection.close

    def crossed(*_: object) -> None:
        client.send(REQUEST)
        close()

    monkeypatch.setattr(connection, "close", crossed)
    connection.check_timeouts(world.node._system.now(), Contention())
    await expect_orderly_close(client, world)


@scenario
async def test_nothing_is_read_between_the_close_decision_and_the_shutdown_of_the_socket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Input dropped before the shutdown of the socket would be lost without a retry."""
    states: list[int] = []
    received = ClientConnection.data_received

    def data_received(connection: ClientConnection, data: bytes) -> None:
        raw = connection.transport.get_extra_info("socket")
        states.append(raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
        received(connection, data)

    monkeypatch.setattr(ClientConnection, "data_received", data_received)
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    await send_during_close(world, client, monkeypatch)
    await asyncio.sleep(0.01)  # a timer's turn of the loop, after which sockets are polled
    world.node._client_listener.start_draining()
    world.node._client_listener.close_idle(False)
    await expect_orderly_close(client, world)
    assert states in ([ESTABLISHED, FIN_WAIT2], [ESTABLISHED, FIN_WAIT1])


@scenario
async def test_a_request_that_crosses_an_eviction_at_admission_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    sessions = world.node._client_listener.sessions
    sessions.max_sessions = 1
    client = await world.client()
    assert await is_ready(client)
    arrived = session_manager.ClientSessionManager.admit

    def crossed(sessions: session_manager.ClientSessionManager) -> session_manager.Admission:
        client.writer.transport.write(REQUEST)
        return arrived(sessions)

    monkeypatch.setattr(session_manager.ClientSessionManager, "admit", crossed)
    other = await world.client()
    assert await is_ready(other)
    await expect_orderly_close(client, world)
    assert await is_ready(other)


@scenario
async def test_a_rejected_client_that_has_sent_requests_receives_the_error() -> None:
    """A close with unread input would be a reset, which destroys the error."""
    world = await World().start()
    world.node._client_listener.sessions.max_sessions = 0
    raw = socket.create_connection(world.address)
    raw.sendall(REQUEST * 20)  # before it is accepted
    client = Client(*await asyncio.open_connection(sock=raw))
    await asyncio.sleep(0.05)  # a slow reader: a reset would have destroyed the error by now
    assert await client.line() == b"SERVER_ERROR too many connections\r\n"
    assert await client.ended()
    client.close()
    await until(lambda: not len(world.node._client_listener.context.lingering))


@scenario
async def test_an_error_response_arrives_despite_much_unread_input() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"ms k x O1 " + P + b"\r\n" + b"x" * 600_000)
    await until(lambda: len(world.node._client_listener.context.lingering))
    await client.writer.drain()
    assert (await client.line()).startswith(b"CLIENT_ERROR ")
    assert await client.ended()  # in order: all that was sent was read


@scenario
async def test_a_reused_request_id_on_another_connection_is_not_cancelled() -> None:
    """The close of the first connection must not cancel the request again."""
    world = await World().start()
    client, other = await world.client(), await world.client()
    client.get("1")
    await world.cache.next()
    connection = next(
        c for c in world.node._client_listener.open_connections() if c.session.pending_responses
    )
    connection.eof_received()
    assert not world.node._dispatcher.requests.by_id
    other.put("1", b"v")
    got = await world.origin.next()
    connection.transport.abort()
    await until(lambda: connection not in world.node._client_listener.context.connections.values())
    got.respond(b"r")
    assert (await other.line()).startswith(b"HD O1 ")


@scenario
async def test_sockets_disable_the_nagle_algorithm() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    links = [c for pool in world.node._dispatcher.pools.values() for c in pool._connections.values()]
    assert links
    for transport in (connection_of(world).transport, *(link.transport for link in links)):
        raw = transport.get_extra_info("socket")
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
