"""Everything the decision module is told and everything it may answer.

A host hands these events to `balance.Router.handle` and carries out the actions that it gets back, in order.
Times are seconds on one clock that only advances. Settings and lists stand in `terms.py`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ironrail.policy.terms import (
    Budget,
    Effect,
    Group,
    ListKind,
    RequestClass,
    ServerEntry,
    ServerList,
    Settings,
    State,
)  # fmt: skip

__all__ = [
    "Action", "Budget", "Cancel", "ClientGone", "CloseIdle", "Effect", "Event", "Fail", "Group", "Guidance",
    "HallLink", "Halls", "LinkState", "ListKind", "Log", "Outcome", "Refuse", "Request", "RequestClass",
    "Send", "ServerEntry", "ServerList", "SetTimer", "Settings", "State", "Status", "Streaming", "Subscribe",
    "TimeUp", "TimerFired",
]  # fmt: skip


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"
    UNSENT = "unsent"  # taken back, as it is not to begin any more: tells nothing of the server


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; it is owed exactly one final answer within `time_left`."""

    request: str
    request_class: str
    time_left: float
    key: str | None = None
    hint: float | None = None
    write: bool = False
    title: str = ""  # whose traffic it is


@dataclass(slots=True, frozen=True)
class Streaming:
    """The answer of an attempt has begun to flow to the client."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of an attempt; `closed` when the request itself has ended."""

    request: str
    attempt: int
    status: Status
    closed: bool = False
    latency: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimeUp:
    """The client stops waiting now, and no attempt is out any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True, frozen=True)
class Guidance:
    """What the operators have all routers decide by from now on; rows that are absent forbid nothing."""

    emptied: frozenset[str] = frozenset()  # zones whose servers take nothing new
    shed: Mapping[str, float] = field(default_factory=dict)  # class: the excess from which on it is shed
    further: Mapping[str, float] = field(default_factory=dict)  # class: share of further attempts
    rates: Mapping[str, float] = field(default_factory=dict)  # title: requests a second, of all routers


class LinkState(Enum):
    """How the link to a hall is."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SLOW = "slow"  # much slower than usual
    CUT = "cut"


@dataclass(slots=True, frozen=True)
class HallLink:
    """The link from the router's hall to one; of an unknown one all figures are the worst there are."""

    state: LinkState = LinkState.UNKNOWN
    low: float = math.inf  # seconds of a quick round trip
    typical: float = math.inf  # seconds, the median
    lost: float = 1.0  # share of round trips
    age: float = math.inf  # seconds since the evidence, as this was told


@dataclass(slots=True, frozen=True)
class Halls:
    """How far the halls are from here from now on; told anew only where that has changed."""

    links: Mapping[str, HallLink] = field(default_factory=dict)  # by zone


Event = ServerList | Guidance | Halls | Request | Streaming | Outcome | ClientGone | TimeUp | TimerFired


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent."""

    request: str
    server: str
    timeout: float | None = None  # None: until the client gives up
    attempt: int = field(default=0, compare=False)  # its number
    within: float | None = None  # seconds in which its last byte is sent, or nothing of it


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, and trying again is harmless, best after a while."""

    request: str
    retry_after: float | None = None  # seconds to stay away


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that promises nothing."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt; whether the server stops work is its own matter."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections to a server that are not in use."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay in seconds."""

    delay: float
    token: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the list and its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """One line for staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | CloseIdle | SetTimer | Subscribe | Log
