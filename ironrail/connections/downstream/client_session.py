"""The state of one client connection that the rules for sessions depend on."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ironrail.connections.downstream.transfer_progress import TransferProgress

MAX_PIPELINED_COMMANDS = 64
"""Commands of one session without a written response; at this limit no more are read."""

MAX_CONSECUTIVE_BAD_COMMANDS = 8
"""Invalid commands in a row after which the session ends, because each costs CPU."""


class SessionState(Enum):
    """Whether a session accepts more commands."""

    OPEN = "open"
    MIGRATING = "migrating"
    """It closes after its next response, so that the client reconnects in another zone."""
    ENDING = "ending"
    """No more commands are accepted."""


class CommandProgress(Enum):
    """How much of the next command has been received."""

    NONE = "none"
    PARTIAL = "partial"
    RESERVED_VALUE = "reserved_value"
    """A value is being received for which memory is reserved."""
    AWAITING_MEMORY = "awaiting_memory"
    """A value follows, which is not read until memory is reserved for it."""
    SKIPPED_VALUE = "skipped_value"
    """A value is being received whose command has been rejected for lack of memory."""


_ENDING = SessionState.ENDING
_NONE = CommandProgress.NONE
_PARTIAL = CommandProgress.PARTIAL
_RESERVED_VALUE = CommandProgress.RESERVED_VALUE
_AWAITING_MEMORY = CommandProgress.AWAITING_MEMORY
_SKIPPED_VALUE = CommandProgress.SKIPPED_VALUE


@dataclass(slots=True, eq=False)
class ClientSession:
    """One client's connection. Times are seconds on a monotonic clock."""

    wait_started_at: float
    """When the wait for the client began: at the connect, first byte or latest command."""
    last_received_at: float = 0.0
    state: SessionState = SessionState.OPEN
    progress: CommandProgress = CommandProgress.NONE
    has_been_used: bool = False
    """Whether a valid command was received."""
    pending_responses: int = 0
    """Commands whose responses are not written yet."""
    consecutive_bad_commands: int = 0
    has_unparsed_input: bool = False
    """Whether input was read that may hold a whole command, and is not parsed yet."""
    responses_unread_since: float | None = None
    """Since when unread responses fill the buffers, and reading pauses; None if they do not."""
    responses_taken: TransferProgress = field(init=False)
    """The progress of a client that takes its responses slowly."""
    value_progress: TransferProgress = field(init=False)
    """The progress of a client that sends a long value."""
    max_pipelined_commands: int = MAX_PIPELINED_COMMANDS
    is_reading: bool = True
    """Whether the transport is set to read."""
    reading_paused_at: float | None = None
    """Since when nothing is read, other than to wait for memory; None while it is read."""
    is_value_long: bool = False
    """Whether the value that is being received or skipped may take longer than other commands."""

    def __post_init__(self) -> None:
        """Start without progress; `value_progress` is replaced when a long value starts."""
        self.responses_taken = TransferProgress(self.wait_started_at)
        self.value_progress = TransferProgress(self.wait_started_at)

    @property
    def is_ending(self) -> bool:
        """Whether no more commands are accepted."""
        return self.state is _ENDING

    @property
    def is_migrating(self) -> bool:
        """Whether the session closes after its next response, to move to another zone."""
        return self.state is SessionState.MIGRATING

    @property
    def is_idle(self) -> bool:
        """Whether the session is between two commands."""
        return self.pending_responses == 0 and self.progress is _NONE

    @property
    def has_partial_command(self) -> bool:
        """Whether a part of a command was received."""
        return self.progress is not _NONE

    @property
    def has_reserved_value(self) -> bool:
        """Whether memory is reserved, or awaited, for the value that is being received."""
        return self.progress is _RESERVED_VALUE or self.progress is _AWAITING_MEMORY

    @property
    def awaits_memory(self) -> bool:
        """Whether a value is not read until memory is reserved for it."""
        return self.progress is _AWAITING_MEMORY

    @property
    def is_skipping_value(self) -> bool:
        """Whether a value is being received whose command has been rejected."""
        return self.progress is _SKIPPED_VALUE

    @property
    def accepts_commands(self) -> bool:
        """Whether one more command may be parsed now."""
        return self.state is not _ENDING and self.pending_responses < self.max_pipelined_commands

    @property
    def should_read(self) -> bool:
        """Whether to read from the client.

        Limits the memory used by clients that send faster than their commands are parsed, or that
        never read, and the CPU used for commands whose responses are not read.
        """
        if self.has_unparsed_input or self.awaits_memory:
            return False
        return self.accepts_commands and self.responses_unread_since is None

    def set_reading(self, now: float, is_reading: bool) -> None:
        """Record that reading is paused or resumed.

        A pause is no delay of the client, except that the wait for memory counts towards its time.
        """
        self.is_reading = is_reading
        if not is_reading:
            self.reading_paused_at = None if self.awaits_memory else now
        elif self.reading_paused_at is not None:
            self.wait_started_at += now - max(self.reading_paused_at, self.wait_started_at)
            self.last_received_at += now - max(self.reading_paused_at, self.last_received_at)
            self.value_progress.skip(now - self.reading_paused_at)
            self.reading_paused_at = None

    def end(self) -> None:
        """Accept no more commands."""
        self.state = _ENDING

    def start_migration(self) -> None:
        """Have the session close after its next response."""
        if self.state is SessionState.OPEN:
            self.state = SessionState.MIGRATING

    def cancel_migration(self) -> None:
        """Let the session stay open after all."""
        if self.state is SessionState.MIGRATING:
            self.state = SessionState.OPEN

    def value_started(self, now: float, is_long: bool, is_memory_reserved: bool) -> None:
        """Record that the header of a value was received, in time."""
        self.progress = _RESERVED_VALUE if is_memory_reserved else _AWAITING_MEMORY
        self.is_value_long = is_long
        if is_long:
            self.wait_started_at = now
            self.value_progress = TransferProgress(now)

    def memory_granted(self, wait_started_at: float) -> None:
        """Record that a value that waited for memory may be read.

        Args:
            wait_started_at: Since when the router has waited for more of the value.
        """
        self.progress = _RESERVED_VALUE
        self.wait_started_at = wait_started_at
        self.value_progress.restart(wait_started_at)

    def value_rejected(self, now: float) -> None:
        """Record that the command of a value was rejected before the value was received."""
        self.progress = _SKIPPED_VALUE
        self.wait_started_at = now

    def value_received(self) -> None:
        """Record that a value is complete, or skipped to its end."""
        self.progress = _PARTIAL

    def update_progress(self, has_partial_command: bool) -> None:
        """Record the parser's state once all received commands are parsed."""
        if not has_partial_command:
            self.progress = _NONE
        elif self.progress is _NONE:
            self.progress = _PARTIAL

    def reject_partial_command(self) -> None:
        """End the session after an error response to the command that was not complete in time."""
        self.pending_responses += 1
        self.state = _ENDING

    def set_responses_unread(self, now: float, is_unread: bool) -> None:
        """Record whether unread responses fill the buffers, so that the client is waited for."""
        self.responses_unread_since = now if is_unread else None
        if is_unread:
            self.responses_taken.restart(now)
