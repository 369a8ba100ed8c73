"""What the decision module is told once, at its start, and of the list of servers: settings and lists."""

from __future__ import annotations

import math
from dataclasses import dataclass
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
    live_weights: bool = False  # of servers: by the load that they bear, and not by their size alone
    tenants: bool = True  # each request names one; where there are none it has nothing to name
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
    unsure: float | None = None  # seconds in which news may have been missed, if that counts as told soon
