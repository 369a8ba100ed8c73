"""The form of what goes wrong in a scenario, and when."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.units import Seconds


class CutKind(StrEnum):
    """How a task of a router is cut short."""

    MOVES = "moves"  # of `Discovery._run`: the list is to be asked for elsewhere
    TIME_UP = "time-up"  # of `Pool._open`: a dial's time is over
    TERM = "term"  # of any: the router is told to end


class Cut(Table):
    """A task of a router that is cut short at one of its awaits; it counts in virtual time only."""

    task: str  # its name, as Python qualifies it
    nth: Annotated[int, Field(ge=0)]  # await of all tasks of that name, from 1; 0 is none
    how: CutKind
    woken: bool = False  # when what it waited for has come, rather than as it begins to wait


class FaultKind(StrEnum):
    """What can go wrong. The operator's page describes each."""

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
    """One thing that goes wrong: what, whom, when, how long, how hard."""

    kind: FaultKind
    whom: str = ""  # `cache-3`, `2 caches`, `hall-b`, `router-1`, `all`; empty where the kind has one victim
    at: Seconds
    lasts: Seconds = 3.0
    hard: Annotated[float, Field(gt=0.0)] | None = None  # by kind: a share, a factor or a number
    pause: Seconds = 0.35  # of a stall
    every: Seconds = 1.5  # between two of them
