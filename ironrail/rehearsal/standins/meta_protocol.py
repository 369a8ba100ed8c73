"""The meta commands of the memcache text protocol as a server and as a client see them. Pure.

Written apart from the daemon's own parser: a mistake of one is not to be hidden by the other.
"""

from __future__ import annotations

from dataclasses import dataclass

MOST_LINE = 8192
MOST_VALUE = 4 * 1024 * 1024


class NotMeta(ValueError):
    """Bytes that are no command or no answer."""


@dataclass(frozen=True, slots=True)
class MetaCommand:
    """An `mg` or `ms` as it came."""

    line: bytes
    key: str
    request: str  # its id
    info: dict[str, str]
    value: bytes | None  # None for a read


@dataclass(frozen=True, slots=True)
class Answer:
    """What a router answered: `VA`, `HD`, `EN`, `MN`, `busy` or `failed`."""

    kind: str
    request: str  # the id that it bears, empty where it bears none
    body: bytes = b""
    retry_after: float | None = None  # seconds


def _flags(words: list[bytes]) -> dict[str, str]:
    return {word[:1].decode("latin-1"): word[1:].decode("latin-1") for word in words}


def _length(word: bytes) -> int:
    if not word.isdigit() or len(word) > 7 or int(word) > MOST_VALUE:
        raise NotMeta(f"bad length {word[:20]!r}")
    return int(word)


class _Reader:
    """Bytes that came and are not yet taken."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def begun(self) -> bool:
        return bool(self._data)

    def add(self, data: bytes) -> None:
        self._data += data

    def _peek_line(self) -> bytes | None:
        end = self._data.find(b"\r\n")
        if end < 0:
            if len(self._data) > MOST_LINE:
                raise NotMeta("a line that does not end")
            return None
        return bytes(self._data[:end])

    def _take(self, line: bytes, size: int | None) -> bytes | None:
        """Take a line and a block of `size` bytes behind it, once whole; the block, empty without a size."""
        start = len(line) + 2
        if size is None:
            del self._data[:start]
            return b""
        if len(self._data) < start + size + 2:
            return None
        block = bytes(self._data[start : start + size])
        if self._data[start + size : start + size + 2] != b"\r\n":
            raise NotMeta("a block without its end")
        del self._data[: start + size + 2]
        return block


def info_of(text: str) -> dict[str, str]:
    """The list of names and values that goes with a request."""
    return {name: value for name, _, value in (pair.partition("=") for pair in text.split(","))}


def seconds_told(info: dict[str, str]) -> float | None:
    """For how long its client waits, as this request says."""
    text = info.get("d", "")
    return int(text) / 1000 if text.isdecimal() else None


class CommandReader(_Reader):
    """What a router sends to a cache."""

    def next(self) -> MetaCommand | None:
        """The next whole command; NotMeta if what came is none."""
        line = self._peek_line()
        if line is None:
            return None
        words = line.split(b" ")
        write = words[0] == b"ms"
        if words[0] not in (b"mg", b"ms") or len(words) < 4:
            raise NotMeta(f"not a command: {line[:80]!r}")
        block = self._take(line, _length(words[2]) if write else None)
        if block is None:
            return None
        flags = _flags(words[3 if write else 2 :])
        if "O" not in flags or "P" not in flags:
            raise NotMeta(f"no id or no info: {line[:80]!r}")
        info = info_of(flags["P"])
        return MetaCommand(line, words[1].decode("latin-1"), flags["O"], info, block if write else None)


class AnswerReader(_Reader):
    """What a router answers to a client."""

    def next(self) -> Answer | None:
        """The next whole answer; NotMeta if what came is none."""
        line = self._peek_line()
        if line is None:
            return None
        words = line.split(b" ")
        block = self._take(line, _length(words[1]) if words[0] == b"VA" and len(words) > 1 else None)
        if block is None:
            return None
        match words[0]:
            case b"VA" if len(words) > 1:
                return Answer("VA", _flags(words[2:]).get("O", ""), block)
            case b"HD":
                flags = _flags(words[1:])
                return Answer("HD", flags.get("O", ""), flags.get("c", "").encode())
            case b"EN" | b"MN":
                return Answer(words[0].decode(), "")
            case b"SERVER_ERROR" if words[1:2] == [b"busy"]:
                after = words[2] if len(words) > 2 else b""
                return Answer("busy", "", line, int(after) / 1000 if after.isdigit() else None)
            case b"SERVER_ERROR" | b"CLIENT_ERROR" | b"ERROR":
                return Answer("failed", "", line)
        raise NotMeta(f"not an answer: {line[:80]!r}")


def write_command(key: str, request: str, info: dict[str, str], value: bytes | None) -> bytes:
    """A command as a client sends it."""
    pairs = ",".join(f"{name}={text}" for name, text in info.items())
    if value is None:
        return f"mg {key} v O{request} P{pairs}\r\n".encode()
    return f"ms {key} {len(value)} O{request} P{pairs}\r\n".encode() + value + b"\r\n"
