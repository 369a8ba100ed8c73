"""Gives up attempts before their replies, and handles their connections."""

from __future__ import annotations

from ironrail.connections.upstream.attempt_writer import AttemptWriter, is_unsent
from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.connection_fault import ConnectionFault
from ironrail.connections.upstream.connection_lifecycle import ConnectionLifecycle
from ironrail.connections.upstream.pool_actions import AbortConnection, ActionQueue
from ironrail.connections.upstream.pool_state import PoolState
from ironrail.policy.events import AttemptStatus


class AttemptCanceller:
    """Gives up attempts that wait, are partly written, or are in flight.

    `abandon` stops waiting for a reply; its connection stays busy until the reply. `revoke` makes
    sure that the attempt is not in flight any more. `withdraw` takes back an unsent attempt only.
    """

    def __init__(
        self,
        state: PoolState,
        actions: ActionQueue,
        writer: AttemptWriter,
        lifecycle: ConnectionLifecycle,
    ) -> None:
        self._state = state
        self._actions = actions
        self._writer = writer
        self._lifecycle = lifecycle

    def abandon(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Stop waiting for an attempt; if written, its connection is busy until its reply.

        The connection is aborted instead if the attempt is not completely written, if its long
        value is being streamed, or if the attempt timed out and nothing was read since its write.
        """
        if attempt in self._state.waiting:
            self._state.waiting.remove(attempt)
            status = self._status_of_unserved()
        connection = attempt.connection
        was_open = attempt.is_open
        if connection is not None and is_unsent(attempt):
            # it never ran, and its unsent bytes would stay in memory
            self._writer.end(attempt, AttemptStatus.CONNECT_FAILED)
            fault = ConnectionFault.WRITE_STALLED
            self._lifecycle.abort_with_attempts(now, connection, fault)
        self._writer.end(attempt, status)
        if connection is not None and was_open and _is_streamed(connection, attempt):
            fault = ConnectionFault.STREAM_ABANDONED
            self._lifecycle.abort_with_attempts(now, connection, fault)
        if status is AttemptStatus.TIMEOUT and connection is not None:
            self._lifecycle.abort_if_silent(now, connection, attempt)
        if not self._state.is_ready:  # no later event would close what is left
            self._lifecycle.close_abandoned(now)

    def revoke(self, now: float, attempt: Attempt) -> None:
        """Give up an attempt of a request that may not be in flight twice.

        It is in flight as long as its connection, so that is aborted. Behind a long value that is
        being forwarded the attempt stays in flight until its reply or its deadline instead: the
        client of that value has received a part of it.
        """
        connection = attempt.connection
        if connection is None or not attempt.is_open or is_unsent(attempt):
            self.abandon(now, attempt, AttemptStatus.CANCELLED)
            return
        if connection.is_streaming and not _is_streamed(connection, attempt):
            return
        self._lifecycle.remove(now, connection)
        # before the outcomes, because each may cause another attempt at once
        self._actions.add(AbortConnection(connection))
        self._writer.end_all(connection, AttemptStatus.CANCELLED, AttemptStatus.CANCELLED)

    def withdraw(self, now: float, attempt: Attempt) -> None:
        """Take an attempt back if it is unsent; otherwise do nothing."""
        if not is_unsent(attempt):
            return
        connection = attempt.connection
        self._writer.end(attempt, AttemptStatus.NOT_SENT)
        if connection is None:
            self._state.waiting.remove(attempt)
        else:  # its unsent bytes would still be sent
            connection.in_flight.pop()  # has its outcome; the fault is for the other attempts
            fault = ConnectionFault.WRITE_WITHDRAWN
            self._lifecycle.abort_with_attempts(now, connection, fault)

    def _status_of_unserved(self) -> AttemptStatus:
        """Return the outcome of an attempt that got no connection in time."""
        if self._state.connecting:
            return AttemptStatus.CONNECT_FAILED
        return AttemptStatus.CANCELLED_BEFORE_SEND


def _is_streamed(connection: UpstreamConnection, attempt: Attempt) -> bool:
    in_flight = connection.in_flight
    return connection.is_streaming and bool(in_flight) and in_flight[0] is attempt
