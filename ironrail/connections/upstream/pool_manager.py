"""Manages the connections to one server: takes events, returns actions; no I/O, no clock.

A host carries out the actions one after another, and reports no other event before the last is
done; only `CheckIdle` is answered at once, and what the answer causes precedes the remaining
actions. Times are seconds on one clock that only advances.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence

from ironrail.connections.upstream.attempt_canceller import AttemptCanceller
from ironrail.connections.upstream.attempt_writer import AttemptWriter
from ironrail.connections.upstream.connection import Attempt, ReplyState, UpstreamConnection
from ironrail.connections.upstream.connection_fault import ConnectionFault, Fault
from ironrail.connections.upstream.connection_lifecycle import ConnectionLifecycle
from ironrail.connections.upstream.connection_opener import ConnectionOpener
from ironrail.connections.upstream.idle_timeout import IdleTimeout
from ironrail.connections.upstream.pool_actions import (
    AbortConnection,
    ActionQueue,
    CheckIdle,
    PoolAction,
)
from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.connections.upstream.pool_state import PoolState
from ironrail.connections.upstream.reply_handler import AttemptReply, ReplyHandler
from ironrail.connections.upstream.stream_scheduler import StreamScheduler
from ironrail.policy.events import AttemptStatus

# A connection is aborted after this time without a byte of a partial reply, because that blocks the
# replies behind it.
PARTIAL_REPLY_TIMEOUT_SECONDS = 1.2
STREAM_TIMEOUT_SECONDS = 5.0  # the same for a long value, which blocks only its own client


class UpstreamPoolManager:
    """Decides which connections to open and to end, and which one carries an attempt.

    Args:
        address: The address of the server.
        settings: Limits and costs.
    """

    def __init__(self, address: Hashable, settings: PoolSettings) -> None:
        self.state = PoolState(address, settings)
        self.idle_timeout = IdleTimeout(settings.server_idle_timeout)
        self.actions = ActionQueue()
        self.writer = AttemptWriter(self.actions)
        self._opener = ConnectionOpener(settings.connection_cost)
        state = self.state
        actions = self.actions
        opener = self._opener
        writer = self.writer
        lifecycle = ConnectionLifecycle(state, actions, opener, writer)
        scheduler = StreamScheduler(state, actions, opener, writer, lifecycle, self.idle_timeout)
        self._lifecycle = lifecycle
        self._scheduler = scheduler
        self._replies = ReplyHandler(state, actions, opener, writer, lifecycle, scheduler)
        self._canceller = AttemptCanceller(state, actions, writer, lifecycle)

    def assign(self, now: float, attempt: Attempt) -> list[PoolAction]:
        """Send an attempt on an idle, a new or a busy connection, or end it at once."""
        if self.state.is_ready:
            self._scheduler.assign(now, attempt)
        else:  # the server was drained or removed before the attempt was assigned
            self.writer.end(attempt, AttemptStatus.CONNECT_FAILED)
        return self.actions.take()

    def on_idle_checked(self, now: float, check: CheckIdle, is_quiet: bool) -> list[PoolAction]:
        """Use a connection unless bytes have arrived on it, which would be taken for a reply."""
        if check.attempt is None:
            self._scheduler.assign_waiting(now, check.connection, is_quiet)
        elif is_quiet:
            self.writer.write(now, check.connection, check.attempt)
        else:
            self._lifecycle.close(now, check.connection)
            self._scheduler.assign(now, check.attempt)
        return self.actions.take()

    def on_write_refused(self, now: float, attempt: Attempt) -> list[PoolAction]:
        """Undo a write that the host did not carry out."""
        connection = attempt.connection
        assert connection is not None
        attempt.connection = None
        connection.in_flight.remove(attempt)
        self.writer.end(attempt, AttemptStatus.NOT_SENT)
        if not connection.in_flight:
            self._lifecycle.release(now, connection)
        return self.actions.take()

    def on_assignment_failed(self, now: float, attempt: Attempt) -> list[PoolAction]:
        """End an attempt whose connection could not be checked; its host ends the connection."""
        if attempt.connection is None:
            self.writer.end(attempt, AttemptStatus.NOT_SENT)
        return self.actions.take()

    def abandon(self, now: float, attempt: Attempt, status: AttemptStatus) -> list[PoolAction]:
        """Stop waiting for an attempt."""
        self._canceller.abandon(now, attempt, status)
        return self.actions.take()

    def revoke(self, now: float, attempt: Attempt) -> list[PoolAction]:
        """Stop waiting for an attempt, such that it is not in flight any more."""
        self._canceller.revoke(now, attempt)
        return self.actions.take()

    def withdraw(self, now: float, attempt: Attempt) -> list[PoolAction]:
        """Take an attempt back if it is unsent."""
        self._canceller.withdraw(now, attempt)
        return self.actions.take()

    def on_connected(
        self, now: float, connection: UpstreamConnection, is_closing: bool
    ) -> list[PoolAction]:
        """Use a new connection, unless it is closing already or the server has moved."""
        connection.opened_at = now
        connection.last_used_at = now
        connection.last_read_at = now
        if is_closing or connection.address != self.state.address:
            self.actions.add(AbortConnection(connection))
            return self.on_connect_failed(now, connection)
        self.state.mark_connected(connection)
        self._lifecycle.release(now, connection)
        return self.actions.take()

    def on_connect_failed(self, now: float, connection: UpstreamConnection) -> list[PoolAction]:
        """End the attempts that waited, or queue them elsewhere if other connections work."""
        state = self.state
        state.remove_failed(connection)
        others_work = state.max_streams > 1 and any(
            other.last_read_at > connection.connect_started_at for other in state.connected
        )
        if others_work:
            self._opener.note_server_full(now)
        for _ in range(max(0, state.unserved_count)):
            attempt = state.waiting.popleft()
            if others_work:
                self._scheduler.assign_without_idle(now, attempt)
            else:
                self.writer.end(attempt, AttemptStatus.CONNECT_FAILED)
        return self.actions.take()

    def on_read(
        self,
        now: float,
        connection: UpstreamConnection,
        replies: Sequence[AttemptReply],
        is_partial: bool,
        fault: Fault | None = None,
    ) -> list[PoolAction]:
        """Handle one read: complete replies, then a part of another or a fault."""
        self._replies.on_read(now, connection, replies, is_partial, fault)
        return self.actions.take()

    def on_stream_started(
        self, now: float, connection: UpstreamConnection, length: int
    ) -> list[PoolAction]:
        """Handle the start of a long value in reply to the oldest attempt."""
        self._replies.on_stream_started(now, connection, length)
        return self.actions.take()

    def on_client_paused(
        self, now: float, connection: UpstreamConnection, is_paused: bool
    ) -> list[PoolAction]:
        """Handle that the client of a long value is too slow, or has caught up."""
        self._replies.on_client_paused(now, connection, is_paused)
        return self.actions.take()

    def retire(self, now: float, connection: UpstreamConnection) -> None:
        """Stop using a connection that the server is about to close."""
        self._lifecycle.remove(now, connection)

    def on_closed(self, now: float, connection: UpstreamConnection) -> list[PoolAction]:
        """Handle the end of a connection."""
        self._lifecycle.remove(now, connection)
        if connection.in_flight:
            self.idle_timeout.record_break(connection.idle_before_write)
        self.writer.end_all(connection, AttemptStatus.RESET, AttemptStatus.RESET)
        return self.actions.take()

    def close_idle(self, now: float) -> list[PoolAction]:
        """Close the connections on which no reply is awaited."""
        self._lifecycle.close_abandoned(now)
        return self.actions.take()

    def expire(self, now: float) -> list[PoolAction]:
        """Close connections that were idle for too long, and abort those with a stalled reply."""
        for connection in [c for c in self.state.connected if _is_reply_overdue(now, c)]:
            self._lifecycle.abort_with_attempts(now, connection, ConnectionFault.REPLY_STALLED)
        self.idle_timeout.recover()
        idle_since = now - self.idle_timeout.seconds
        for connection in list(self.state.connected):
            if connection.last_used_at <= idle_since and connection.is_abandoned():
                self._lifecycle.close(now, connection)
        return self.actions.take()

    def resume(self) -> None:
        """Allow attempts to the server again."""
        self.state.is_ready = True

    def stop(self, now: float) -> list[PoolAction]:
        """Send nothing new to a draining or removed server; attempts in flight may end."""
        self.state.is_ready = False
        while self.state.waiting:
            self.writer.end(self.state.waiting.popleft(), AttemptStatus.CONNECT_FAILED)
        self._lifecycle.close_abandoned(now)
        return self.actions.take()

    def on_server_restarted(self, now: float, started_at: float) -> list[PoolAction]:
        """Abort the connections to the previous process of the server, which are dead."""
        for connection in [c for c in self.state.connected if c.opened_at < started_at]:
            self._lifecycle.remove(now, connection)
            self.actions.add(AbortConnection(connection))
        return self.actions.take()

    def move_to(self, now: float, address: Hashable) -> list[PoolAction]:
        """Open connections to another address from now on."""
        self.state.address = address
        for connection in list(self.state.idle):
            self._lifecycle.close(now, connection)
        return self.actions.take()


def _is_reply_overdue(now: float, connection: UpstreamConnection) -> bool:
    """Whether a reply has stalled midway; a paused one only waits for its client."""
    silent_for = now - connection.last_read_at
    if connection.reply_state is ReplyState.PARTIAL:
        return silent_for >= PARTIAL_REPLY_TIMEOUT_SECONDS
    if connection.reply_state is ReplyState.STREAMING:
        return silent_for >= STREAM_TIMEOUT_SECONDS
    return False
