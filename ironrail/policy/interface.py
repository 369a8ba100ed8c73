"""Everything the decision module is told and everything it may answer.

A host hands these events to `balance.Router.handle` and carries out the actions that it gets back, in order.
Times are seconds on one clock that only advances.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"  # servers of one group drop a repeat of its key for a while
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that know each other's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """A listed server's state."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list already held."""

    DELTA = "delta"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"  # a call got no answer, or was refused
    SPOILT = "spoilt"  # an answer began and broke off, or can't be used
    SILENT = "silent"  # a watch said nothing when its wait was over, and is given up
    MOVED = "moved"  # it is told elsewhere from now on, and has to be asked for there


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


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and what its clients expect."""

    name: str
    aim: float  # seconds
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window: float = 0.0
    worth: float = 1.0
    give_up: float = math.inf  # seconds that a client waits at the most


@dataclass(slots=True, frozen=True)
class Budget:
    """In `span` seconds at most `free + ratio x requests taken` further attempts; a MISS pays for one."""

    free: float
    ratio: float
    span: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told once, at its start. Only fields that decisions use are kept."""

    classes: dict[str, RequestClass]
    tick: float = 0.005
    aside: bool = False  # a miss is ours to fetch from the origin
    origin_kind: str | None = None
    subscribe: bool = False  # changes of the list come only after asking
    must_ask: float = math.inf  # seconds without asking until all counts as told; four times after a failure
    second_copies: bool = False
    may_cancel: bool = False
    max_attempts: int = 1
    cold_share: float = 0.3
    ramp: float = 10.0
    fall_multiple: float = 2.0
    fall_window: float = 1.0
    index: int = 0  # of this router among all of them
    routers: int = 1
    connections_priced: bool = False  # open connections are scarce
    connect_timeout: float = 0.25  # a connection not made within this has failed
    connection_idle: float = 15.0  # unused for longer, a connection is closed by the host
    budget: Budget | None = None  # of further attempts; None where no rule states one


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of the list of servers."""

    server: str
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 0.0
    since: float = 0.0  # time of the latest start; 0 is long ago


@dataclass(slots=True, frozen=True)
class ServerList:
    """News of the list of servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


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


Event = ServerList | Guidance | Request | Streaming | Outcome | ClientGone | TimeUp | TimerFired


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent."""

    request: str
    server: str
    timeout: float | None = None  # None: until the client gives up
    attempt: int = field(default=0, compare=False)  # its number


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
