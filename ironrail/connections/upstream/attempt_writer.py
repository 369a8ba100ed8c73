"""Writes attempts to connections, and reports their outcomes."""

from __future__ import annotations

from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.pool_actions import ActionQueue, EndAttempt, WriteAttempt
from ironrail.policy.events import AttemptStatus


class AttemptWriter:
    """Emits the actions that write attempts and report their outcomes."""

    def __init__(self, actions: ActionQueue) -> None:
        self._actions = actions

    def write(self, now: float, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Write an attempt behind those in flight."""
        if not connection.in_flight:
            connection.idle_before_write = now - connection.last_used_at
        connection.last_used_at = now
        attempt.written_at = now
        attempt.connection = connection
        connection.in_flight.append(attempt)
        self._actions.add(WriteAttempt(connection, attempt))

    def end(self, attempt: Attempt, status: AttemptStatus, body: bytes = b"") -> None:
        """Report the outcome of an attempt; only the first one counts."""
        if attempt.is_open:
            attempt.is_open = False
            self._actions.add(EndAttempt(attempt, status, body))

    def end_all(
        self, connection: UpstreamConnection, oldest: AttemptStatus, others: AttemptStatus
    ) -> None:
        """End all attempts in flight on a connection that is lost."""
        status = oldest
        while connection.in_flight:
            attempt = connection.in_flight.popleft()
            is_unsent = connection.has_unsent_bytes and not connection.in_flight
            # an attempt whose last byte was not sent never ran, and may be retried
            self.end(attempt, AttemptStatus.CONNECT_FAILED if is_unsent else status)
            status = others


def is_unsent(attempt: Attempt) -> bool:
    """Whether an attempt can be taken back before it runs: its last byte is not sent."""
    if not attempt.is_open:
        return False
    connection = attempt.connection
    if connection is None:
        return True
    in_flight = connection.in_flight
    return connection.has_unsent_bytes and bool(in_flight) and in_flight[-1] is attempt
