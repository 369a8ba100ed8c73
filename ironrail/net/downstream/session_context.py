"""What the client connections of one router share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar, cast

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.connections.downstream.lingering_close import LingeringCloseRegistry
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import ClientRegion
from ironrail.net.system import System


class LingeringConnection(Protocol):
    """A connection that is shut down for writing and not yet closed."""

    transport: asyncio.Transport

    def __hash__(self) -> int: ...


class OpenConnection(LingeringConnection, Protocol):
    """A connection with a session."""

    session: ClientSession

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or half closed."""

    def can_close_cleanly(self) -> bool:
        """Whether a close now loses neither received input nor unwritten responses."""

    def close(self, reason: ClientCloseReason) -> None:
        """Half-close the connection behind what is written."""


class MemoryWaiter(Protocol):
    """A connection whose long value waits for memory."""

    def memory_granted(self) -> None:
        """Read the long value."""


Connection = TypeVar("Connection", bound=OpenConnection)


class SessionContext(Generic[Connection]):
    """The open connections, and the parts of the router that they use."""

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        is_ready: Callable[[], bool],
        sessions: ClientSessionManager,
        system: System,
        max_lingering: int,
    ) -> None:
        """Begin without connections.

        Args:
            dispatcher: Takes the requests.
            is_ready: Whether the router can serve requests, as far as its other parts know.
            sessions: Decides on admission and eviction.
            system: The clock and the sockets.
            max_lingering: Connections that are shut down for writing and not yet closed.
        """
        self.dispatcher = dispatcher
        self.sessions = sessions
        self.system = system
        self.lingering = LingeringCloseRegistry[LingeringConnection](max_lingering)
        self.connections: dict[ClientSession, Connection] = {}
        self.identify_reader: Callable[[asyncio.Transport], ClientRegion] | None = None
        """Identifies a client where the router distinguishes regions of clients."""
        self.rejects_all = False
        """Whether all new requests are rejected, as the time for the shutdown is over."""
        self._is_ready = is_ready
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    def can_serve(self) -> bool:
        """Whether clients may send requests."""
        return self._is_ready() and not self.sessions.is_draining

    def reader_for(self, transport: asyncio.Transport) -> ClientRegion | None:
        """Identify the client if the router distinguishes regions of clients."""
        if self.identify_reader is None:
            return None
        return self.identify_reader(transport)

    def add(self, connection: Connection) -> ClientSession:
        """Begin the session of a new connection."""
        session = self.sessions.add(self.system.now())
        self.connections[session] = connection
        self._all_closed.clear()
        return session

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        self.sessions.remove(connection.session)
        self.lingering.remove(connection)
        self.connections.pop(connection.session, None)
        if not self.connections:
            self._all_closed.set()

    def start_linger(self, connection: LingeringConnection) -> None:
        """Let a connection linger until its client closes; abort the oldest at the limit."""
        oldest = self.lingering.add(connection)
        if oldest is not None:
            oldest.transport.abort()

    def grant_memory(self) -> None:
        """Resume the connections whose long values fit into memory now."""
        while (waiter := self.dispatcher.memory_budget.grant_next_waiter()) is not None:
            cast(MemoryWaiter, waiter).memory_granted()

    def evict_idle(self) -> None:
        """Close idle connections beyond the number to retain, where that loses no data."""
        while (session := self.sessions.next_idle_to_evict()) is not None:
            connection = self.connections[session]
            if connection.can_close_cleanly():
                connection.close(ClientCloseReason.EVICTED)
                self.sessions.remove(session)  # also if it was closing already
            else:
                self.sessions.defer_eviction(session)

    def open_connections(self) -> list[Connection]:
        """The connections that are not closing, the oldest first."""
        return [one for one in self.connections.values() if not one.is_closing]

    async def wait_all_closed(self) -> None:
        """Wait until the last connection has closed."""
        await self._all_closed.wait()
