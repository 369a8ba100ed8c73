"""Fault plans for links, processes, clocks and disks, read from TOML or generated. Does no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from ironrail.errors import InputError
from ironrail.rehearsal.links.paths import PathEnds, between_routers, on_connections, path_of
from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.reader import parse
from ironrail.rehearsal.scenario.units import Seconds, write_time

MAX_FAULTS = 500
MAX_DRIFT_RATIO = 0.1  # seconds per second; a clock further off is broken, not drifting
MIN_TERM_SECONDS = 4.0  # from SIGTERM to SIGKILL; by 3.6 s a router has answered all its requests


class Kind(StrEnum):
    """Kinds of faults; docs/rehearsal/links.md describes each."""

    CUT = "cut"
    DELAY = "delay"
    STALL = "stall"
    RESET = "reset"
    LOSS = "loss"
    DUPLICATE = "duplicate"
    REORDER = "reorder"
    KILL = "kill"
    STOP = "stop"
    TERM = "term"
    CLOCK = "clock"
    DISK_FULL = "disk-full"
    DISK_READ_ONLY = "disk-read-only"
    DISK_FAILING = "disk-failing"
    DISK_SLOW = "disk-slow"


CONNECTIONS = (Kind.STALL, Kind.RESET)  # faults of TCP alone
DATAGRAMS = (Kind.LOSS, Kind.DUPLICATE, Kind.REORDER)  # of UDP alone
LINKS = (Kind.CUT, Kind.DELAY, *CONNECTIONS, *DATAGRAMS)
PROCESSES = (Kind.KILL, Kind.STOP, Kind.TERM)
DISKS = (Kind.DISK_FULL, Kind.DISK_READ_ONLY, Kind.DISK_FAILING, Kind.DISK_SLOW)
DEFAULT_AND_MAX_HARDNESS = {  # default and maximum of `hard`
    Kind.DELAY: (0.02, 10.0),  # seconds
    Kind.LOSS: (0.2, 1.0),  # shares of datagrams
    Kind.DUPLICATE: (0.2, 1.0),
    Kind.REORDER: (0.2, 1.0),
    Kind.CLOCK: (0.01, MAX_DRIFT_RATIO),
    Kind.DISK_FAILING: (1.0, 1.0),  # share of reads and writes
    Kind.DISK_SLOW: (0.2, 10.0),  # seconds of each
}


class PlanError(InputError):
    """A fault is invalid; the message names it."""

    advice = "Correct the fault that is named; docs/rehearsal/links.md tells what each takes"


class LinkFault(Table):
    """One fault: its kind, where it acts, when it begins, how long it lasts and how hard it is."""

    kind: Kind
    on: str  # path, or name of a router
    at: Seconds
    lasts: Annotated[Seconds, Field(gt=0.0)]
    hard: Annotated[float, Field(gt=0.0)] | None = None
    spread: Seconds = 0.0  # of a delay: maximum extra delay; of a reordering: how long a datagram is held

    @property
    def ends(self) -> float:
        return self.at + self.lasts

    @property
    def hardness(self) -> float:
        return self.hard if self.hard is not None else DEFAULT_AND_MAX_HARDNESS.get(self.kind, (1.0, 1.0))[0]

    def label(self) -> str:
        return f"{self.kind} on {self.on}"


def link_fault(
    kind: Kind | str, on: str, at: float, lasts: float, hard: float | None = None, spread: float = 0.0
) -> LinkFault:
    """Creates a fault from times in seconds."""
    times = {"at": write_time(at), "lasts": write_time(lasts), "spread": write_time(spread)}
    return LinkFault.model_validate({"kind": kind, "on": on, "hard": hard, **times})


class _File(Table):
    faults: Annotated[list[LinkFault], Field(alias="fault", max_length=MAX_FAULTS)] = []


@dataclass(frozen=True, slots=True)
class Step:
    """The begin or the end of a fault."""

    at: float
    begins: bool
    number: int  # index of the fault in the plan
    fault: LinkFault

    def line(self) -> str:
        """Returns the line that reports show."""
        return f"{self.at:8.3f} s  {'begins' if self.begins else 'ends'}: {self.fault.label()}"


def read_plan(text: str, file: str) -> list[LinkFault]:
    """Reads the `[[fault]]` tables of a TOML text; ScenarioError names file, line and mistake."""
    return parse(_File, text, file).faults


def steps(plan: Sequence[LinkFault]) -> list[Step]:
    """Returns begins and ends in order of time; at one time ends come first, then the order of the plan."""
    both = [
        Step(at, begins, n, f) for n, f in enumerate(plan) for at, begins in ((f.at, True), (f.ends, False))
    ]
    return sorted(both, key=lambda s: (s.at, s.begins, s.number))


def check(plan: Sequence[LinkFault], places: PathEnds, length: float) -> None:
    """Raises PlanError if a fault is invalid, ends after `length` seconds or overlaps one on its process."""
    for number, fault in enumerate(plan):
        where = f"fault {number + 1} ({fault.label()})"
        if fault.ends > length:
            raise PlanError(f"ends at {fault.ends:g} s, after the run's {length:g} s", where)
        if (
            fault.hard is not None
            and not 0.0 < fault.hard <= DEFAULT_AND_MAX_HARDNESS.get(fault.kind, (0.0, -math.inf))[1]
        ):
            raise PlanError(f"hard = {fault.hard:g} is more than it takes", where)
        if fault.kind in LINKS:
            path = path_of(fault.on, places)
            on = (on_connections(path, places), between_routers(path, places))
            if not (on[0] and fault.kind not in DATAGRAMS or on[1] and fault.kind not in CONNECTIONS):
                raise PlanError("nothing goes there that it could hit", where)
        elif fault.on not in places.routers:
            raise PlanError(f"no router is called {fault.on!r}", where)
        if fault.kind is Kind.TERM and fault.lasts < MIN_TERM_SECONDS:
            raise PlanError(f"lasts less than {MIN_TERM_SECONDS:g} s until the kill", where)
    _check_apart([f for f in plan if f.kind not in LINKS])


def _check_apart(plan: Iterable[LinkFault]) -> None:
    """Rejects overlapping faults on one process, clock or disk: the end of one would undo the other."""
    ends: dict[tuple[str, str], float] = {}
    for fault in sorted(plan, key=lambda f: f.at):
        key = fault.on, "process" if fault.kind in PROCESSES else fault.kind
        if fault.at < ends.get(key, -math.inf):
            raise PlanError("begins before another of its sort has ended there", fault.label())
        ends[key] = fault.ends
