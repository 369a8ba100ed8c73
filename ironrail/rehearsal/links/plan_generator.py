"""Generates fault plans from a seed; the same seed gives the same plan on every machine."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.paths import ARCHIVE, CLIENTS, DISCOVERY
from ironrail.rehearsal.links.plan import (
    CONNECTIONS,
    DATAGRAMS,
    DEFAULT_AND_MAX_HARDNESS,
    DISKS,
    LINKS,
    MIN_TERM_SECONDS,
    PROCESSES,
    Kind,
    LinkFault,
    link_fault,
)
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names

QUIET_END_SECONDS = 2.0  # without faults, so that restarted processes become ready
MIN_FAULT_SECONDS = 0.2
MAX_PROCESS_FAULTS_FRACTION = 1 / 3  # of the routers, each hit once; the others carry the load
LINK_FRACTION = 0.6  # of faults on links; the rest hit processes, clocks and disks


def draw_plan(
    scenario: Scenario, seed: int, count: int, kinds: Sequence[Kind] = tuple(Kind)
) -> list[LinkFault]:
    """Returns `count` faults in order of time, fewer if routers run out; all end before the quiet end."""
    links, others = [k for k in kinds if k in LINKS], [k for k in kinds if k not in LINKS]
    draws = stream(seed, "links.plan")
    routers, last = router_names(scenario), scenario.length - QUIET_END_SECONDS
    if last <= MIN_FAULT_SECONDS:
        return []
    whole = draws.sample(
        routers, int(len(routers) * MAX_PROCESS_FAULTS_FRACTION)
    )  # routers whose process may be hit
    clocks, disks = (draws.sample(routers, len(routers)) for _ in range(2))
    plan = []
    for _ in range(count):
        at = draws.uniform(0.0, last - MIN_FAULT_SECONDS)
        lasts = draws.uniform(MIN_FAULT_SECONDS, last - at)
        on_link = draws.random() < LINK_FRACTION
        if on_link and links or not others:
            plan.append(_link(draws, scenario, draws.choice(links), at, lasts))
            continue
        kind = draws.choice(others)
        left = whole if kind in PROCESSES else disks if kind in DISKS else clocks
        if not left:
            continue
        if kind is Kind.TERM:
            if last < MIN_TERM_SECONDS:
                continue
            at, lasts = min(at, last - MIN_TERM_SECONDS), MIN_TERM_SECONDS
        plan.append(_fault(draws, kind, left.pop(), at, lasts))
    return sorted(plan, key=lambda fault: fault.at)


def _fault(draws: random.Random, kind: Kind, on: str, at: float, lasts: float) -> LinkFault:
    default = DEFAULT_AND_MAX_HARDNESS.get(kind)
    hard = round(default[0] * draws.uniform(0.5, 1.0), 4) if default is not None else None
    at, lasts = (math.floor(seconds * 1000) / 1000 for seconds in (at, lasts))
    spread = 0.05 if kind in (Kind.DELAY, Kind.REORDER) else 0.0
    return link_fault(kind, on, at, lasts, hard, spread)


def _link(draws: random.Random, scenario: Scenario, kind: Kind, at: float, lasts: float) -> LinkFault:
    routers, halls = router_names(scenario), scenario.halls.names
    paths = []
    if kind not in DATAGRAMS:
        paths.append((draws.choice(routers), draws.choice([*cache_names(scenario), ARCHIVE, DISCOVERY])))
        paths.append((CLIENTS, draws.choice(routers)))
    if kind not in CONNECTIONS and len(routers) > 1:
        one, other = draws.sample(routers, 2)
        paths.append((one, other))
    if kind not in DATAGRAMS and len(halls) > 1 and len(routers) >= len(halls):
        one, other = draws.sample(halls, 2)
        paths.append((one, other))
    if not paths:  # datagram faults need two routers
        paths, kind = [(CLIENTS, routers[0])], Kind.DELAY
    one, other = draws.choice(paths)
    if draws.random() < 0.5:
        one, other = other, one
    return _fault(draws, kind, f"{one} {draws.choice(['>', '<>'])} {other}", at, lasts)
