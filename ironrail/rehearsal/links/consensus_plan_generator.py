"""Generates fault plans and policy changes for consensus runs from a seed. Does no I/O."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.plan import (
    DEFAULT_AND_MAX_HARDNESS,
    DISKS,
    MIN_TERM_SECONDS,
    Kind,
    LinkFault,
    link_fault,
)
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names

MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 5.0  # several leases long, so that a router that is away has surely lost its own
MAX_PROCESS_FAULTS_FRACTION = 3 / 7  # of the routers; the process of each is hit once
NUM_FAULTS_RANGE = (3, 8)  # in a plan, both inclusive
NUM_CHANGES_RANGE = (3, 6)
SIMULTANEOUS_FRACTION = 0.3  # of the changes: proposed together with the one before, at another router
LINK_KINDS = (Kind.CUT, Kind.DELAY, Kind.LOSS, Kind.DUPLICATE, Kind.REORDER)
TARGETS = ("link", "hall", "process", "disk", "clock")
TARGET_WEIGHTS = (40, 10, 25, 15, 10)


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A policy change that an operator proposes at a router."""

    at: float  # seconds since the start of the plan
    router: str
    version: int


def draw_faults(scenario: Scenario, seed: int, length: float, voters: tuple[int, ...]) -> list[LinkFault]:
    """Returns faults in order of time, all ended after `length` seconds; fewer if routers run out."""
    draws, names = stream(seed, "accords.faults"), router_names(scenario)
    processes = draws.sample(names, int(len(names) * MAX_PROCESS_FAULTS_FRACTION))
    disks = [(names[voter], kind) for voter in voters for kind in DISKS]
    clocks = draws.sample(names, len(names))
    draws.shuffle(disks)
    plan = []
    for _ in range(draws.randint(*NUM_FAULTS_RANGE)):
        at = draws.uniform(0.0, length - MIN_FAULT_SECONDS)
        lasts = draws.uniform(MIN_FAULT_SECONDS, min(MAX_FAULT_SECONDS, length - at))
        sort = draws.choices(TARGETS, TARGET_WEIGHTS)[0]
        if sort == "link":
            plan.append(_fault(draws, draws.choice(LINK_KINDS), _path(draws, scenario), at, lasts))
        elif sort == "hall":
            alone, *others = draws.sample(list(scenario.halls.names), len(scenario.halls.names))
            plan += [_fault(draws, Kind.CUT, f"{alone} <> {other}", at, lasts) for other in others]
        elif sort == "process" and processes:
            kind = draws.choice((Kind.KILL, Kind.STOP, Kind.TERM))
            if kind is Kind.TERM:
                at, lasts = min(at, length - MIN_TERM_SECONDS - 0.01), MIN_TERM_SECONDS + 0.01
            plan.append(_fault(draws, kind, processes.pop(), at, lasts))
        elif sort == "disk" and disks:
            name, kind = disks.pop()
            plan.append(_fault(draws, kind, name, at, lasts))
        elif sort == "clock" and clocks:
            plan.append(_fault(draws, Kind.CLOCK, clocks.pop(), at, lasts))
    return sorted(plan, key=lambda fault: fault.at)


def draw_changes(scenario: Scenario, seed: int, length: float, first: int = 2) -> list[ProposedChange]:
    """Returns changes in order of time, versions from `first` on; some are simultaneous at two routers."""
    draws, names = stream(seed, "accords.changes"), router_names(scenario)
    times = sorted(draws.uniform(0.0, length) for _ in range(draws.randint(*NUM_CHANGES_RANGE)))
    changes: list[ProposedChange] = []
    for version, drawn in enumerate(times, first):
        simultaneous = changes and draws.random() < SIMULTANEOUS_FRACTION
        at = changes[-1].at if simultaneous else math.floor(drawn * 1000) / 1000
        others = [name for name in names if not changes or name != changes[-1].router]
        changes.append(ProposedChange(at, draws.choice(others), version))
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
    default = DEFAULT_AND_MAX_HARDNESS.get(kind)
    hard = round(default[0] * draws.uniform(0.5, 1.0), 4) if default is not None else None
    if kind is Kind.DISK_FAILING:
        hard = round(draws.uniform(0.3, 1.0), 4)
    at, lasts = (math.floor(seconds * 1000) / 1000 for seconds in (at, lasts))
    spread = 0.05 if kind in (Kind.DELAY, Kind.REORDER) else 0.0
    return link_fault(kind, on, at, lasts, hard, spread)
