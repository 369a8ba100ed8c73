"""Plans faults: draws their targets from the seed and orders every begin and end by time. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names, zone_of

# fault kinds for caches that may target the archive as well
ARCHIVE_TARGET_KINDS = (FaultKind.ERRORS, FaultKind.RESET, FaultKind.SPOILT, FaultKind.LATE_RESET)
CACHES, ROUTERS, ZONES, ARCHIVE, LOAD, LIST = "caches", "routers", "halls", "archive", "load", "list"
TARGET_ROLES = {
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
    FaultKind.HALL_CUT: ZONES,
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
    """A fault whose target does not exist; the message names the fault."""


@dataclass(frozen=True, slots=True)
class Planned:
    """A fault with its targets."""

    number: int
    fault: Fault
    victims: tuple[str, ...]  # names of caches, routers or zones

    @property
    def ends(self) -> float:
        return self.fault.at + self.fault.lasts

    def label(self) -> str:
        """Return the name for progress lines and reports."""
        return " ".join([self.fault.kind, *self.victims])


@dataclass(frozen=True, slots=True)
class Step:
    """The begin or the end of a fault."""

    at: float
    begins: bool
    planned: Planned


def make_plan(scenario: Scenario, seed: int) -> list[Planned]:
    """Return all faults with their targets, in the order of the scenario."""
    return [Planned(i, fault, _victims(scenario, seed, i, fault)) for i, fault in enumerate(scenario.faults)]


def steps(plan: list[Planned]) -> list[Step]:
    """Return all begins and ends by time; at equal times ends come first, then the plan's order."""
    both = [Step(p.fault.at, True, p) for p in plan] + [Step(p.ends, False, p) for p in plan]
    return sorted(both, key=lambda s: (s.at, s.begins, s.planned.number))


def _victims(scenario: Scenario, seed: int, number: int, fault: Fault) -> tuple[str, ...]:
    role, whom = TARGET_ROLES[fault.kind], fault.whom.strip()
    if role in (ARCHIVE, LOAD, LIST):
        if whom:
            raise PlanError(f"fault {number + 1} ({fault.kind}): takes no `whom`")
        return ()
    zones = scenario.halls.names
    names = {CACHES: cache_names(scenario), ROUTERS: router_names(scenario), ZONES: zones}[role]
    if whom in names or whom == ARCHIVE and fault.kind in ARCHIVE_TARGET_KINDS:
        return (whom,)
    if whom == "all":
        return tuple(names)
    if whom in zones and role is not ZONES:
        return tuple(name for i, name in enumerate(names) if zone_of(scenario, i) == whom)
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
