"""Opens connections, releases them for reuse, and ends them."""

from __future__ import annotations

from ironrail.connections.upstream.attempt_writer import AttemptWriter
from ironrail.connections.upstream.connection import Attempt, ConnectionState, UpstreamConnection
from ironrail.connections.upstream.connection_fault import ConnectionFault, Fault
from ironrail.connections.upstream.connection_opener import ConnectionOpener
from ironrail.connections.upstream.pool_actions import (
    AbortConnection,
    ActionQueue,
    CheckIdle,
    CloseConnection,
    LogConnectionFault,
    OpenConnection,
)
from ironrail.connections.upstream.pool_state import PoolState
from ironrail.policy.events import AttemptStatus


class ConnectionLifecycle:
    """Opens and ends the connections of a pool."""

    def __init__(
        self,
        state: PoolState,
        actions: ActionQueue,
        opener: ConnectionOpener,
        writer: AttemptWriter,
    ) -> None:
        self._state = state
        self._actions = actions
        self._opener = opener
        self._writer = writer

    def open(self, now: float) -> None:
        """Open one more connection."""
        self._opener.note_opened()
        connection = UpstreamConnection(self._state.address, connect_started_at=now)
        self._state.add_connecting(connection)
        self._actions.add(OpenConnection(connection))

    def release(self, now: float, connection: UpstreamConnection) -> None:
        """Use a connection without attempts in flight for a waiting attempt, or keep it idle."""
        state = self._state
        if connection.state is not ConnectionState.OPEN:
            return
        is_outdated = connection.address != state.address
        if not state.is_ready or is_outdated or connection.is_over_limit:
            self.close(now, connection)
        elif state.waiting:
            self._actions.add(CheckIdle(connection, None))
        else:
            state.idle.append(connection)

    def remove(self, now: float, connection: UpstreamConnection) -> None:
        """Stop using a connection, and open another if waiting attempts would get none."""
        state = self._state
        if connection.in_flight and connection.state is ConnectionState.OPEN:
            self._opener.note_broken(now)
        state.remove(connection)
        if state.is_ready and state.unserved_count > 0 and state.has_capacity():
            self.open(now)

    def close(self, now: float, connection: UpstreamConnection) -> None:
        """Close a connection on which no reply is awaited."""
        self.remove(now, connection)
        self._actions.add(CloseConnection(connection))

    def abort(self, now: float, connection: UpstreamConnection, fault: Fault) -> None:
        """End a connection at once because of a fault, which is logged."""
        self._actions.add(LogConnectionFault(fault))
        self.remove(now, connection)
        self._actions.add(AbortConnection(connection))

    def abort_with_attempts(self, now: float, connection: UpstreamConnection, fault: Fault) -> None:
        """End a connection whose replies can't be matched any more, and its attempts."""
        connection.last_used_at = now
        connection.last_read_at = now
        connection.idle_before_write = 0.0
        self.abort(now, connection, fault)
        self._writer.end_all(connection, AttemptStatus.ERROR, AttemptStatus.CANCELLED)

    def abort_if_silent(self, now: float, connection: UpstreamConnection, attempt: Attempt) -> None:
        """End a connection if nothing was read since an attempt was written that timed out."""
        is_silent = connection.last_read_at <= attempt.written_at
        is_open = connection.state is ConnectionState.OPEN
        if is_silent and is_open and not connection.is_streaming:
            self.abort(now, connection, ConnectionFault.SILENT)
            self._writer.end_all(connection, AttemptStatus.CANCELLED, AttemptStatus.CANCELLED)

    def close_abandoned(self, now: float) -> None:
        """Close all connections on which no reply is awaited."""
        for connection in [c for c in self._state.connected if c.is_abandoned()]:
            self.close(now, connection)
