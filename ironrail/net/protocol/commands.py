"""Incremental parser of the commands that clients send."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ironrail.net.protocol.errors import CommandError, FramingError, ProtocolError
from ironrail.net.protocol.fields import is_printable, parse_fields
from ironrail.net.protocol.framing import (
    MAX_LINE_BYTES,
    MAX_UNRESERVED_VALUE_BYTES,
    ReceiveBuffer,
    parse_value_length,
)

MAX_KEY_BYTES = 250
MAX_REQUEST_ID_BYTES = 64

UNKNOWN_COMMAND = b"ERROR\r\n"
"""The response to a line that is not a known command."""

REQUEST_ID_FLAG = b"O"
FIELDS_FLAG = b"P"
VALUE_FLAG = b"v"

READ_FLAGS = {REQUEST_ID_FLAG, FIELDS_FLAG, VALUE_FLAG}
WRITE_FLAGS = {REQUEST_ID_FLAG, FIELDS_FLAG}
"""The permitted flags of each command; others would change the format of the response."""

REQUIRED_FIELDS = ("c", "d")

MAX_COMMAND_WORDS = 6
"""One more than any valid command has; the rest of a line with more is not split."""


@dataclass(slots=True, frozen=True)
class Command:
    """A client's `mg` (read) or `ms` (write)."""

    key: bytes
    request_id: bytes
    raw_fields: bytes
    """The list of field names and values, as received."""
    fields: dict[str, str]
    value: bytes | None
    """None for a read."""

    @property
    def is_write(self) -> bool:
        """Whether the command stores a value."""
        return self.value is not None


@dataclass(slots=True, frozen=True)
class Noop:
    """`mn`, by which a client asks whether the router can serve."""


@dataclass(slots=True, frozen=True)
class BadCommand:
    """An invalid command; `is_fatal` if the start of the next command is unknown."""

    response: bytes
    is_fatal: bool = False


class CommandState(Enum):
    """What the parser expects next."""

    COMMAND_LINE = "command_line"
    VALUE = "value"
    SKIPPED_VALUE = "skipped_value"
    """A value that is dropped as it arrives."""


_COMMAND_LINE = CommandState.COMMAND_LINE
_VALUE = CommandState.VALUE
_SKIPPED_VALUE = CommandState.SKIPPED_VALUE


