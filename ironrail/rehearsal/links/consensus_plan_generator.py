"""Plans for accords drawn from a seed: what goes wrong, and who is asked for which change when. Pure."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.plan import DISKS, HARD, LEAST_TERM, Kind, LinkFault, link_fault
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names

LEAST_LASTS = 0.5  # seconds
MOST_LASTS = 5.0  # seconds: as long as several leases, so that one who is away has surely lost his
MOST_PROCESSES = 3 / 7  # of routers whose process is hit, each once
FAULTS = (3, 8)  # in a plan, from and to
CHANGES = (3, 6)
TOGETHER = 0.3  # of the changes are asked for at the time of the one before, at another router
ON_LINKS = (Kind.CUT, Kind.DELAY, Kind.LOSS, Kind.DUPLICATE, Kind.REORDER)
SORTS = ("link", "hall", "process", "disk", "clock")
WEIGHTS = (40, 10, 25, 15, 10)


@dataclass(frozen=True, slots=True)
class Asked:
    """A change that an operator asks a router for."""

    at: float  # seconds since the start of the plan
    router: str
    version: int


def draw_faults(scenario: Scenario, seed: int, length: float, voters: tuple[int, ...]) -> list[LinkFault]:
    """In order of time, all over after so many seconds; with fewer where routers run out."""
    draws, names = stream(seed, "accords.faults"), router_names(scenario)
    processes = draws.sample(names, int(len(names) * MOST_PROCESSES))
    disks = [(names[voter], kind) for voter in voters for kind in DISKS]
    clocks = draws.sample(names, len(names))
    draws.shuffle(disks)
    plan = []
    for _ in range(draws.randint(*FAULTS)):
        at = draws.uniform(0.0, length - LEAST_LASTS)
        lasts = draws.uniform(LEAST_LASTS, min(MOST_LASTS, length - at))
        sort = draws.choices(SORTS, WEIGHTS)[0]
        if sort == "link":
            plan.append(_fault(draws, draws.choice(ON_LINKS), _path(draws, scenario), at, lasts))
        elif sort == "hall":
            alone, *others = draws.sample(list(scenario.halls.names), len(scenario.halls.names))
            plan += [_fault(draws, Kind.CUT, f"{alone} <> {other}", at, lasts) for other in others]
        elif sort == "process" and processes:
            kind = draws.choice((Kind.KILL, Kind.STOP, Kind.TERM))
            if kind is Kind.TERM:
                at, lasts = min(at, length - LEAST_TERM - 0.01), LEAST_TERM + 0.01
            plan.append(_fault(draws, kind, processes.pop(), at, lasts))
        elif sort == "disk" and disks:
            name, kind = disks.pop()
            plan.append(_fault(draws, kind, name, at, lasts))
        elif sort == "clock" and clocks:
            plan.append(_fault(draws, Kind.CLOCK, clocks.pop(), at, lasts))
    return sorted(plan, key=lambda fault: fault.at)


def draw_changes(scenario: Scenario, seed: int, length: float, first: int = 2) -> list[Asked]:
    """In order of time, with versions from the first on; some at one time at two routers."""
    draws, names = stream(seed, "accords.changes"), router_names(scenario)
    times = sorted(draws.uniform(0.0, length) for _ in range(draws.randint(*CHANGES)))
    changes: list[Asked] = []
    for version, drawn in enumerate(times, first):
        together = changes and draws.random() < TOGETHER
        at = changes[-1].at if together else math.floor(drawn * 1000) / 1000
        others = [name for name in names if not changes or name != changes[-1].router]
        changes.append(Asked(at, draws.choice(others), version))
    return changes


def _path(draws: random.Random, scenario: Scenario) -> str:
    names, halls = router_names(scenario), list(scenario.halls.names)
    one, other = draws.choice(
        (draws.sample(names, 2), [draws.choice(names), "routers"], draws.sample(halls, 2), ["routers"] * 2)
    )
    if draws.random() < 0.5:
        one, other = other, one
    return f"{one} {draws.choice(('>', '<>'))} {other}"


def _fault(draws: random.Random, kind: Kind, on: str, at: float, lasts: float) -> LinkFault:
    usual = HARD.get(kind)
    hard = round(usual[0] * draws.uniform(0.5, 1.0), 4) if usual is not None else None
    if kind is Kind.DISK_FAILING:
        hard = round(draws.uniform(0.3, 1.0), 4)
    at, lasts = (math.floor(seconds * 1000) / 1000 for seconds in (at, lasts))
    spread = 0.05 if kind in (Kind.DELAY, Kind.REORDER) else 0.0
    return link_fault(kind, on, at, lasts, hard, spread)
