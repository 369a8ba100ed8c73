"""All client connections of a router: who comes, who goes, who makes way.

Who is let in, read, waited for and sent away is decided in `connections/downstream.py`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import cast

from ironrail.connections.downstream import Downstream, Place
from ironrail.net import memcache
from ironrail.net.accepting import Acceptor
from ironrail.net.client import ClientConnection
from ironrail.net.held import Reader
from ironrail.net.host import Host
from ironrail.net.system import REAL, Address, System

log = logging.getLogger(__name__)

SWEEP = 0.25  # seconds between looks at all connections


class Clients:
    """All client connections of this router."""

    def __init__(
        self, host: Host, ready: Callable[[], bool], places: Downstream, system: System = REAL
    ) -> None:
        self.system = system
        self.host, self._ready = host, ready
        self.places = places
        self._loop = asyncio.get_running_loop()
        self._connections: dict[Place, ClientConnection] = {}
        self._opening: set[asyncio.Task[None]] = set()
        self.reader: Callable[[asyncio.Transport], Reader] | None = None  # told apart where operators say so
        self._empty = asyncio.Event()
        self._empty.set()

    def listen(self, address: Address) -> Address:
        """Take connections from now on; answers with the address listened on."""
        self._acceptor = Acceptor(self.system, address, self._taken)
        self._loop.call_later(SWEEP, self._sweep)
        return self._acceptor.address

    def _taken(self, connection: socket.socket) -> None:
        admission = self.places.arrived()
        if admission.evicted is not None:
            evicted = self._connections[admission.evicted]
            self.remove(admission.evicted)
            evicted.transport.abort()
        if admission.admitted:
            task = self._loop.create_task(self._adopt(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        else:
            with contextlib.suppress(OSError):
                connection.send(memcache.TOO_MANY)
            connection.close()

    async def _adopt(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self), connection)
        except OSError:  # it has ended already
            self.places.not_opened()
            connection.close()

    def let_in(self) -> None:
        """Go on with those whose long value there is room for now."""
        while (owner := self.host.room.next_in()) is not None:
            cast(ClientConnection, owner).let_in()

    def make_way(self) -> None:
        """Close those that rest for others, where that crosses nothing."""
        while (longest := self.places.makes_way()) is not None:
            connection = self._connections[longest]
            if connection.clear():
                self.remove(longest)
                connection.transport.close()
            else:
                self.places.stays(longest)

    def stop_listening(self) -> None:
        """Take what the system has accepted already, and nothing more."""
        self._acceptor.close()

    def can_serve(self) -> bool:
        return self._ready() and not self.places.draining

    def add(self, connection: ClientConnection) -> Place:
        """A connection has come up."""
        place = self.places.opened(self.system.now())
        self._connections[place] = connection
        self._empty.clear()
        return place

    def reader_of(self, transport: asyncio.Transport) -> Reader | None:
        return self.reader(transport) if self.reader is not None else None

    def all(self) -> list[ClientConnection]:
        """All connections that are up, the oldest first."""
        return list(self._connections.values())

    def remove(self, place: Place) -> None:
        """A connection has ended, or is about to."""
        self.places.gone(place)
        self._connections.pop(place, None)
        if not self._connections:
            self._empty.set()

    def _sweep(self) -> None:
        now = self.system.now()
        for place in self.places:
            if (connection := self._connections.get(place)) is not None:  # one may make way for another
                connection.check(now)
        self._loop.call_later(SWEEP, self._sweep)

    def drain(self) -> None:
        """Close connections behind their next answer, when their clients have least to send."""
        self.places.draining = True

    def end_waiting(self, hurry: bool) -> None:
        """Close those that wait for a command, but where something has just come: behind its answer."""
        for place in self.places.leaving(self.system.now(), hurry):
            if (connection := self._connections.get(place)) is not None and connection.clear():
                connection.transport.close()

    async def drained(self) -> None:
        """Wait until the last has closed."""
        if self._opening:
            await asyncio.wait(self._opening)
        await self._empty.wait()
