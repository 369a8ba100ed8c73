"""Incremental parser of the replies of cache servers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ironrail.net.protocol.errors import FramingError
from ironrail.net.protocol.framing import (
    MAX_BUFFERED_VALUE_BYTES,
    ReceiveBuffer,
    parse_value_length,
)

REQUEST_ID_FLAG = b"O"
RECEIPT_FLAG = b"c"

MAX_QUOTED_BYTES = 80
"""How much of an invalid line an error quotes."""


class ReplyKind(Enum):
    """Kinds of replies from cache servers."""

    VALUE = "VA"
    STORED = "HD"
    MISS = "EN"
    BUSY = "busy"
    ERROR = "failed"


@dataclass(slots=True, frozen=True)
class Reply:
    """A complete reply; `request_id` is None if the reply line has none."""

    kind: ReplyKind
    request_id: bytes | None
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class ValueHeader:
    """The header of a long value, whose chunks follow."""

    request_id: bytes | None
    length: int


@dataclass(slots=True, frozen=True)
class ValueChunk:
    """A chunk of a long value; the last one is empty and confirms that the value is complete."""

    data: bytes
    is_last: bool = False


class ReplyState(Enum):
    """What the parser expects next."""

    REPLY_LINE = "reply_line"
    VALUE = "value"
    LONG_VALUE = "long_value"


_REPLY_LINE = ReplyState.REPLY_LINE
_VALUE = ReplyState.VALUE
_LONG_VALUE = ReplyState.LONG_VALUE


class ReplyParser:
    """Parses the replies of one cache server."""

    def __init__(self) -> None:
        """Expect a reply line."""
        self._buffer = ReceiveBuffer()
        self._state = _REPLY_LINE
        self._request_id: bytes | None = None  # of the expected value
        self._remaining_bytes = 0

    @property
    def has_partial_reply(self) -> bool:
        """Whether a reply was received in part."""
        return self._state is not _REPLY_LINE or len(self._buffer) > 0

    def feed(self, data: bytes) -> Iterator[Reply | ValueHeader | ValueChunk]:
        """Parse received bytes; yield complete replies, and long values in chunks.

        Raises:
            FramingError: The bytes are not a valid reply.
        """
        self._buffer.append(data)
        while (reply := self._next()) is not None:
            yield reply

    def _next(self) -> Reply | ValueHeader | ValueChunk | None:
        if self._state is _REPLY_LINE:
            return self._take_reply_line()
        if self._state is _VALUE:
            return self._take_value()
        return self._take_chunk()

    def _take_reply_line(self) -> Reply | ValueHeader | None:
        line = self._buffer.take_line()
        if line is None:
            return None
        words = line.split(b" ")
        match words:
            case [b"VA", length, *flags]:
                self._remaining_bytes = parse_value_length(length)
                self._request_id = _find_flag(flags, REQUEST_ID_FLAG)
            case _:
                return _read_reply(line, words)
        if self._remaining_bytes > MAX_BUFFERED_VALUE_BYTES:
            self._state = _LONG_VALUE
            return ValueHeader(self._request_id, self._remaining_bytes)
        self._state = _VALUE
        return self._take_value()

    def _take_value(self) -> Reply | None:
        value = self._buffer.take_block(self._remaining_bytes)
        if value is None:
            return None
        self._state = _REPLY_LINE
        return Reply(ReplyKind.VALUE, self._request_id, value)

    def _take_chunk(self) -> ValueChunk | None:
        if self._remaining_bytes == 0:
            if self._buffer.take_block(0) is None:
                return None
            self._state = _REPLY_LINE
            return ValueChunk(b"", is_last=True)
        data = self._buffer.take_available(self._remaining_bytes)
        if not data:
            return None
        self._remaining_bytes -= len(data)
        return ValueChunk(data)


def _find_flag(words: list[bytes], letter: bytes) -> bytes | None:
    """Return the argument of a flag; None if it is absent."""
    return next((word[1:] for word in words if word[:1] == letter), None)


def _read_reply(line: bytes, words: list[bytes]) -> Reply:
    """Read a reply without a value.

    Raises:
        FramingError: The line is not a valid reply.
    """
    flags = words[1:]
    match words[0]:
        case b"HD":
            receipt = _find_flag(flags, RECEIPT_FLAG) or b""
            return Reply(ReplyKind.STORED, _find_flag(flags, REQUEST_ID_FLAG), receipt)
        case b"EN":
            return Reply(ReplyKind.MISS, _find_flag(flags, REQUEST_ID_FLAG))
        case b"SERVER_ERROR":
            is_busy = flags[:1] == [b"busy"]
            return Reply(ReplyKind.BUSY if is_busy else ReplyKind.ERROR, None)
    raise FramingError(f"not a reply: {line[:MAX_QUOTED_BYTES]!r}")
