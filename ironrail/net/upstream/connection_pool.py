"""Carries out the decisions of `connections.upstream.pool_manager` for one server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from ironrail.connections.upstream.attempt_writer import is_unsent
from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.connection_fault import Fault
from ironrail.connections.upstream.pool_actions import (
    AbortConnection,
    CheckIdle,
    CloseConnection,
    EndAttempt,
    LogConnectionFault,
    OpenConnection,
    PoolAction,
    StreamResponse,
    WriteAttempt,
)
from ironrail.connections.upstream.pool_manager import UpstreamPoolManager
from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.connections.upstream.reply_handler import AttemptReply
from ironrail.diagnostics.counters import ReasonCounter
from ironrail.net.containment import report_error
from ironrail.net.system import REAL, Address, System
from ironrail.net.upstream.connection import Attempt, Connection, LinkObserver
from ironrail.net.upstream.connector import Connector
from ironrail.net.upstream.event_queue import EventQueue
from ironrail.net.upstream.fault_log import FaultLog
from ironrail.policy.events import AttemptStatus

__all__ = ["Attempt", "Connection", "ConnectionPool"]


class ConnectionPool:
    """The connections to one server, independent of their protocol.

    Args:
        name: Name of the server.
        address: Address of the server.
        make_connection: Makes the protocol of a connection.
        settings: Limits of the pool, and the cost of a connect.
        connect_timeout: Limit on a connect, in seconds.
        system: Provides the clock and the sockets.
        on_written: Called for each attempt that is written.
        link_observer: Collects measurements of the link to the server.
        connect_failures: Counts the connects that failed, by reason.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        make_connection: Callable[[ConnectionPool, UpstreamConnection], Connection],
        settings: PoolSettings,
        *,
        connect_timeout: float,
        system: System = REAL,
        on_written: Callable[[], None] = lambda: None,
        link_observer: LinkObserver | None = None,
        connect_failures: ReasonCounter | None = None,
    ) -> None:
        self.system = system
        self.address = address
        self.manager = UpstreamPoolManager(address, settings)
        self.connector = Connector(
            connect_timeout,
            system.now,
            lambda upstream: make_connection(self, upstream),
            self._on_connected,
            self._on_connect_failed,
            link_observer,
            connect_failures,
        )
        self._now = system.now
        self._on_written = on_written
        self._link_observer = link_observer
        self._fault_log = FaultLog(name, system.now)
        self._connections: dict[UpstreamConnection, Connection] = {}
        queue = EventQueue(system.now, self._handle, self._on_action_failed)
        self._submit = queue.submit
        self._carry_out = queue.carry_out
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return a lookup table: `match` over classes is slow for four actions per request."""
        return {
            CheckIdle: self._check_idle,
            WriteAttempt: self._write,
            StreamResponse: self._start_stream,
            EndAttempt: self._end,
            OpenConnection: lambda action: self.connector.start(action.connection),
            CloseConnection: lambda action: self._connections[action.connection].transport.close(),
            AbortConnection: lambda action: self._connections[action.connection].transport.abort(),
            LogConnectionFault: lambda action: self._fault_log.warn(action.fault),
        }

    @property
    def is_ready(self) -> bool:
        """Whether requests may be sent to the server."""
        return self.manager.state.is_ready

    def send(self, attempt: Attempt) -> None:
        """Send an attempt; its outcome is reported to its `on_ended`."""
        self._submit(self.manager.assign, attempt)

    def abandon(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Stop waiting for an attempt."""
        connection = attempt.connection
        if self._link_observer is not None and attempt.is_open and connection is not None:
            since = max(attempt.written_at, connection.last_read_at)
            self._link_observer.on_attempt_abandoned(self._now() - since)
        self._submit(self.manager.abandon, attempt, status)

    def revoke(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt, and make sure that it is no longer in flight."""
        self._submit(self.manager.revoke, attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Withdraw an attempt if it is unsent."""
        if is_unsent(attempt):
            self._submit(self.manager.withdraw, attempt)

    def on_read(
        self,
        connection: UpstreamConnection,
        replies: list[AttemptReply],
        is_partial: bool,
        fault: Fault | None,
    ) -> None:
        """Handle one read: complete replies, then a partial reply or a fault."""
        if self._link_observer is not None:
            self._link_observer.on_reply()
        self._submit(self.manager.on_read, connection, replies, is_partial, fault)

    def on_stream_started(self, connection: UpstreamConnection, length: int) -> None:
        """Handle the start of a long value, of `length` bytes, in reply to the oldest attempt."""
        self._submit(self.manager.on_stream_started, connection, length)

    def on_stream_data(self, connection: UpstreamConnection, data: bytes) -> None:
        """Forward a chunk of a long value."""
        if connection.in_flight:
            attempt = cast(Attempt, connection.in_flight[0])
            if attempt.is_open and attempt.on_stream_data is not None:
                attempt.on_stream_data(attempt, data)

    def on_client_paused(self, connection: UpstreamConnection, is_paused: bool) -> None:
        """Handle that the client of a long value reads too slowly, or has caught up."""
        self._submit(self.manager.on_client_paused, connection, is_paused)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle the end of a connection."""
        self._connections.pop(connection, None)
        self._submit(self.manager.on_closed, connection)

    def retire(self, connection: UpstreamConnection) -> None:
        """Stop using a connection that the server is about to close."""
        self.manager.retire(self._now(), connection)

    def expire(self) -> None:
        """Close connections that were idle too long; abort those with a stalled partial reply."""
        self._submit(self.manager.expire)

    def close_idle(self) -> None:
        """Close the connections on which no reply is awaited."""
        self._submit(self.manager.close_idle)

    def resume(self) -> None:
        """Allow sends to the server again."""
        self.manager.resume()

    def stop(self) -> None:
        """Send nothing new to a server that is draining or gone."""
        self._submit(self.manager.stop)

    def on_server_restarted(self, started_at: float) -> None:
        """Abort the connections to the server's previous process."""
        self._submit(self.manager.on_server_restarted, started_at)

    def move_to(self, address: Address) -> None:
        """Open connections to another address from now on."""
        self.address = address
        self._submit(self.manager.move_to, address)

    def _handle(self, action: PoolAction) -> None:
        self._handlers[type(action)](action)

    def _on_action_failed(self, action: PoolAction, error: Exception) -> None:
        """Report an exception, and end the connection that it leaves in an unknown state."""
        report_error(f"pool action {type(action).__name__}", error)
        upstream = getattr(action, "connection", None)
        if isinstance(action, OpenConnection):
            self._submit(self.manager.on_connect_failed, upstream)
        elif upstream in self._connections:
            self._connections[upstream].transport.abort()
        if isinstance(action, CheckIdle) and action.attempt is not None:
            self._submit(self.manager.on_assignment_failed, action.attempt)

    def _check_idle(self, check: CheckIdle) -> None:
        """Check a connection, and carry out the resulting actions before the remaining ones."""
        if check.attempt is None:
            self._withdraw_unwanted()
        is_quiet = self._connections[check.connection].is_quiet()
        self._carry_out(self.manager.on_idle_checked(self._now(), check, is_quiet))

    def _withdraw_unwanted(self) -> None:
        """Withdraw waiting attempts that are no longer wanted, such as after a disconnect."""
        for waiting in list(self.manager.state.waiting):
            attempt = cast(Attempt, waiting)
            if attempt.is_still_wanted is not None and not attempt.is_still_wanted(attempt):
                self._carry_out(self.manager.withdraw(self._now(), attempt))

    def _write(self, write: WriteAttempt) -> None:
        connection = self._connections[write.connection]
        attempt = cast(Attempt, write.attempt)
        if attempt.may_write is not None and not attempt.may_write(attempt, self.is_ready):
            self._submit(self.manager.on_write_refused, attempt)
            return
        data = connection.encode(attempt)
        if len(data) == 1:
            connection.transport.write(data[0])
        else:
            connection.transport.writelines(data)
        self._on_written()

    def _start_stream(self, stream: StreamResponse) -> None:
        attempt = cast(Attempt, stream.attempt)
        assert attempt.connection is not None
        if attempt.on_stream_started is not None:
            connection = self._connections[attempt.connection]
            attempt.on_stream_started(attempt, stream.length, connection)

    @staticmethod
    def _end(end: EndAttempt) -> None:
        cast(Attempt, end.attempt).finish(end.status, end.body)

    def _on_connect_failed(self, upstream: UpstreamConnection) -> None:
        self._withdraw_unwanted()  # the remaining ones may be written to busy connections now
        self._submit(self.manager.on_connect_failed, upstream)

    def _on_connected(self, upstream: UpstreamConnection, connection: Connection) -> None:
        self._connections[upstream] = connection
        is_closing = connection.transport.is_closing()
        self._submit(self.manager.on_connected, upstream, is_closing)
        if is_closing:  # `on_closed` may have been called before it was added
            self._connections.pop(upstream, None)
