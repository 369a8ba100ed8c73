"""The periodic check of one client connection: whether its client is still there, and in time."""

from __future__ import annotations

from typing import Protocol

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.connections.downstream.session_timeouts import TimeoutAction, timeout_action
from ironrail.connections.downstream.transfer_progress import Contention
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.downstream.command_pipeline import CommandPipeline
from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.downstream.resilient_transport import ResilientTransport
from ironrail.net.system import System


class CheckedConnection(Protocol):
    """The interface of a connection to its periodic check."""

    session: ClientSession
    half_closed: HalfClosedConnection | None

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or half closed."""

    def has_unread_input(self) -> bool:
        """Whether received input is not parsed yet."""

    def eof_received(self) -> bool:
        """Cancel the client's requests, and return whether the connection stays open."""

    def end_unread(self, reason: ClientCloseReason) -> None:
        """Abort the connection of a client that takes its responses too slowly, or not at all."""

    def reject_partial_command(self) -> None:
        """Send an error for a command that was not complete in time, and close."""

    def close_unused(self) -> None:
        """Close a connection that was idle for too long."""


class ProgressCheck:
    """Checks one connection each time that its listener asks for it."""

    def __init__(
        self,
        connection: CheckedConnection,
        transport: ResilientTransport,
        pipeline: CommandPipeline,
        system: System,
    ) -> None:
        """Start before the first response is written."""
        self._connection = connection
        self._transport = transport
        self._pipeline = pipeline
        self._system = system
        self._had_unsent = False  # at the last check
        self._bytes_taken = 0  # by the client's system, when that was last looked at

    def run(self, now: float, contention: Contention) -> None:
        """End the session of a client that has disconnected, or whose timeout has expired.

        Args:
            now: Seconds on the monotonic clock.
            contention: The others that wait for memory or descriptors.
        """
        self._pipeline.responses.update_memory()
        if self._connection.is_closing:
            self._end_slow_linger(now, contention)
            return
        self._record_taken_responses(now)
        self._end_if_departed()
        if not self._connection.is_closing:
            self._end_if_overdue(now, contention)

    def _end_if_overdue(self, now: float, contention: Contention) -> None:
        is_contended = contention.unserved > 0
        session = self._connection.session
        action = timeout_action(
            session, now, is_contended=is_contended, has_unsent=self._had_unsent
        )
        match action:
            case TimeoutAction.ABORT:
                self._connection.end_unread(ClientCloseReason.UNREAD)
            case TimeoutAction.ABORT_SLOW:
                contention.give_way()
                self._connection.end_unread(ClientCloseReason.TOO_SLOW)
            case TimeoutAction.REJECT_SLOW:
                contention.give_way()
                self._connection.reject_partial_command()
            case TimeoutAction.REJECT_COMMAND:
                self._connection.reject_partial_command()
            # Applies even if the client has not read the last of its responses.
            case TimeoutAction.CLOSE if not self._connection.has_unread_input():
                self._connection.close_unused()

    def _end_slow_linger(self, now: float, contention: Contention) -> None:
        """Abort a half-closed connection whose client takes its last responses too slowly."""
        half_closed = self._connection.half_closed
        if contention.unserved <= 0 or half_closed is None:
            return
        if half_closed.is_slow(now):
            contention.give_way()
            self._connection.end_unread(ClientCloseReason.TOO_SLOW)

    def _record_taken_responses(self, now: float) -> None:
        """Record how much the client's system has received since the last check."""
        has_unsent = self._transport.get_write_buffer_size() > 0
        if has_unsent and not self._had_unsent:
            self._connection.session.responses_taken.restart(now)
        self._had_unsent = has_unsent
        if not has_unsent:
            return
        bytes_taken = self._transport.bytes_written - self._system.unsent_bytes(self._transport)
        self._connection.session.responses_taken.record(now, bytes_taken - self._bytes_taken)
        self._bytes_taken = bytes_taken

    def _end_if_departed(self) -> None:
        """Find the disconnect of a client whose value waits for memory, and thus is not read.

        Other pauses in reading end by the deadlines of the requests that are in flight.
        """
        connection = self._connection
        if not connection.session.awaits_memory:
            return
        if self._system.has_hung_up(self._transport) and not connection.eof_received():
            self._transport.abort()
