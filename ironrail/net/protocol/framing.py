"""Splits received bytes into lines and data blocks."""

from __future__ import annotations

from ironrail.net.protocol.errors import FramingError

LINE_END = b"\r\n"

MAX_VALUE_BYTES = 4 * 1024 * 1024

MAX_BUFFERED_VALUE_BYTES = 64 * 1024
"""Longer values are streamed in chunks instead of being buffered whole."""

MAX_UNRESERVED_VALUE_BYTES = 4096
"""Longer values of writes are taken only after memory is reserved for them."""

MAX_LINE_BYTES = 4096

MAX_LENGTH_DIGITS = 7


class ReceiveBuffer:
    """Received bytes that are not parsed yet."""

    def __init__(self) -> None:
        """Start empty."""
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def take_line(self) -> bytes | None:
        """Remove and return the next line without its line end; None if it is incomplete.

        Raises:
            FramingError: The line is too long; the limit bounds the memory for incomplete lines.
        """
        end = self._data.find(LINE_END, 0, MAX_LINE_BYTES + len(LINE_END))
        if end < 0:
            if len(self._data) > MAX_LINE_BYTES:
                raise FramingError("line too long")
            return None
        line = bytes(self._data[:end])
        del self._data[: end + len(LINE_END)]
        return line

    def take_available(self, max_bytes: int) -> bytes:
        """Remove and return the received bytes, `max_bytes` at most."""
        data = bytes(self._data[:max_bytes])
        del self._data[:max_bytes]
        return data

    def drop_available(self, max_bytes: int) -> int:
        """Remove the received bytes, `max_bytes` at most, and return their number."""
        dropped = min(max_bytes, len(self._data))
        del self._data[:dropped]
        return dropped

    def take_block(self, size: int) -> bytes | None:
        """Remove and return a data block without its line end; None if it is incomplete.

        Raises:
            FramingError: No line end follows the block.
        """
        end = size + len(LINE_END)
        if len(self._data) < end:
            return None
        if self._data[size:end] != LINE_END:
            raise FramingError("bad data chunk")
        block = bytes(memoryview(self._data)[:size])  # a slice would be one more copy
        del self._data[:end]
        return block


def parse_value_length(token: bytes) -> int:
    """Parse the length of a value in bytes.

    Raises:
        FramingError: It is not a number or above the limit, so the end is unknown.
    """
    if not (token.isdigit() and len(token) <= MAX_LENGTH_DIGITS):
        raise FramingError("bad data length")
    length = int(token)
    if length > MAX_VALUE_BYTES:
        raise FramingError("value too large")
    return length
