"""State that the client connections of one router share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from ironrail.connections.downstream.client_session import MAX_PIPELINED_COMMANDS, ClientSession
from ironrail.connections.downstream.lingering_close import LingeringCloseRegistry
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import ClientRegion
from ironrail.net.dispatch.memory_grants import grant_memory, refuse_memory
from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.downstream.parse_queue import ParseQueue
from ironrail.net.system import System


class LingeringConnection(Protocol):
    """A connection that is half-closed and not yet closed."""

    transport: asyncio.Transport
    half_closed: HalfClosedConnection | None

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
        """Half-close the connection after pending writes."""


Connection = TypeVar("Connection", bound=OpenConnection)


class SessionContext(Generic[Connection]):
    """The open connections, and the components of the router that they use."""

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        is_ready: Callable[[], bool],
        sessions: ClientSessionManager,
        system: System,
        max_lingering: int,
        max_pipelined_requests: int,
    ) -> None:
        """Start without connections.

        Args:
            dispatcher: Receives the requests.
            is_ready: Whether the router can serve requests, according to its other components.
            sessions: Decides on admission and eviction.
            system: Provides the clock and the sockets.
            max_lingering: Limit on half-closed connections, which are not yet closed.
            max_pipelined_requests: Requests in flight at which each connection gets no second one.
        """
        self.dispatcher = dispatcher
        self.sessions = sessions
        self.system = system
        self.lingering = LingeringCloseRegistry[LingeringConnection](max_lingering)
        self.connections: dict[ClientSession, Connection] = {}
        self.identify_client_region: Callable[[asyncio.Transport], ClientRegion] | None = None
        """Returns the region of a client; None where latency is not measured by region."""
        self.rejects_all = False
        """Whether all new requests are rejected, as the shutdown's response deadline has passed."""
        self.parse_queue = ParseQueue()
        self._is_ready = is_ready
        self._max_pipelined_requests = max_pipelined_requests
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    def max_pipelined_commands(self) -> int:
        """Commands of one connection that may be in flight now; bounds their memory together."""
        if len(self.dispatcher.requests.by_id) < self._max_pipelined_requests:
            return MAX_PIPELINED_COMMANDS
        return 1

    def can_serve(self) -> bool:
        """Whether clients may send requests."""
        return self._is_ready() and not self.sessions.is_draining

    def client_region_of(self, transport: asyncio.Transport) -> ClientRegion | None:
        """Return the region of a client; None where latency is not measured by region."""
        if self.identify_client_region is None:
            return None
        return self.identify_client_region(transport)

    def add(self, connection: Connection) -> ClientSession:
        """Start the session of a new connection."""
        session = self.sessions.add(self.system.now())
        self.connections[session] = connection
        self._all_closed.clear()
        return session

    def remove(self, connection: Connection) -> None:
        """Unregister a connection that has closed."""
        self.sessions.remove(connection.session)
        self.lingering.remove(connection)
        self.connections.pop(connection.session, None)
        if not self.connections:
            self._all_closed.set()

    def start_linger(self, connection: LingeringConnection) -> None:
        """Let a connection linger until its client closes; abort another one at the limit."""
        surplus = self.lingering.add(connection, _is_done)
        if surplus is not None:
            surplus.transport.abort()

    def grant_memory(self) -> None:
        """Resume the connections whose values fit into the memory budget now."""
        grant_memory(self.dispatcher.memory_budget)

    def refuse_memory(self) -> None:
        """Reject the commands whose values wait for memory."""
        refuse_memory(self.dispatcher.memory_budget)

    def evict_idle(self) -> None:
        """Close idle connections beyond the number to retain, unless that would lose data."""
        while (session := self.sessions.next_idle_to_evict()) is not None:
            connection = self.connections[session]
            if connection.can_close_cleanly():
                connection.close(ClientCloseReason.EVICTED)
                self.sessions.remove(session)  # even if it was already closing
            else:
                self.sessions.defer_eviction(session)

    def open_connections(self) -> list[Connection]:
        """The connections that are not closing, oldest first."""
        return [connection for connection in self.connections.values() if not connection.is_closing]

    async def wait_all_closed(self) -> None:
        """Wait until the last connection has closed."""
        await self._all_closed.wait()


def _is_done(connection: LingeringConnection) -> bool:
    """Whether the client's system has all responses of a lingering connection."""
    return connection.half_closed is not None and not connection.half_closed.has_unsent()
