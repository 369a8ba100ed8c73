"""The connection of one client: transport events, timeouts and close."""

from __future__ import annotations

import asyncio
from typing import cast

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.connections.downstream.session_manager import NextAction
from ironrail.connections.downstream.session_timeouts import resumed_wait_start
from ironrail.connections.downstream.transfer_progress import Contention
from ironrail.diagnostics.reasons import ClientCloseReason, ClientLoss
from ironrail.net.dispatch.in_flight_request import ClientRegion
from ironrail.net.downstream.command_pipeline import CommandPipeline
from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.downstream.input_arrival import InputArrival
from ironrail.net.downstream.progress_check import ProgressCheck
from ironrail.net.downstream.resilient_transport import ResilientTransport
from ironrail.net.downstream.session_context import SessionContext


class ClientConnection(asyncio.Protocol):
    """The connection of one client."""

    transport: asyncio.Transport
    session: ClientSession
    client_region: ClientRegion | None
    _pipeline: CommandPipeline

    def __init__(self, context: SessionContext[ClientConnection], waiting_since: float) -> None:
        """Wait for `connection_made`.

        Args:
            context: Shared by all connections.
            waiting_since: Since when the connection may have waited to be accepted and set up, in
                seconds on the monotonic clock.
        """
        self._context = context
        self.arrival = InputArrival(context.dispatcher.monitor, waiting_since)
        self.half_closed: HalfClosedConnection | None = None
        self._finish_reason = ClientCloseReason.BAD_COMMANDS
        self.close_reason: ClientCloseReason | None = None
        """Why the router closed the connection; None while it is open, or if the client did."""

    # Transport events

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the client's session."""
        self._resilient_transport = cast(ResilientTransport, transport)
        self.transport = self._resilient_transport
        self.arrival.opened(self._context.system.now())
        self.session = self._context.add(self)
        self._pipeline = CommandPipeline(self._context, self)
        self._progress_check = ProgressCheck(
            self, self._resilient_transport, self._pipeline, self._context.system
        )
        self.client_region = self._context.client_region_of(self.transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data, or discard it once the session ends."""
        if self.session.is_ending:
            if self.half_closed is not None:
                self.half_closed.discard(len(data))
            return
        unread_since = self._resilient_transport.unread_since
        waited_for_memory = self.arrival.begin(unread_since, self.has_socket_input)
        now = self._context.system.now()
        heard_at = resumed_wait_start(self.session, now) if waited_for_memory else now
        self._context.sessions.record_data(heard_at, self.session)
        if self.session.is_value_long:
            self.session.value_progress.record(now, len(data))
        self._pipeline.feed(data)
        self.arrival.end()

    def pause_writing(self) -> None:
        """Record that the client has stopped reading responses."""
        self._set_responses_unread(True)

    def resume_writing(self) -> None:
        """Record that the client reads responses again."""
        self._set_responses_unread(False)

    def _set_responses_unread(self, is_unread: bool) -> None:
        self.session.set_responses_unread(self._context.system.now(), is_unread)
        self._pipeline.responses.update_memory()
        self.update_reading()
        self._pipeline.responses.update_flow_control()

    def eof_received(self) -> bool:
        """Cancel the client's requests, and keep the connection open while data is unsent."""
        self._cancel_requests()
        if not self.transport.get_write_buffer_size():
            return False  # the transport closes now
        self.close(peer_closed=True)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the client's requests, and unregister the connection."""
        if self.close_reason is None:
            self._report_loss(exc)
        self._context.remove(self)
        self._cancel_requests()
        self._pipeline.responses.end()
        if self.half_closed is not None:
            self.half_closed.closed()

    def _report_loss(self, error: Exception | None) -> None:
        loss = ClientLoss.CLOSED if error is None else ClientLoss.SOCKET_ERROR
        self._context.dispatcher.diagnostics.client_lost(
            self._context.system.now(), loss, error, self._pipeline.responses.unanswered_requests()
        )

    def _cancel_requests(self) -> None:
        self.session.end()
        self._pipeline.cancel_requests()

    # State

    @property
    def arrived_at(self) -> float | None:
        """Earliest arrival time of the input that is being parsed; None at other times."""
        return self.arrival.arrived_at

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or half closed."""
        return self.half_closed is not None or self.transport.is_closing()

    def has_left(self, waited: bool) -> bool:
        """Whether the client has disconnected, as far as the operating system knows.

        The event loop reports a disconnect late when it is busy, and not at all while reading is
        paused.

        Args:
            waited: Whether time has passed since the command was read. If not, the socket is still
                looked at for a command that was read late.
        """
        if self.is_closing:
            return True
        if not waited and self.session.is_reading and self.arrival.is_current:
            return False
        return self._context.system.has_hung_up(self.transport)

    def has_unread_input(self) -> bool:
        """Whether received input is not parsed yet."""
        return self._pipeline.is_parse_scheduled or self.has_socket_input()

    def has_socket_input(self) -> bool:
        """Whether received input has not been read."""
        return self._context.system.unread_check(self.transport)()

    def can_close_cleanly(self) -> bool:
        """Whether a close now loses neither received input nor unwritten responses.

        Input that arrives in that moment is discarded; its client retries at another router.
        """
        if self.is_closing:
            return True
        return not (self.has_unread_input() or self.transport.get_write_buffer_size())

    # Actions

    def update_reading(self) -> None:
        """Pause or resume reading, as the session's state requires."""
        if self.session.awaits_memory:
            self.arrival.memory_awaited(self._context.system.now())
        should_read = self.session.should_read
        if should_read is self.session.is_reading or self.is_closing:
            return
        self.session.set_reading(self._context.system.now(), should_read)
        if should_read:
            self.transport.resume_reading()
        else:
            self.arrival.reading_paused()
            self.transport.pause_reading()

    def perform(self, action: NextAction) -> None:
        """Take the action that is due after responses were written."""
        match action:
            case NextAction.FINISH:
                self.close(self._finish_reason)
            case NextAction.CLOSE if self.can_close_cleanly():
                self.close(self._close_reason_when_idle())
            case NextAction.EVICT_IDLE:
                self._context.evict_idle()

    def _close_reason_when_idle(self) -> ClientCloseReason:
        if self.session.is_migrating:
            return ClientCloseReason.MIGRATED
        return ClientCloseReason.SHUTDOWN

    def close(self, reason: ClientCloseReason | None = None, peer_closed: bool = False) -> None:
        """Half-close the connection after pending writes, and discard further input.

        Args:
            reason: Why the router closes the connection; None if the client closed it.
            peer_closed: Whether the client has closed its side.
        """
        if self.is_closing:
            return
        if reason is not None:
            diagnostics = self._context.dispatcher.diagnostics
            unanswered = self._pipeline.responses.unanswered_requests()
            if not diagnostics.invariants.may_close(self._context.system.now(), unanswered):
                return
            diagnostics.client_closes.add(reason)
            self.close_reason = reason
        self.session.end()
        self._pipeline.discard_partial_command()
        self.half_closed = HalfClosedConnection(
            self.transport,
            self._context.system,
            progress=self.session.responses_taken,
            peer_closed=peer_closed,
        )
        self._context.sessions.remove(self.session)
        self._context.start_linger(self)

    def end_after_broken_value(self) -> None:
        """Cancel the requests behind a value that broke off, and close after pending writes.

        The responses ahead of it and what was written of it may still be unsent.
        """
        self._cancel_requests()
        self.close(ClientCloseReason.BROKEN_VALUE)

    def check_timeouts(self, now: float, contention: Contention) -> None:
        """End a client that has disconnected, is overdue, or is too slow while others wait."""
        self._progress_check.run(now, contention)

    def end_unread(self, reason: ClientCloseReason) -> None:
        """Abort the connection of a client that takes its responses too slowly, or not at all."""
        self._context.dispatcher.diagnostics.client_closes.add(reason)
        self.transport.abort()

    def reject_partial_command(self) -> None:
        """Send an error for a command that was not complete in time, and close."""
        self._finish_reason = ClientCloseReason.PARTIAL_COMMAND
        self._pipeline.reject_partial_command()

    def close_unused(self) -> None:
        """Close a connection that was idle for too long."""
        self.close(ClientCloseReason.IDLE)
