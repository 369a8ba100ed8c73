"""A client that disconnects while the router does not read from it."""

from __future__ import annotations

import asyncio
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


# Commands beyond the pipelining limit were sent after their client had left, when earlier ones were answered.
@scenario
async def test_commands_that_are_parsed_after_their_client_left_are_not_sent() -> None:
    world = await World().start()
    client = await world.client()
    most = client_session.MAX_PIPELINED_COMMANDS
    client.send(b"".join(b"mg k v O%d " % n + P + b"\r\n" for n in range(most + 8)))
    connection: ClientConnection = world.node._client_listener.open_connections()[0]
    await until(lambda: not connection.session.is_reading)
    first = await world.cache.next()
    client.close()
    await until(connection.has_left, False)
    first.reply_value(b"v")
    sent = {first.flag}
    while world.node._client_listener.open_connections():
        while not world.cache.messages.empty():
            message = world.cache.messages.get_nowait()
            sent.add(message.flag)
            message.reply_value(b"v")
        await asyncio.sleep(0.002)
    await asyncio.sleep(0.1)
    sent |= {world.cache.messages.get_nowait().flag for _ in range(world.cache.messages.qsize())}
    assert not sent & {b"O%d" % n for n in range(most, most + 8)}


# A command that ended because another one of the same client was cancelled raised IndexError in its pipeline.
@scenario
async def test_a_client_leaves_while_a_command_waits_behind_its_long_value() -> None:
    world = await World(max_attempts=1).start()
    dispatcher = world.node._dispatcher
    dispatcher.pools["c"].manager.state.max_connections = 1
    client = await world.client()
    client.get("1")
    first = await world.cache.next()
    client.get("2")  # on the same server connection
    await world.cache.next()
    first.reply(b"VA 200000 O1 h1\r\n" + bytes(1000))
    await client.line()
    client.close()
    await until(lambda: not dispatcher.requests.by_id and not dispatcher.attempts)
    assert not dispatcher.diagnostics.internal_errors.total()
