"""The plan of faults: victims drawn from the seed, and every begin and end in order of time. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, hall_of, router_names

# kinds that may hit the archive
ARCHIVE_TOO = (FaultKind.ERRORS, FaultKind.RESET, FaultKind.SPOILT, FaultKind.LATE_RESET)
CACHES, ROUTERS, HALLS, ARCHIVE, LOAD, LIST = "caches", "routers", "halls", "archive", "load", "list"
VICTIMS = {
    FaultKind.VANISH: CACHES,
    FaultKind.STALL: CACHES,
    FaultKind.RESET: CACHES,
    FaultKind.SLOW_CLOSE: CACHES,
    FaultKind.LOST: CACHES,
    FaultKind.SPOILT: CACHES,
    FaultKind.SURPLUS: CACHES,
    FaultKind.ENDLESS: CACHES,
    FaultKind.ERRORS: CACHES,
    FaultKind.DRAIN: CACHES,
    FaultKind.RESTART: CACHES,
    FaultKind.REPLACE: CACHES,
    FaultKind.LATE_CONNECT: CACHES,
    FaultKind.SECOND_ANSWER: CACHES,
    FaultKind.HANG: CACHES,
    FaultKind.LATE_RESET: CACHES,
    FaultKind.HALL_CUT: HALLS,
    FaultKind.LIST_SILENT: LIST,
    FaultKind.LIST_EMPTY: LIST,
    FaultKind.LIST_ABSURD: LIST,
    FaultKind.LIST_MOVES: LIST,
    FaultKind.LIST_CROWDED: LIST,
    FaultKind.LIST_CUT: LIST,
    FaultKind.LIST_SPOILT: LIST,
    FaultKind.LIST_LATE: LIST,
    FaultKind.WATCH_SILENT: LIST,
    FaultKind.WATCH_RESET: LIST,
    FaultKind.HOT_KEYS: LOAD,
    FaultKind.CLIENTS_LEAVE: LOAD,
    FaultKind.HOT_ROUTER: ROUTERS,
    FaultKind.ARCHIVE_SLOW: ARCHIVE,
    FaultKind.ARCHIVE_DOWN: ARCHIVE,
    FaultKind.ARCHIVE_UNSIZED: ARCHIVE,
    FaultKind.ROUTER_TERM: ROUTERS,
    FaultKind.ROUTER_KILL: ROUTERS,
    FaultKind.ROUTER_STOP: ROUTERS,
    FaultKind.ROUTER_REPLACE: ROUTERS,
    FaultKind.ROUTER_RESTART: ROUTERS,
}


class PlanError(ValueError):
    """A plan that names whom there is not; the message names the fault."""


@dataclass(frozen=True, slots=True)
class Planned:
    """A fault with its victims."""

    number: int
    fault: Fault
    victims: tuple[str, ...]  # names of caches, routers or halls

    @property
    def ends(self) -> float:
        return self.fault.at + self.fault.lasts

    def label(self) -> str:
        """What people call it."""
        return " ".join([self.fault.kind, *self.victims])


@dataclass(frozen=True, slots=True)
class Step:
    """A fault begins or ends."""

    at: float
    begins: bool
    planned: Planned


def make_plan(scenario: Scenario, seed: int) -> list[Planned]:
    """All faults with their victims, in the order of the scenario."""
    return [Planned(i, fault, _victims(scenario, seed, i, fault)) for i, fault in enumerate(scenario.faults)]


def steps(plan: list[Planned]) -> list[Step]:
    """Begins and ends in order of time; of two at one time an end comes first, then the order of the plan."""
    both = [Step(p.fault.at, True, p) for p in plan] + [Step(p.ends, False, p) for p in plan]
    return sorted(both, key=lambda s: (s.at, s.begins, s.planned.number))


def _victims(scenario: Scenario, seed: int, number: int, fault: Fault) -> tuple[str, ...]:
    role, whom = VICTIMS[fault.kind], fault.whom.strip()
    if role in (ARCHIVE, LOAD, LIST):
        if whom:
            raise PlanError(f"fault {number + 1} ({fault.kind}): takes no `whom`")
        return ()
    halls = scenario.halls.names
    names = {CACHES: cache_names(scenario), ROUTERS: router_names(scenario), HALLS: halls}[role]
    if whom in names or whom == ARCHIVE and fault.kind in ARCHIVE_TOO:
        return (whom,)
    if whom == "all":
        return tuple(names)
    if whom in halls and role is not HALLS:
        return tuple(name for i, name in enumerate(names) if hall_of(scenario, i) == whom)
    count = 1 if not whom else _count(whom, role)
    if count is None or count > len(names):
        raise PlanError(f"fault {number + 1} ({fault.kind}): no {role} are called {whom!r}")
    drawn = stream(seed, f"faults.{number}.whom").sample(names, count)
    return tuple(sorted(drawn, key=names.index))


def _count(whom: str, role: str) -> int | None:
    found = re.fullmatch(r"(\d+) ([a-z]+)", whom)
    if found is None or found[2] not in (role, role.removesuffix("s")):
        return None
    return int(found[1]) or None
