"""What cache servers answer, parsed piece by piece as bytes arrive. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ironrail.net.protocol.framing import (
    MAX_BUFFERED_VALUE_BYTES,
    FramingError,
    ReceiveBuffer,
    read_length,
)


class ReplyKind(Enum):
    """What a cache server said."""

    VALUE = "VA"
    STORED = "HD"
    MISS = "EN"
    BUSY = "busy"
    ERROR = "failed"


@dataclass(slots=True, frozen=True)
class Reply:
    """A cache server's reply; `request_id` is None where the line carries none."""

    kind: ReplyKind
    request_id: bytes | None
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class ValueHeader:
    """The head of a value that is too long to be kept whole: its pieces follow."""

    request_id: bytes | None
    length: int


@dataclass(slots=True, frozen=True)
class ValueChunk:
    """Some of a long value; the last one has nothing in it and tells that the value was whole."""

    data: bytes
    is_last: bool = False


class ReplyParser:
    """What cache servers answer."""

    def __init__(self) -> None:
        self._buffer = ReceiveBuffer()
        # length and id of a value still to come
        self._pending: tuple[int, bytes | None] | None = None
        self._rest: int | None = None  # of a long value that is passed on

    @property
    def has_partial_reply(self) -> bool:
        """Whether a part of a reply has come."""
        return self._pending is not None or self._rest is not None or len(self._buffer) > 0

    def feed(self, data: bytes) -> Iterator[Reply | ValueHeader | ValueChunk]:
        """Yield whole replies, and long values in pieces; raises FramingError on anything that is neither."""
        self._buffer.append(data)
        while (reply := self._next()) is not None:
            yield reply

    def _next_piece(self, rest: int) -> ValueChunk | None:
        if rest == 0:
            if self._buffer.take_block(0) is None:
                return None
            self._rest = None
            return ValueChunk(b"", is_last=True)
        data = self._buffer.take_available(rest)
        self._rest = rest - len(data)
        return ValueChunk(data) if data else None

    def _next(self) -> Reply | ValueHeader | ValueChunk | None:
        if self._rest is not None:
            return self._next_piece(self._rest)
        if self._pending is None:
            line = self._buffer.take_line()
            if line is None:
                return None
            words = line.split(b" ")
            if words[0] != b"VA" or len(words) < 2:
                return _read_reply(line, words)
            self._pending = read_length(words[1]), _flag(words[2:], b"O")
        length, request_id = self._pending
        if length > MAX_BUFFERED_VALUE_BYTES:
            self._pending, self._rest = None, length
            return ValueHeader(request_id, length)
        value = self._buffer.take_block(length)
        if value is None:
            return None
        self._pending = None
        return Reply(ReplyKind.VALUE, request_id, value)


def _flag(words: list[bytes], letter: bytes) -> bytes | None:
    return next((word[1:] for word in words if word[:1] == letter), None)


def _read_reply(line: bytes, words: list[bytes]) -> Reply:
    match words[0]:
        case b"HD":
            return Reply(ReplyKind.STORED, _flag(words[1:], b"O"), _flag(words[1:], b"c") or b"")
        case b"EN":
            return Reply(ReplyKind.MISS, _flag(words[1:], b"O"))
        case b"SERVER_ERROR":
            return Reply(ReplyKind.BUSY if words[1:2] == [b"busy"] else ReplyKind.ERROR, None)
    raise FramingError(f"not a reply: {line[:80]!r}")
