"""A client's transport whose socket is full while its connection is opened again."""

from __future__ import annotations

import asyncio
import errno
import socket

from ironrail.net.downstream.resilient_transport import ResilientTransport
from tests.peers import scenario

DATA = b"x" * (8 * 1024 * 1024)  # more than the kernel takes at once


class Recorder(asyncio.Protocol):
    """A protocol that records the end of its connection."""

    lost = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


@scenario
async def test_a_full_socket_loses_no_byte_while_a_failed_read_is_recovered() -> None:
    """Guards against a torn answer."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    client.setblocking(False)
    accepted.setblocking(False)
    protocol = Recorder()
    transport = ResilientTransport(accepted, protocol)
    inner, _ = await loop.connect_accepted_socket(lambda: transport, accepted)
    inner.set_protocol(asyncio.Protocol())
    inner.abort()  # as the event loop does after a failed read, which it reports once
    transport.connection_lost(OSError(errno.ENOMEM, "Cannot allocate memory"))
    transport.write(DATA)
    received = bytearray()
    while len(received) < len(DATA):
        received += await loop.sock_recv(client, 1 << 20)
    assert received == DATA and not protocol.lost
    transport.abort()
    client.close()
