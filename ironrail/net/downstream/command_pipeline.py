"""The pipelined commands of one connection: parsing and dispatch."""

from __future__ import annotations

from typing import Any, Protocol

from ironrail.connections.downstream.session_manager import NextAction
from ironrail.connections.downstream.session_timeouts import resumed_wait_start
from ironrail.net.downstream.input_arrival import InputArrival
from ironrail.net.downstream.parse_queue import COMMANDS_AT_ONCE, COMMANDS_PER_SLICE
from ironrail.net.downstream.response_queue import ResponseQueue
from ironrail.net.downstream.response_slots import ResponseSlot, SlotConnection
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.downstream.value_reservation import ValueReservation
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import BadCommand, Command, CommandParser, Noop


class PipelineConnection(SlotConnection, Protocol):
    """The interface of a connection to its pipeline."""

    arrival: InputArrival

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or half closed."""

    def has_socket_input(self) -> bool:
        """Whether received input has not been read."""

    def perform(self, action: NextAction) -> None:
        """Take the action that is due after responses were written."""

    def update_reading(self) -> None:
        """Pause or resume reading, as the session's state requires."""


class CommandPipeline:
    """Parses and dispatches the commands of one connection; `responses` has their responses."""

    def __init__(self, context: SessionContext[Any], connection: PipelineConnection) -> None:
        """Start without commands."""
        self._context = context
        self._connection = connection
        self._parser = CommandParser()
        self.responses = ResponseQueue(context, connection, self.flush)
        self._reservation = ValueReservation(context, connection, self)
        self.is_parse_scheduled = False
        """Whether buffered input waits for its turn to be parsed."""
        self._scheduled_at = 0.0
        self._turn_awaited_since: float | None = None  # None: it waits for earlier responses

    # Commands

    def feed(self, data: bytes) -> None:
        """Buffer received bytes, and handle the commands that are complete now."""
        self._parser.feed(data)
        if not self.is_parse_scheduled:
            self._parse(COMMANDS_AT_ONCE)

    def parse_slice(self) -> None:
        """Handle some of the buffered commands, as the turn of this connection has come."""
        self.is_parse_scheduled = False
        if self._connection.session.is_ending:
            return
        since = self._turn_awaited_since
        self._connection.arrival.resume(self._scheduled_at if since is None else since)
        self._parse(COMMANDS_PER_SLICE)
        self._connection.arrival.end()

    def _parse(self, max_commands: int) -> None:
        """Handle complete commands up to a number and to the limit of the session.

        The rest waits for its turn, so that one client does not delay the others.
        """
        self.responses.is_held = True
        self._parse_available(max_commands)
        self.responses.is_held = False
        self.flush()

    def _parse_available(self, max_commands: int) -> None:
        session = self._connection.session
        session.has_unparsed_input = False
        handled = 0
        while not session.is_ending:
            session.max_pipelined_commands = self._context.max_pipelined_commands()
            if not session.accepts_commands:
                self._stop_parsing(None)
                break
            if handled == max_commands:
                self._stop_parsing(self._connection.arrived_at)
                break
            item = self._parser.next_command()
            if session.is_skipping_value and not self._parser.is_skipping_value:
                session.value_received()
            if item is not None:
                handled += 1
                self._handle(item)
            elif not self._parser.bytes_to_reserve or session.awaits_memory:
                break
            elif not self._reservation.admit(self._parser):
                self._reject_unread_value()

    def _stop_parsing(self, arrived_at: float | None) -> None:
        """Leave the rest of the input for later.

        Args:
            arrived_at: When the input may have arrived, if it only waits for its turn.
        """
        self._connection.session.has_unparsed_input = self._parser.has_input
        self._turn_awaited_since = arrived_at

    # Memory for values

    def memory_granted(self) -> None:
        """Take a value that waited for memory, of which a part may have been read."""
        session = self._connection.session
        self._parser.admit_value()
        session.memory_granted(resumed_wait_start(session, self._context.system.now()))
        self._stop_parsing(self._end_memory_wait())
        if session.has_unparsed_input:
            self._schedule_parse()
        self._connection.update_reading()

    def memory_refused(self) -> None:
        """Reject a value that waited for memory, and skip it."""
        self._end_memory_wait()
        self.responses.is_held = True
        self._reject_unread_value()
        self._parse_available(COMMANDS_PER_SLICE)
        self.responses.is_held = False
        self.flush()

    def _end_memory_wait(self) -> float | None:
        """Return when the input may have arrived that was read before the wait for memory."""
        return self._connection.arrival.memory_wait_ended(self._connection.has_socket_input)

    def _reject_unread_value(self) -> None:
        """Respond to a write whose value was not read, and skip the value as it arrives."""
        session = self._connection.session
        command = self._parser.command_without_value()
        self._parser.skip_value()
        now = self._context.system.now()
        session.value_rejected(now)
        slot = self.responses.add()
        if isinstance(command, BadCommand):
            slot.complete(command.response)
        elif self._context.rejects_all:
            slot.complete(meta_codec.write_busy(None))
        else:
            waited_seconds = self._reservation.waited_seconds(now)
            self._context.dispatcher.reject_unread(command, slot.complete, waited_seconds)
        is_valid = not isinstance(command, BadCommand)
        self._context.sessions.record_command(now, session, is_valid)

    # Handling

    def _handle(self, item: Command | Noop | BadCommand) -> None:
        slot = self.responses.add()
        session = self._connection.session
        if session.has_reserved_value:
            session.value_received()
            self._reservation.hand_over(slot)
            slot.holds_memory = True
        is_valid = self._respond_or_dispatch(item, slot)
        self._context.sessions.record_command(self._context.system.now(), session, is_valid)
        if isinstance(item, BadCommand) and item.is_fatal:
            session.end()

    def _respond_or_dispatch(self, item: Command | Noop | BadCommand, slot: ResponseSlot) -> bool:
        """Answer a command at once or dispatch it, and return whether it is valid."""
        match item:
            case Command() if self._context.rejects_all:
                slot.complete(meta_codec.write_busy(None))
            case Command():
                slot.request_id = self._context.dispatcher.accept(item, slot.complete, slot)
                return slot.request_id is not None
            case Noop():
                can_serve = self._context.can_serve()
                slot.complete(meta_codec.READY if can_serve else meta_codec.NOT_READY)
            case BadCommand():
                slot.complete(item.response)
                return False
        return True

    def reject_partial_command(self) -> None:
        """Send an error for a command that timed out incomplete, after earlier responses.

        A skipped value is only given up, as its command has its response.
        """
        if self._connection.session.is_skipping_value:
            self._connection.session.end()
            self.discard_partial_command()
            self.flush()
            return
        self._connection.session.reject_partial_command()
        self.discard_partial_command()
        slot = self.responses.add()
        slot.complete(meta_codec.COMMAND_TIMEOUT)
        self._connection.update_reading()

    def discard_partial_command(self) -> None:
        """Drop the input that is not parsed yet, and its memory, as the session has ended."""
        self._parser = CommandParser()
        self._reservation.release()

    def cancel_requests(self) -> None:
        """Cancel all requests, whose ids the client may reuse on another connection."""
        self.responses.cancel_requests()
        self.discard_partial_command()

    # Responses

    def flush(self) -> None:
        """Write the responses that are next, and take the action that is due then."""
        written = self.responses.write_ready()
        session = self._connection.session
        action = self._context.sessions.record_progress(
            session, written, self._parser.has_partial_command, self._connection.is_closing
        )
        if action is NextAction.PARSE:
            self._schedule_parse()
        elif action is not NextAction.NOTHING:
            self._connection.perform(action)
        self._connection.update_reading()

    def _schedule_parse(self) -> None:
        if not self.is_parse_scheduled:
            self.is_parse_scheduled = True
            self._scheduled_at = self._context.system.now()
            self._context.parse_queue.add(self)
