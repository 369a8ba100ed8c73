"""Chooses the connection for an attempt: an idle one, a new one, a busy one, or none."""

from __future__ import annotations

import math

from ironrail.connections.upstream.attempt_writer import AttemptWriter
from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.connection_lifecycle import ConnectionLifecycle
from ironrail.connections.upstream.connection_opener import ConnectionOpener
from ironrail.connections.upstream.idle_timeout import IdleTimeout
from ironrail.connections.upstream.pool_actions import ActionQueue, CheckIdle
from ironrail.connections.upstream.pool_state import PoolState
from ironrail.policy.events import AttemptStatus

# A connection is suspect once another one has replied to an attempt written later than its oldest,
# by more than this fraction of the oldest attempt's timeout.
OVERTAKEN_FRACTION = 0.4


class StreamScheduler:
    """Assigns attempts to connections; the most recently used one is reused first."""

    def __init__(
        self,
        state: PoolState,
        actions: ActionQueue,
        opener: ConnectionOpener,
        writer: AttemptWriter,
        lifecycle: ConnectionLifecycle,
        idle_timeout: IdleTimeout,
    ) -> None:
        self._state = state
        self._actions = actions
        self._opener = opener
        self._writer = writer
        self._lifecycle = lifecycle
        self._idle_timeout = idle_timeout
        self._latest_answered_write = -math.inf  # when the latest answered attempt was written

    def record_reply(self, attempt: Attempt) -> None:
        """Record that an attempt was answered, for comparison with other connections."""
        self._latest_answered_write = max(self._latest_answered_write, attempt.written_at)

    def assign(self, now: float, attempt: Attempt) -> None:
        """Assign an attempt to an idle connection, or else as `assign_without_idle` does."""
        idle = self._state.idle
        while idle:
            connection = idle.pop()
            if now - connection.last_used_at < self._idle_timeout.seconds:
                self._actions.add(CheckIdle(connection, attempt))
                return
            self._lifecycle.close(now, connection)
        self.assign_without_idle(now, attempt)

    def assign_without_idle(self, now: float, attempt: Attempt) -> None:
        """Queue an attempt on a busy connection, let it wait for a new one, or end it."""
        state = self._state
        shared = None if attempt.is_exclusive else self._find_shared()
        if shared is not None and self._opener.prefers_queueing(now, len(shared.in_flight)):
            self._writer.write(now, shared, attempt)
        elif self._may_open(now):
            state.waiting.append(attempt)
            if len(state.connecting) < len(state.waiting):
                self._lifecycle.open(now)
        elif shared is not None and shared in state.connected:  # `_may_open` may close one
            self._writer.write(now, shared, attempt)
        elif state.connecting or self._may_wait_exclusively(attempt):
            state.waiting.append(attempt)
        else:
            is_single = state.max_streams == 1
            # neither counts as a fault of the server
            status = AttemptStatus.BUSY if is_single else AttemptStatus.CANCELLED_BEFORE_SEND
            self._writer.end(attempt, status)

    def assign_waiting(self, now: float, connection: UpstreamConnection, is_quiet: bool) -> None:
        """Write waiting attempts to a connection that has been checked, or keep it idle."""
        state = self._state
        if not is_quiet or not state.waiting:
            state.idle.append(connection)
            return
        first = state.waiting.popleft()
        self._writer.write(now, connection, first)
        while state.unserved_count > 0 and len(connection.in_flight) < state.max_streams:
            if first.is_exclusive or state.waiting[0].is_exclusive:
                return
            self._writer.write(now, connection, state.waiting.popleft())

    def _may_wait_exclusively(self, attempt: Attempt) -> bool:
        return attempt.is_exclusive and len(self._state.waiting) < self._state.max_connections

    def _may_open(self, now: float) -> bool:
        """Whether one more connection may be opened, if need be instead of an abandoned one."""
        state = self._state
        if state.connected and self._opener.is_server_full(now):
            return False
        if not state.has_capacity():
            self._close_longest_abandoned(now)
        return state.has_capacity()

    def _close_longest_abandoned(self, now: float) -> None:
        """Close the oldest connection that is busy with abandoned attempts alone."""
        for connection in self._state.connected:
            if connection.in_flight and connection.is_abandoned():
                self._lifecycle.close(now, connection)
                return

    def _find_shared(self) -> UpstreamConnection | None:
        """Return the connection with the fewest attempts in flight that one more may queue on."""
        usable = [c for c in self._state.connected if self._may_share(c)]
        reserved = self._state.unserved_count  # for attempts that need a connection of their own
        if reserved > 0:
            usable = sorted(usable, key=lambda c: len(c.in_flight))[reserved:]
        return min(usable, key=lambda c: len(c.in_flight), default=None)

    def _may_share(self, connection: UpstreamConnection) -> bool:
        if not 0 < len(connection.in_flight) < self._state.max_streams:
            return False
        return not connection.is_blocked() and not self._is_suspect(connection)

    def _is_suspect(self, connection: UpstreamConnection) -> bool:
        """Whether a connection has been silent while later attempts were answered on others.

        It may only be slow, so it is not closed until an attempt on it times out.
        """
        oldest = connection.in_flight[0]
        patience = OVERTAKEN_FRACTION * (oldest.deadline - oldest.written_at)
        is_silent = connection.last_read_at <= oldest.written_at
        return is_silent and self._latest_answered_write - oldest.written_at > patience
