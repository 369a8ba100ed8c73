"""Handles replies: ends their attempts, and updates the state of their connection."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ironrail.connections.upstream.attempt_writer import AttemptWriter
from ironrail.connections.upstream.connection import Attempt, ReplyState, UpstreamConnection
from ironrail.connections.upstream.connection_fault import ConnectionFault, Fault
from ironrail.connections.upstream.connection_lifecycle import ConnectionLifecycle
from ironrail.connections.upstream.connection_opener import ConnectionOpener
from ironrail.connections.upstream.pool_actions import ActionQueue, StreamResponse
from ironrail.connections.upstream.pool_state import PoolState
from ironrail.connections.upstream.stream_scheduler import StreamScheduler
from ironrail.policy.events import AttemptStatus


class AttemptReply(NamedTuple):
    """A complete reply, as the outcome of the oldest attempt in flight."""

    status: AttemptStatus
    body: bytes = b""


class ReplyHandler:
    """Matches replies with the attempts in flight, which are answered in order."""

    def __init__(
        self,
        state: PoolState,
        actions: ActionQueue,
        opener: ConnectionOpener,
        writer: AttemptWriter,
        lifecycle: ConnectionLifecycle,
        scheduler: StreamScheduler,
    ) -> None:
        self._state = state
        self._actions = actions
        self._opener = opener
        self._writer = writer
        self._lifecycle = lifecycle
        self._scheduler = scheduler

    def on_read(
        self,
        now: float,
        connection: UpstreamConnection,
        replies: Sequence[AttemptReply],
        is_partial: bool,
        fault: Fault | None,
    ) -> None:
        """Handle one read: complete replies, then a part of another or a fault."""
        if replies:
            self._learn(now, connection, replies[0].status)
        ended = [connection.in_flight.popleft() for _ in replies]
        if ended:
            connection.reply_state = ReplyState.NONE
        connection.last_used_at = now
        connection.last_read_at = now
        connection.idle_before_write = 0.0
        if fault is None and is_partial and not connection.in_flight:
            fault = ConnectionFault.SURPLUS_BYTES
        if fault is None:
            self._continue_use(now, connection, is_partial)
        else:
            self._lifecycle.abort(now, connection, fault)
        for attempt, reply in zip(ended, replies, strict=True):
            self._writer.end(attempt, reply.status, reply.body)
        self._finish_read(connection, ended, fault)

    def on_stream_started(self, now: float, connection: UpstreamConnection, length: int) -> None:
        """Forward a long value, of `length` bytes, unless its attempt has been abandoned."""
        connection.last_used_at = now
        connection.last_read_at = now
        if connection.in_flight[0].is_open:
            connection.reply_state = ReplyState.STREAMING
            self._actions.add(StreamResponse(connection.in_flight[0], length))
        else:  # reading the rest would cost more than a new connection
            fault = ConnectionFault.STREAM_UNWANTED
            self._lifecycle.abort_with_attempts(now, connection, fault)

    def on_client_paused(self, now: float, connection: UpstreamConnection, is_paused: bool) -> None:
        """Record that the client of a long value is too slow, or has caught up.

        The replies to the other attempts are not read meanwhile, so these are cancelled and can be
        retried elsewhere. Where hedging is forbidden they are not cancelled, because an attempt is
        in flight as long as its connection is open.
        """
        if connection.is_streaming:
            connection.reply_state = ReplyState.PAUSED if is_paused else ReplyState.STREAMING
        connection.last_read_at = now
        if is_paused and self._state.hedging_allowed:
            for attempt in list(connection.in_flight)[1:]:
                self._writer.end(attempt, AttemptStatus.CANCELLED)

    def _learn(self, now: float, connection: UpstreamConnection, first: AttemptStatus) -> None:
        """Learn the server's reply time and capacity from the first reply of a read."""
        if connection.is_new:
            connection.is_new = False
            self._check_capacity(now, connection, first)
        elif len(connection.in_flight) == 1 and not connection.is_streaming:
            self._opener.record_reply_time(now - connection.in_flight[0].written_at)

    def _check_capacity(
        self, now: float, connection: UpstreamConnection, first: AttemptStatus
    ) -> None:
        """Learn from the first reply on a connection whether the server has capacity for it.

        A cache that has too many connections, of all routers, rejects all requests on a new one.
        """
        is_shared = self._state.max_streams > 1 and len(self._state.connected) > 1
        if first is AttemptStatus.BUSY and is_shared:
            connection.is_over_limit = True
            self._opener.note_server_full(now)
        elif first in (AttemptStatus.OK, AttemptStatus.MISS):
            self._opener.note_served()

    def _continue_use(self, now: float, connection: UpstreamConnection, is_partial: bool) -> None:
        if not connection.is_streaming:
            connection.reply_state = ReplyState.PARTIAL if is_partial else ReplyState.NONE
        if not connection.in_flight:
            self._lifecycle.release(now, connection)

    def _finish_read(
        self, connection: UpstreamConnection, ended: Sequence[Attempt], fault: Fault | None
    ) -> None:
        if fault is not None:
            # the reply to the oldest is malformed; those behind it will get none
            self._writer.end_all(connection, AttemptStatus.ERROR, AttemptStatus.CANCELLED)
        elif ended:
            self._scheduler.record_reply(ended[-1])