class CommandParser:
    """Parses the commands of one client."""

    def __init__(self) -> None:
        """Expect a command line."""
        self._buffer = ReceiveBuffer()
        self._state = _COMMAND_LINE
        self._write_line: list[bytes] = []  # words of the `ms` line whose value is expected
        self._value_bytes = 0
        self._is_value_admitted = False

    @property
    def has_partial_command(self) -> bool:
        """Whether a command was received in part."""
        return self._state is not _COMMAND_LINE or len(self._buffer) > 0

    @property
    def has_input(self) -> bool:
        """Whether received bytes are not parsed yet."""
        return len(self._buffer) > 0

    @property
    def is_skipping_value(self) -> bool:
        """Whether a part of a skipped value is still expected."""
        return self._state is _SKIPPED_VALUE

    @property
    def bytes_to_reserve(self) -> int:
        """Size of the expected value if it is only taken after `admit_value`, otherwise 0."""
        if self._state is _VALUE and not self._is_value_admitted:
            return self._value_bytes
        return 0

    def admit_value(self) -> None:
        """Take the expected value, for which memory is reserved, once it is complete."""
        self._is_value_admitted = True

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer.append(data)

    def command_without_value(self) -> Command | BadCommand:
        """Return the write whose value is expected, with an empty value."""
        assert self._state is _VALUE, "a write has begun"
        return _validated(self._write_line, b"")

    def skip_value(self) -> None:
        """Drop the expected value as it arrives; its command is not returned."""
        assert self._state is _VALUE, "a write has begun"
        self._state = _SKIPPED_VALUE

    def next_command(self) -> Command | Noop | BadCommand | None:
        """Remove and return the next complete command; None if there is none.

        A write with `bytes_to_reserve` is not returned before `admit_value`. After a fatal
        `BadCommand` the parser must not be used any more.
        """
        try:
            if self._state is _SKIPPED_VALUE and not self._drop_value():
                return None
            if self._state is _VALUE:
                return self._take_value()
            return self._take_command_line()
        except FramingError as error:
            return _bad_command(error, is_fatal=True)

    def _take_command_line(self) -> Command | Noop | BadCommand | None:
        line = self._buffer.take_line()
        if line is None:
            return None
        words = line.split(b" ", MAX_COMMAND_WORDS)
        match words:
            case [b"mg", _, *_]:
                return _validated(words, None)
            case [b"ms", _, length, *_]:
                self._value_bytes = parse_value_length(length)
                self._write_line = words
                self._state = _VALUE
                self._is_value_admitted = self._value_bytes <= MAX_UNRESERVED_VALUE_BYTES
                return self._take_value()
            case [b"mn"]:
                return Noop()
            case [b"mg"]:
                return _bad_command("bad command line")
            case [b"ms", *_]:  # without a length the end of the value is unknown
                return _bad_command("bad command line", is_fatal=True)
        return BadCommand(UNKNOWN_COMMAND)

    def _drop_value(self) -> bool:
        """Drop what has arrived of a skipped value, and return whether that was the rest."""
        self._value_bytes -= self._buffer.drop_available(self._value_bytes)
        if self._value_bytes or self._buffer.take_block(0) is None:
            return False
        self._state = _COMMAND_LINE
        return True

    def _take_value(self) -> Command | BadCommand | None:
        if not self._is_value_admitted:
            return None
        value = self._buffer.take_block(self._value_bytes)
        if value is None:
            return None
        self._state = _COMMAND_LINE
        return _validated(self._write_line, value)


def _bad_command(reason: object, is_fatal: bool = False) -> BadCommand:
    return BadCommand(f"CLIENT_ERROR {reason}\r\n".encode(), is_fatal)


def _validated(words: list[bytes], value: bytes | None) -> Command | BadCommand:
    try:
        return _read_command(words, value)
    except ProtocolError as error:
        return _bad_command(error)


def _read_command(words: list[bytes], value: bytes | None) -> Command:
    """Build the command of an `mg` or `ms` line.

    Raises:
        ProtocolError: The key, a flag or a field is invalid.
    """
    key = words[1]
    if not is_printable(key, MAX_KEY_BYTES):
        raise CommandError("bad key")
    if value is None:
        flags = _read_flags(words[2:], READ_FLAGS)
    else:
        flags = _read_flags(words[3:], WRITE_FLAGS)
    raw_fields = flags[FIELDS_FLAG]
    fields = parse_fields(raw_fields)
    for name in REQUIRED_FIELDS:
        if name not in fields:
            raise CommandError(f"missing {name}")
    return Command(key, flags[REQUEST_ID_FLAG], raw_fields, fields, value)


def _read_flags(words: list[bytes], expected: set[bytes]) -> dict[bytes, bytes]:
    """Read the flags of a command, each of which is expected once.

    Raises:
        CommandError: A flag is missing, unknown, repeated or malformed.
    """
    flags = {word[:1]: word[1:] for word in words}
    if flags.keys() != expected or len(flags) != len(words):
        raise CommandError("bad flags")
    # Both are sent to the origin in HTTP headers.
    if not is_printable(flags[REQUEST_ID_FLAG], MAX_REQUEST_ID_BYTES):
        raise CommandError("bad flags")
    if not is_printable(flags[FIELDS_FLAG], MAX_LINE_BYTES):
        raise CommandError("bad flags")
    if flags.get(VALUE_FLAG):
        raise CommandError("bad flags")
    return flags
