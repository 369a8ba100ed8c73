"""What clients send, parsed piece by piece as bytes arrive. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.net.protocol.fields import is_printable, read_fields
from ironrail.net.protocol.framing import (
    MAX_BUFFERED_VALUE_BYTES,
    MAX_LINE_BYTES,
    FramingError,
    ReceiveBuffer,
    read_length,
)

MAX_KEY_BYTES = 250
UNKNOWN_COMMAND = b"ERROR\r\n"  # the answer to what is no command


@dataclass(slots=True, frozen=True)
class Command:
    """A client's `mg` or `ms`; `info` is its list of names and values as it came."""

    key: bytes
    request_id: bytes
    info: bytes
    fields: dict[str, str]
    value: bytes | None  # None for a read

    @property
    def is_write(self) -> bool:
        return self.value is not None


@dataclass(slots=True, frozen=True)
class Noop:
    """`mn`: is the router able to serve?"""


@dataclass(slots=True, frozen=True)
class BadCommand:
    """Something that gets `answer` and goes no further; the connection ends where framing is lost."""

    response: bytes
    is_fatal: bool = False


def _bad(reason: object, fatal: bool = False) -> BadCommand:
    return BadCommand(f"CLIENT_ERROR {reason}\r\n".encode(), fatal)


def _read_command(words: list[bytes], value: bytes | None) -> Command:
    """Check the words of an `mg` or `ms` line; a ValueError tells what is wrong."""
    flags = words[2 if value is None else 3 :]
    if not is_printable(words[1], MAX_KEY_BYTES):
        raise ValueError("bad key")
    given = {flag[:1]: flag[1:] for flag in flags}
    # guards against flags that would change what an answer looks like
    if given.keys() != ({b"O", b"P", b"v"} if value is None else {b"O", b"P"}) or len(given) != len(
        flags
    ):
        raise ValueError("bad flags")
    # guards against bytes that would not fit into the headers for the origin
    if not (
        is_printable(given[b"O"], 64) and is_printable(given[b"P"], MAX_LINE_BYTES)
    ) or given.get(b"v"):
        raise ValueError("bad flags")
    fields = read_fields(given[b"P"])
    for name in ("c", "d"):
        if name not in fields:
            raise ValueError(f"missing {name}")
    return Command(words[1], given[b"O"], given[b"P"], fields, value)


class CommandParser:
    """What clients send."""

    def __init__(self) -> None:
        self._buffer = ReceiveBuffer()
        # an `ms` line whose value is still to come: its words, and the bytes of that value
        self._pending: tuple[list[bytes], int] | None = None

    @property
    def has_partial_command(self) -> bool:
        """Whether a part of a command has come."""
        return self._pending is not None or len(self._buffer) > 0

    @property
    def long_value_bytes(self) -> int:
        """Bytes of the value that is to come, if it is a long one; else 0."""
        length = 0 if self._pending is None else self._pending[1]
        return length if length > MAX_BUFFERED_VALUE_BYTES else 0

    def feed(self, data: bytes) -> None:
        self._buffer.append(data)

    def next_command(self) -> Command | Noop | BadCommand | None:
        """Take what is whole; after a fatal one nothing more makes sense."""
        try:
            return self._next()
        except FramingError as e:
            return _bad(e, fatal=True)

    def _next(self) -> Command | Noop | BadCommand | None:
        if self._pending is not None:
            return self._finish_write(*self._pending)
        line = self._buffer.take_line()
        if line is None:
            return None
        words = line.split(b" ")
        match words[0]:
            case b"mg" if len(words) >= 2:
                return self._checked(words, None)
            case b"ms" if len(words) >= 3:
                self._pending = words, read_length(words[2])
                return self._finish_write(*self._pending)
            case b"mn" if len(words) == 1:
                return Noop()
            case b"mg":
                return _bad("bad command line")
            case b"ms":  # no length: where the value ends is not known
                return _bad("bad command line", fatal=True)
        return BadCommand(UNKNOWN_COMMAND)

    def _finish_write(self, words: list[bytes], length: int) -> Command | BadCommand | None:
        value = self._buffer.take_block(length)
        if value is None:
            return None
        self._pending = None
        return self._checked(words, value)

    def _checked(self, words: list[bytes], value: bytes | None) -> Command | BadCommand:
        try:
            return _read_command(words, value)
        except ValueError as e:
            return _bad(e)
