"""One request of a trace, and one as a log has it. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

LONGEST_NAME = 64  # characters of a class or a title, as the protocol has names
LONGEST_KEY = 250  # bytes of a key, as the meta commands have it


@dataclass(slots=True, frozen=True)
class Entry:
    """What a trace holds of one request: enough to ask for it again, and nothing of who asked."""

    at: float  # Unix time in seconds, to the microsecond
    kind: str  # its class
    title: str
    key: str
    size: int = 0  # bytes of its value; 0 where nobody knows
    method: str = "GET"
    status: int = 200  # of the answer, 0 where there was none
    took: float = 0.0  # seconds until it was answered
    client: str = ""  # a keyed hash
    idempotency: str = ""  # a keyed hash; empty where the request has no such key
    write: bool = False
    work: float = 0.0  # seconds of one core; 0 where nobody knows


@dataclass(slots=True, frozen=True)
class Place:
    """Where something stands, for people to look it up."""

    file: str
    line: int  # from 1; of a HAR file the number of the entry
    offset: int  # bytes into the file, unpacked

    def __str__(self) -> str:
        return f"{self.file}:{self.line} (byte {self.offset})"


@dataclass(slots=True)
class Raw:
    """A request as a log or a HAR file has it, with all that a mapping may look at. It is never stored."""

    at: float  # Unix time in seconds
    method: str
    path: str  # without the query
    query: str = ""
    host: str = ""
    status: int = 0
    took: float = 0.0  # seconds
    size: int = 0  # bytes of the body that was sent
    client: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)  # of the request, names in lower case
    ready: Entry | None = None  # of the daemon's own log, which needs no mapping
    again: bool = False  # its client said that it was a retry


class Malformed(ValueError):
    """A line or an entry that can't be used; the message is the reason."""
