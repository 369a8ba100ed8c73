"""Bytes as they come, taken line by line and block by block. No I/O."""

from __future__ import annotations

MAX_VALUE_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_VALUE_BYTES = (
    64 * 1024
)  # bytes of a value up to which it is kept whole; a longer one is passed on in pieces
MAX_LINE_BYTES = 4096


class FramingError(ValueError):
    """Bytes after which the start of the next message is not known."""


class ReceiveBuffer:
    """Bytes not yet used, with a bound on a line."""

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes) -> None:
        self._data += data

    def take_line(self) -> bytes | None:
        """Take the next line, without its end; None until it is whole."""
        end = self._data.find(b"\r\n", 0, MAX_LINE_BYTES + 2)
        if end < 0:
            if len(self._data) > MAX_LINE_BYTES:  # guards memory against a line that never ends
                raise FramingError("line too long")
            return None
        line = bytes(self._data[:end])
        del self._data[: end + 2]
        return line

    def take_available(self, most: int) -> bytes:
        """Take what there is, up to so many bytes."""
        data = bytes(self._data[:most])
        del self._data[:most]
        return data

    def take_block(self, size: int) -> bytes | None:
        """Take a block of data, without the line end behind it; None until it is whole."""
        if len(self._data) < size + 2:
            return None
        if self._data[size : size + 2] != b"\r\n":
            raise FramingError("bad data chunk")
        block = bytes(self._data[:size])
        del self._data[: size + 2]
        return block


def read_length(token: bytes) -> int:
    """The length of a value; without a usable one the framing is lost."""
    if not (token.isdigit() and len(token) <= 7):
        raise FramingError("bad data length")
    length = int(token)
    if length > MAX_VALUE_BYTES:
        raise FramingError("value too large")
    return length
