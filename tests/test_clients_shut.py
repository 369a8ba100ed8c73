"""Connections that a router ends: requests that come in that very instant, and answers still under way."""

from __future__ import annotations

import asyncio
import socket

import pytest
from ironrail.connections.downstream import session_manager
from ironrail.net.downstream.client_connection import ClientConnection

from tests.peers import Client, World, scenario, until
from tests.test_clients import P, is_ready

ASKED = b"mg k v O1 " + P + b"\r\n"
ESTABLISHED, FIN_WAIT1, FIN_WAIT2 = 1, 4, 5  # states of a connection (linux/tcp_states.h)
CRUMBS = 50_000  # bytes: more than the client takes at once


def connection_of(world: World) -> ClientConnection:
    return world.node._clients.all()[0]


async def crosses(world: World, client: Client, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a request come between the look at what is unread and the shutdown."""
    looked = ClientConnection.clear
    raw = client.writer.get_extra_info("socket")

    def clear(connection: ClientConnection) -> bool:
        is_clear = looked(connection)
        if is_clear and not connection.ends:
            client.writer.transport.write(ASKED)  # out at once, as nothing is before it
            assert not client.writer.transport.get_write_buffer_size()
            assert raw.fileno() >= 0
        return is_clear

    monkeypatch.setattr(ClientConnection, "clear", clear)


async def ends_in_order(client: Client, world: World) -> None:
    """It sees an end, no reset, and nothing that it asked for was sent on."""
    assert await client.reader.read() == b""  # a reset would raise
    client.close()
    await until(lambda: not len(world.node._clients.lingering))
    assert world.cache.messages.empty()


@scenario
async def test_a_request_that_crosses_the_end_of_a_resting_one_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Drained: shut where it rests, as whoever waits for the others does not hear from it."""
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    await crosses(world, client, monkeypatch)
    world.node._clients.drain()
    world.node._clients.end_waiting(False)
    await ends_in_order(client, world)


@scenario
async def test_a_request_that_crosses_the_end_behind_an_answer_is_dropped_and_the_answer_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    client = await world.client()
    client.get("0")
    got = await world.cache.next()
    world.node._clients.drain()
    await crosses(world, client, monkeypatch)
    got.reply_value(b"v" * 60_000)
    assert await client.value("0") == b"v" * 60_000
    await ends_in_order(client, world)


@scenario
async def test_a_request_that_crosses_making_way_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    world.node._clients.places.kept = 0
    client, other = await world.client(), await world.client()
    assert await is_ready(client)
    world.node._clients.places._back = 0.0
    await crosses(world, client, monkeypatch)
    assert await is_ready(other)
    await ends_in_order(client, world)


@scenario
async def test_a_request_that_crosses_the_end_of_a_long_pause_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    monkeypatch.setattr(session_manager, "IDLE", 0.0)
    connection = connection_of(world)
    shut = connection.shut

    def crossed(*_: object) -> None:
        client.send(ASKED)
        shut()

    monkeypatch.setattr(connection, "shut", crossed)
    connection.check(world.node._system.now())
    await ends_in_order(client, world)


@scenario
async def test_nothing_is_read_between_the_decision_and_the_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """What was read before the shutdown was taken: dropped then, it would be lost and not sent again."""
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
    await crosses(world, client, monkeypatch)
    await asyncio.sleep(0.01)  # a timer's turn of the loop: what comes is looked for before the next one
    world.node._clients.drain()
    world.node._clients.end_waiting(False)
    await ends_in_order(client, world)
    assert states in ([ESTABLISHED, FIN_WAIT2], [ESTABLISHED, FIN_WAIT1])


@scenario
async def test_a_request_that_crosses_an_eviction_is_dropped_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = await World().start()
    places = world.node._clients.places
    places.most = 1
    client = await world.client()
    assert await is_ready(client)
    arrived = session_manager.ClientSessionManager.arrived

    def crossed(places: session_manager.ClientSessionManager) -> session_manager.Admission:
        client.writer.transport.write(ASKED)
        return arrived(places)

    monkeypatch.setattr(session_manager.ClientSessionManager, "arrived", crossed)
    other = await world.client()
    assert await is_ready(other)
    await ends_in_order(client, world)
    assert await is_ready(other)


@scenario
async def test_one_that_is_turned_away_reads_so_though_it_has_asked() -> None:
    """A close over its unread request was a reset, which took the line along."""
    world = await World().start()
    world.node._clients.places.most = 0
    raw = socket.create_connection(world.address)
    raw.sendall(ASKED * 20)  # before it is accepted
    client = Client(*await asyncio.open_connection(sock=raw))
    await asyncio.sleep(0.05)  # a slow reader: what a reset destroys is gone by now
    assert await client.line() == b"SERVER_ERROR too many connections\r\n"
    assert await client.ended()
    client.close()
    await until(lambda: not len(world.node._clients.lingering))


@scenario
async def test_an_error_line_arrives_before_much_that_was_sent_behind_it() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"ms k x O1 " + P + b"\r\n" + b"x" * 600_000)
    await until(lambda: len(world.node._clients.lingering))
    await client.writer.drain()
    assert (await client.line()).startswith(b"CLIENT_ERROR ")
    assert await client.ended()  # in order: all that was sent was read


@scenario
async def test_the_same_id_on_another_connection_is_not_ended_with_the_first_one() -> None:
    """Told twice that the client had gone, the router forgot what it had asked for again meanwhile."""
    world = await World().start()
    client, other = await world.client(), await world.client()
    client.get("1")
    await world.cache.next()
    connection = next(c for c in world.node._clients.all() if c.place.open)
    connection.eof_received()
    assert not world.node._host.requests.by_id
    other.put("1", b"v")
    got = await world.origin.next()
    connection.transport.abort()
    await until(lambda: connection not in world.node._clients._connections.values())
    got.respond(b"r")
    assert (await other.line()).startswith(b"HD O1 ")


@scenario
async def test_small_answers_are_not_held_back_by_the_system() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    links = [c for pool in world.node._host.pools.values() for c in pool._connections.values()]
    assert links
    for transport in (connection_of(world).transport, *(link.transport for link in links)):
        raw = transport.get_extra_info("socket")
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
