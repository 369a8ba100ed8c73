"""Accepts client connections, checks their timeouts, and closes them at shutdown.

The rules for admission, eviction and timeouts are in `ironrail/connections/downstream`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ironrail.connections.downstream.descriptor_budget import MAX_ACCEPTS_PER_TURN
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.connections.downstream.transfer_progress import Contention
from ironrail.diagnostics.reasons import ClientCloseReason, ClientLoss
from ironrail.net.containment import run_contained
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_connection import ClientConnection
from ironrail.net.downstream.rejected_connection import RejectedConnection
from ironrail.net.downstream.resilient_transport import ResilientTransport
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.listener import Acceptor, set_up_accepted
from ironrail.net.system import REAL, Address, System

TIMEOUT_CHECK_INTERVAL_SECONDS = 0.25


class ClientListener:
    """The listener for clients, and all of their connections."""

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        is_ready: Callable[[], bool],
        sessions: ClientSessionManager,
        system: System = REAL,
        *,
        max_lingering: int,
        max_pipelined_requests: int,
        accepts_per_turn: int = MAX_ACCEPTS_PER_TURN,
    ) -> None:
        """Prepare to listen.

        Args:
            dispatcher: Receives the requests.
            is_ready: Whether the router can serve requests, according to its other components.
            sessions: Decides on admission and eviction.
            system: Provides the clock and the sockets.
            max_lingering: Limit on half-closed connections, which are not yet closed.
            max_pipelined_requests: Requests in flight at which each connection gets no second one.
            accepts_per_turn: Limit on the accepts in one iteration of the event loop.
        """
        self.context = SessionContext[ClientConnection](
            dispatcher, is_ready, sessions, system, max_lingering, max_pipelined_requests
        )
        self.sessions = sessions
        self._dispatcher = dispatcher
        self._system = system
        self._accepts_per_turn = accepts_per_turn
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._shortages_seen = 0

    def listen(self, address: Address) -> Address:
        """Accept connections from now on, and return the listening address."""
        self._acceptor = Acceptor(self._system, address, self._accepted, self._accepts_per_turn)
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts)
        return self._acceptor.address

    def stop_listening(self) -> None:
        """Accept the connections in the backlog, and stop listening."""
        self._acceptor.close()

    def can_serve(self) -> bool:
        """Whether clients may send requests."""
        return self.context.can_serve()

    def open_connections(self) -> list[ClientConnection]:
        """The connections that are not closing, oldest first."""
        return self.context.open_connections()

    def _accepted(self, connection: socket.socket) -> None:
        admission = self.sessions.admit()
        if admission.evicted is not None:
            evicted = self.context.connections[admission.evicted]
            run_contained("evict a client", evicted.close, ClientCloseReason.EVICTED)
        waiting_since = self._acceptor.waiting_since or self._system.now()
        task = self._loop.create_task(
            self._open_connection(connection, admission.admitted, waiting_since)
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open_connection(
        self, connection: socket.socket, admitted: bool, waiting_since: float
    ) -> None:
        def make_protocol() -> asyncio.BaseProtocol:
            if admitted:
                client = ClientConnection(self.context, waiting_since)
                return ResilientTransport(connection, client)
            return RejectedConnection(self.context)

        try:
            await set_up_accepted(connection, make_protocol)
        except OSError as error:  # the client has closed it already
            self._dispatcher.diagnostics.client_lost(
                self._system.now(), ClientLoss.SETUP_FAILED, error
            )
            if admitted:
                self.sessions.cancel_admission()
            with contextlib.suppress(OSError):
                connection.close()

    def _check_timeouts(self) -> None:
        # First, so that no exception below ends the checks.
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts)
        now = self._system.now()
        contention = self._contention()
        for connection in list(self.context.connections.values()):
            run_contained("check a client's timeouts", connection.check_timeouts, now, contention)

    def _contention(self) -> Contention:
        """Return the clients that wait for memory, or got no memory or descriptor of late."""
        budget = self._dispatcher.memory_budget
        shortages = budget.shortages + self.sessions.rejected_count
        new_shortages = shortages - self._shortages_seen
        self._shortages_seen = shortages
        return Contention(max(new_shortages, budget.waiting_count))

    # Graceful shutdown

    def start_draining(self) -> None:
        """Close connections from now on, once responses are written and no input is unread."""
        self.sessions.is_draining = True

    def close_idle(self, close_partial: bool) -> None:
        """Close connections without a request, unless one has just been received.

        Args:
            close_partial: Whether to close those with a partial command too.
        """
        for session in self.sessions.sessions_to_close(self._system.now(), close_partial):
            connection = self.context.connections.get(session)
            if connection is not None and connection.can_close_cleanly():
                connection.close(ClientCloseReason.SHUTDOWN)

    def reject_all(self) -> None:
        """Answer all requests in flight now, and reject all later ones."""
        self.context.rejects_all = True
        self.context.refuse_memory()
        self._dispatcher.expire_all()

    async def wait_closed(self) -> None:
        """Wait until the listener and the last connection have closed."""
        await self._acceptor.wait_closed()
        if self._opening:
            await asyncio.wait(self._opening)
        await self.context.wait_all_closed()
