"""The faults of a scenario."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.units import Seconds


class CutKind(StrEnum):
    """The cause by which a task of a router is interrupted."""

    MOVES = "moves"  # for `Discovery._run`: the list moves to another address
    TIME_UP = "time-up"  # for `Pool._open`: a connect timeout
    TERM = "term"  # for any task: the router gets SIGTERM


class Cut(Table):
    """The interruption of a router's task at one of its awaits; applies in virtual time only."""

    task: str  # the qualified name of its coroutine function
    nth: Annotated[int, Field(ge=0)]  # number of the await over all tasks of that name, from 1; 0 is none
    how: CutKind
    woken: bool = False  # interrupt when the awaited result has arrived, not as the wait begins


class FaultKind(StrEnum):
    """The kinds of faults; the operator documentation describes each."""

    VANISH = "vanish"
    STALL = "stall"
    RESET = "reset"
    SLOW_CLOSE = "slow-close"
    LOST = "lost"
    SPOILT = "spoilt"
    SURPLUS = "surplus"
    ENDLESS = "endless"
    ERRORS = "errors"
    HOT_KEYS = "hot-keys"
    HOT_ROUTER = "hot-router"
    HALL_CUT = "hall-cut"
    LIST_SILENT = "list-silent"
    LIST_EMPTY = "list-empty"
    LIST_ABSURD = "list-absurd"
    LIST_MOVES = "list-moves"
    LIST_CROWDED = "list-crowded"
    LIST_CUT = "list-cut"
    LIST_SPOILT = "list-spoilt"
    LIST_LATE = "list-late"
    DRAIN = "drain"
    RESTART = "restart"
    REPLACE = "replace"
    ARCHIVE_SLOW = "archive-slow"
    ARCHIVE_DOWN = "archive-down"
    ROUTER_TERM = "router-term"
    ROUTER_KILL = "router-kill"
    ROUTER_STOP = "router-stop"
    ROUTER_REPLACE = "router-replace"
    ROUTER_RESTART = "router-restart"
    WATCH_SILENT = "watch-silent"
    LATE_CONNECT = "late-connect"
    SECOND_ANSWER = "second-answer"
    HANG = "hang"
    LATE_RESET = "late-reset"
    ARCHIVE_UNSIZED = "archive-unsized"
    WATCH_RESET = "watch-reset"
    CLIENTS_LEAVE = "clients-leave"


class Fault(Table):
    """One fault: its kind, targets, begin, duration and severity."""

    kind: FaultKind
    whom: str = ""  # `cache-3`, `2 caches`, `hall-b`, `router-1`, `all`; empty: one random target, if any
    at: Seconds
    lasts: Seconds = 3.0
    hard: Annotated[float, Field(gt=0.0)] | None = (
        None  # severity: a share, a factor or a number, depending on the kind
    )
    pause: Seconds = 0.35  # duration of each stall
    every: Seconds = 1.5  # from the begin of one stall to the next
