"""Admin endpoint on sockets: one HTTP call per connection, with the limits of `ironrail.admin`."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from typing import cast

from ironrail.admin.connection_limit import AdminConnection, ConnectionLimit
from ironrail.admin.http_call import Handler, HttpCall, PostHandler
from ironrail.net.containment import run_contained
from ironrail.net.listener import Acceptor, set_up_accepted
from ironrail.net.system import REAL, Address, System

EXPIRY_CHECK_INTERVAL_SECONDS = 0.25


class AdminConnectionProtocol(asyncio.Protocol):
    """The asyncio protocol of one connection."""

    transport: asyncio.Transport

    def __init__(self, server: AdminServer, connection: AdminConnection) -> None:
        self._server = server
        self._connection = connection
        self._call = HttpCall(server.pages, server.posts)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, unless it was evicted meanwhile."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass of it
        if not self._server.opened(self._connection, self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the request."""
        self._respond(self._call.receive(data))

    def eof_received(self) -> None:
        """Answer an incomplete request; asyncio closes the connection after the response."""
        self._respond(self._call.receive(b""))

    def _respond(self, response: bytes | None) -> None:
        if response is not None:
            self.transport.write(response)
            self.transport.write_eof()
            self._server.answered(self._connection)

    def expire(self) -> None:
        """Answer that the request timed out, or abort if a response was already sent."""
        if self._connection.answered:
            self.transport.abort()
        else:
            self._respond(self._call.request_timeout())

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._server.closed(self._connection)


class AdminServer:
    """Listens for admin calls and closes connections that exceed their limits.

    Attributes:
        pages: Handlers of GET and HEAD, by path.
        posts: Handlers of POST, by path.
    """

    def __init__(
        self,
        pages: Mapping[str, Handler],
        system: System = REAL,
        posts: Mapping[str, PostHandler] | None = None,
    ) -> None:
        self.pages = pages
        self.posts = posts or {}
        self._system = system
        self._limit = ConnectionLimit()
        self._protocols: dict[AdminConnection, AdminConnectionProtocol] = {}
        self._opening: dict[AdminConnection, asyncio.Task[None]] = {}
        self._loop = asyncio.get_running_loop()

    def listen(self, address: Address) -> Address:
        """Accept connections from now on; return the listening address."""
        self._acceptor = Acceptor(self._system, address, self._accepted)
        self._loop.call_later(EXPIRY_CHECK_INTERVAL_SECONDS, self._close_expired)
        return self._acceptor.address

    def _accepted(self, accepted: socket.socket) -> None:
        admission = self._limit.admit(self._system.now())
        if admission.evicted is not None:
            evicted = self._protocols.pop(admission.evicted, None)
            if evicted is not None:
                evicted.transport.abort()
        connection = admission.connection
        self._opening[connection] = self._loop.create_task(self._open(connection, accepted))

    async def _open(self, connection: AdminConnection, accepted: socket.socket) -> None:
        try:
            await set_up_accepted(accepted, lambda: AdminConnectionProtocol(self, connection))
        except OSError:  # the client has closed it already
            self._limit.remove(connection)
            with contextlib.suppress(OSError):
                accepted.close()
        finally:
            del self._opening[connection]

    def opened(self, connection: AdminConnection, protocol: AdminConnectionProtocol) -> bool:
        """Register a connection that has opened; return False if it was evicted meanwhile."""
        if connection not in self._limit:
            return False
        self._protocols[connection] = protocol
        return True

    def answered(self, connection: AdminConnection) -> None:
        """Record that the response was written to a connection."""
        self._limit.answered(self._system.now(), connection)

    def closed(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""
        self._limit.remove(connection)
        self._protocols.pop(connection, None)

    def _close_expired(self) -> None:
        # First, so that no exception below ends the checks.
        self._loop.call_later(EXPIRY_CHECK_INTERVAL_SECONDS, self._close_expired)
        for connection in self._limit.expired(self._system.now()):
            protocol = self._protocols.get(connection)
            if protocol is not None:
                run_contained("close an expired admin connection", protocol.expire)
