"""A client that disconnects while the router does not read from it."""

from __future__ import annotations

import socket

from ironrail.connections.downstream import client_session
from ironrail.net.downstream.client_connection import ClientConnection
from tests.net.downstream.test_client_admission import P
from tests.peers import World, scenario, until


@scenario
async def test_a_half_close_is_detected_while_reading_is_paused() -> None:
    await leave_while_reading_is_paused("half-close")


@scenario
async def test_a_reset_is_detected_while_reading_is_paused() -> None:
    await leave_while_reading_is_paused("reset")


@scenario
async def test_a_close_is_detected_while_reading_is_paused() -> None:
    await leave_while_reading_is_paused("close")


async def leave_while_reading_is_paused(how: str) -> None:
    """The client has the maximum of pipelined commands, so the router reads no further input."""
    world = await World().start()
    client = await world.client()
    most = client_session.MAX_PIPELINED_COMMANDS
    client.send(b"".join(b"mg k v O%d " % n + P + b"\r\n" for n in range(most)))
    connection: ClientConnection = world.node._client_listener.open_connections()[0]
    await until(lambda: not connection.session.is_reading)
    client.send(b"mg k v Omore " + P + b"\r\n")
    await until(world.node._system.unread_check(connection.transport))
    assert not connection.has_left(False)
    if how == "half-close":
        client.writer.write_eof()
    else:
        if how == "reset":
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.writer.transport.abort()
    await until(connection.has_left, False)
    assert not connection.session.is_reading
