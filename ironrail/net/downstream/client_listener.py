"""All client connections of a router: who comes, who goes, who makes way.

Who is let in, read, waited for and sent away is decided in `connections/downstream/session_manager.py`.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

from ironrail.connections.downstream.descriptor_budget import MOST_ACCEPTS
from ironrail.connections.downstream.lingering_close import LingeringCloseRegistry
from ironrail.connections.downstream.session_manager import ClientSession, ClientSessionManager
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.pending_request import ClientReader
from ironrail.net.downstream.client_connection import ClientConnection
from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.listener import Acceptor
from ironrail.net.protocol import meta_codec
from ironrail.net.system import REAL, Address, System

log = logging.getLogger(__name__)

SWEEP = 0.25  # seconds between looks at all connections


class RejectedConnection(asyncio.Protocol):
    """A connection for which there is no room: told so. A close over what it has asked would destroy that."""

    transport: asyncio.Transport

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(meta_codec.TOO_MANY)
        self._shut = HalfClosedConnection(self.transport)
        self._clients.lingers(self)

    def data_received(self, data: bytes) -> None:
        self._shut.dropped(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.lingering.gone(self)


class ClientListener:
    """All client connections of this router."""

    def __init__(
        self,
        host: RequestDispatcher,
        ready: Callable[[], bool],
        places: ClientSessionManager,
        system: System = REAL,
        *,
        lingering: int,
        accepts: int = MOST_ACCEPTS,
    ) -> None:
        """`lingering`: connections that are shut and not yet closed; `accepts`: taken in one go."""
        self.system = system
        self.over = False
        self.lingering, self._accepts = LingeringCloseRegistry(lingering), accepts
        self.host, self._ready = host, ready
        self.places = places
        self._loop = asyncio.get_running_loop()
        self._connections: dict[ClientSession, ClientConnection] = {}
        self._opening: set[asyncio.Task[None]] = set()
        # told apart where operators say so
        self.reader: Callable[[asyncio.Transport], ClientReader] | None = None
        self._empty = asyncio.Event()
        self._empty.set()

    def listen(self, address: Address) -> Address:
        """Take connections from now on; answers with the address listened on."""
        self._acceptor = Acceptor(self.system, address, self._taken, self._accepts)
        self._loop.call_later(SWEEP, self._sweep)
        return self._acceptor.address

    def _taken(self, connection: socket.socket) -> None:
        admission = self.places.arrived()
        if admission.evicted is not None:
            self._connections[admission.evicted].shut(ClientCloseReason.EVICTED)
        task = self._loop.create_task(self._adopt(connection, admission.admitted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _adopt(self, connection: socket.socket, admitted: bool) -> None:
        make = ClientConnection if admitted else RejectedConnection
        try:
            await self._loop.connect_accepted_socket(lambda: make(self), connection)
        except OSError:  # it has ended already
            if admitted:
                self.places.not_opened()
            connection.close()

    def let_in(self) -> None:
        """Go on with those whose long value there is room for now."""
        while (owner := self.host.memory_budget.next_in()) is not None:
            cast(ClientConnection, owner).let_in()

    def make_way(self) -> None:
        """Shut those that rest for others, where that crosses nothing."""
        while (longest := self.places.makes_way()) is not None:
            connection = self._connections[longest]
            if connection.clear():
                connection.shut(ClientCloseReason.EVICTED)
                self.places.gone(longest)  # also where it is closing already
            else:
                self.places.stays(longest)

    def stop_listening(self) -> None:
        """Take what the system has accepted already, and nothing more."""
        self._acceptor.close()

    def can_serve(self) -> bool:
        return self._ready() and not self.places.draining

    def add(self, connection: ClientConnection) -> ClientSession:
        """A connection has come up."""
        place = self.places.opened(self.system.now())
        self._connections[place] = connection
        self._empty.clear()
        return place

    def reader_of(self, transport: asyncio.Transport) -> ClientReader | None:
        return self.reader(transport) if self.reader is not None else None

    def all(self) -> list[ClientConnection]:
        """All connections that are up and not shut, the oldest first."""
        return [connection for connection in self._connections.values() if not connection.ends]

    def lingers(self, connection: ClientConnection | RejectedConnection) -> None:
        """It is shut, and waits for its other end to close: in nobody's place, but holding a descriptor."""
        if isinstance(connection, ClientConnection):
            self.places.gone(connection.place)
        oldest = self.lingering.add(connection)
        if oldest is not None:
            cast(ClientConnection | RejectedConnection, oldest).transport.abort()

    def remove(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.places.gone(connection.place)
        self.lingering.gone(connection)
        self._connections.pop(connection.place, None)
        if not self._connections:
            self._empty.set()

    def _sweep(self) -> None:
        now = self.system.now()
        for place in self.places:
            if (
                connection := self._connections.get(place)
            ) is not None:  # one may make way for another
                connection.check(now)
        self._loop.call_later(SWEEP, self._sweep)

    def drain(self) -> None:
        """Close connections behind their next answer, when their clients have least to send."""
        self.places.draining = True

    def end_waiting(self, hurry: bool) -> None:
        """Shut those that wait for a command, but where something has just come: behind its answer."""
        for place in self.places.leaving(self.system.now(), hurry):
            if (connection := self._connections.get(place)) is not None and connection.clear():
                connection.shut(ClientCloseReason.SHUTDOWN)

    def end_all(self) -> None:
        """Time is up: all that is held has its answer now, and what is still read is refused at once."""
        self.over = True
        self.host.expire_all()

    async def drained(self) -> None:
        """Wait until the last has closed."""
        if self._opening:
            await asyncio.wait(self._opening)
        await self._empty.wait()
