"""A client that ends while nothing is read from it."""

from __future__ import annotations

import socket

from ironrail.connections.downstream import session_manager
from ironrail.net.downstream.client_connection import ClientConnection

from tests.peers import World, scenario, until
from tests.test_clients import P


@scenario
async def test_a_client_that_half_closes_while_nothing_is_read_from_it_is_seen_to_have_left() -> None:
    await left_while_paused("half-close")


@scenario
async def test_a_client_that_resets_while_nothing_is_read_from_it_is_seen_to_have_left() -> None:
    await left_while_paused("reset")


@scenario
async def test_a_client_that_closes_while_nothing_is_read_from_it_is_seen_to_have_left() -> None:
    await left_while_paused("close")


async def left_while_paused(how: str) -> None:
    """Commands lie unread before the end, which nobody reads: the client has as many in hand as may be."""
    world = await World().start()
    client = await world.client()
    most = session_manager.MOST_PIPELINED
    client.send(b"".join(b"mg k v O%d " % n + P + b"\r\n" for n in range(most)))
    connection: ClientConnection = world.node._client_listener.all()[0]
    await until(lambda: not connection.place.reading)
    client.send(b"mg k v Omore " + P + b"\r\n")
    await until(world.node._system.unread(connection.transport))
    assert not connection.left(False)
    if how == "half-close":
        client.writer.write_eof()
    else:
        if how == "reset":
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.writer.transport.abort()
    await until(connection.left, False)
    assert not connection.place.reading
