"""The meta commands of the memcache text protocol, for stand-in servers and clients. No I/O.

This parser shares no code with the daemon's, so that neither hides a bug of the other.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LINE_BYTES = 8192
MAX_VALUE_BYTES = 4 * 1024 * 1024


class InvalidMetaError(ValueError):
    """The data received is not a valid command or answer."""


@dataclass(frozen=True, slots=True)
class MetaCommand:
    """An `mg` or `ms` command as received."""

    line: bytes
    key: str
    request: str  # id
    info: dict[str, str]
    value: bytes | None  # None for a read


@dataclass(frozen=True, slots=True)
class Answer:
    """A router's answer; `kind` is `VA`, `HD`, `EN`, `MN`, `busy` or `failed`."""

    kind: str
    request: str  # id in the answer, empty if it has none
    body: bytes = b""
    retry_after: float | None = None  # seconds


def _flags(tokens: list[bytes]) -> dict[str, str]:
    return {token[:1].decode("latin-1"): token[1:].decode("latin-1") for token in tokens}


def _length(token: bytes) -> int:
    if not token.isdigit() or len(token) > 7 or int(token) > MAX_VALUE_BYTES:
        raise InvalidMetaError(f"bad length {token[:20]!r}")
    return int(token)


class _Reader:
    """Buffers received data until it is parsed."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def begun(self) -> bool:
        """Whether part of a message has arrived."""
        return bool(self._data)

    def add(self, data: bytes) -> None:
        """Adds received data."""
        self._data += data

    def _peek_line(self) -> bytes | None:
        end = self._data.find(b"\r\n")
        if end < 0:
            if len(self._data) > MAX_LINE_BYTES:
                raise InvalidMetaError("line without an end")
            return None
        return bytes(self._data[:end])

    def _take(self, line: bytes, size: int | None) -> bytes | None:
        """Removes a line and the block of `size` bytes after it, once both are complete.

        Returns the block (empty without a size), or None if it is incomplete.
        """
        start = len(line) + 2
        if size is None:
            del self._data[:start]
            return b""
        if len(self._data) < start + size + 2:
            return None
        block = bytes(self._data[start : start + size])
        if self._data[start + size : start + size + 2] != b"\r\n":
            raise InvalidMetaError("block without a line end")
        del self._data[: start + size + 2]
        return block


def parse_info(text: str) -> dict[str, str]:
    """Parses the names and values that accompany a request."""
    return {name: value for name, _, value in (pair.partition("=") for pair in text.split(","))}


def client_timeout_seconds(info: dict[str, str]) -> float | None:
    """Returns how long the client waits, as the request says; None if it doesn't."""
    text = info.get("d", "")
    return int(text) / 1000 if text.isdecimal() else None


class CommandReader(_Reader):
    """Parses what a router sends to a cache."""

    def next(self) -> MetaCommand | None:
        """Returns the next whole command, if there is one.

        Raises:
            InvalidMetaError: The data received is not a valid command.
        """
        line = self._peek_line()
        if line is None:
            return None
        tokens = line.split(b" ")
        write = tokens[0] == b"ms"
        if tokens[0] not in (b"mg", b"ms") or len(tokens) < 4:
            raise InvalidMetaError(f"not a command: {line[:80]!r}")
        block = self._take(line, _length(tokens[2]) if write else None)
        if block is None:
            return None
        flags = _flags(tokens[3 if write else 2 :])
        if "O" not in flags or "P" not in flags:
            raise InvalidMetaError(f"command without id or info: {line[:80]!r}")
        info = parse_info(flags["P"])
        return MetaCommand(line, tokens[1].decode("latin-1"), flags["O"], info, block if write else None)


class AnswerReader(_Reader):
    """Parses what a router answers to a client."""

    def next(self) -> Answer | None:
        """Returns the next whole answer, if there is one.

        Raises:
            InvalidMetaError: The data received is not a valid answer.
        """
        line = self._peek_line()
        if line is None:
            return None
        tokens = line.split(b" ")
        block = self._take(line, _length(tokens[1]) if tokens[0] == b"VA" and len(tokens) > 1 else None)
        if block is None:
            return None
        match tokens[0]:
            case b"VA" if len(tokens) > 1:
                return Answer("VA", _flags(tokens[2:]).get("O", ""), block)
            case b"HD":
                flags = _flags(tokens[1:])
                return Answer("HD", flags.get("O", ""), flags.get("c", "").encode())
            case b"EN" | b"MN":
                return Answer(tokens[0].decode(), "")
            case b"SERVER_ERROR" if tokens[1:2] == [b"busy"]:
                after = tokens[2] if len(tokens) > 2 else b""
                return Answer("busy", "", line, int(after) / 1000 if after.isdigit() else None)
            case b"SERVER_ERROR" | b"CLIENT_ERROR" | b"ERROR":
                return Answer("failed", "", line)
        raise InvalidMetaError(f"not an answer: {line[:80]!r}")


def write_command(key: str, request: str, info: dict[str, str], value: bytes | None) -> bytes:
    """Encodes a command as a client sends it."""
    pairs = ",".join(f"{name}={text}" for name, text in info.items())
    if value is None:
        return f"mg {key} v O{request} P{pairs}\r\n".encode()
    return f"ms {key} {len(value)} O{request} P{pairs}\r\n".encode() + value + b"\r\n"
