"""Plans drawn from a seed. Pure: the same seed gives the same plan on every machine."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.paths import ARCHIVE, CLIENTS, DISCOVERY
from ironrail.rehearsal.links.plan import (
    CONNECTIONS,
    DATAGRAMS,
    DISKS,
    HARD,
    LEAST_TERM,
    LINKS,
    PROCESSES,
    Kind,
    LinkFault,
    link_fault,
)
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names

QUIET_END = 2.0  # seconds without a fault, in which processes that were started again come up
LEAST_LASTS = 0.2  # seconds
MOST_PROCESSES = 1 / 3  # of routers whose process is hit, each once: the others have to carry the load
LINK_SHARE = 0.6  # of faults are on links, the rest on processes, clocks and disks


def draw_plan(
    scenario: Scenario, seed: int, count: int, kinds: Sequence[Kind] = tuple(Kind)
) -> list[LinkFault]:
    """So many faults, fewer where routers run out, in order of time; all are over before the quiet end."""
    links, others = [k for k in kinds if k in LINKS], [k for k in kinds if k not in LINKS]
    draws = stream(seed, "links.plan")
    routers, last = router_names(scenario), scenario.length - QUIET_END
    if last <= LEAST_LASTS:
        return []
    whole = draws.sample(routers, int(len(routers) * MOST_PROCESSES))  # a process of each may be hit
    clocks, disks = (draws.sample(routers, len(routers)) for _ in range(2))
    plan = []
    for _ in range(count):
        at = draws.uniform(0.0, last - LEAST_LASTS)
        lasts = draws.uniform(LEAST_LASTS, last - at)
        on_link = draws.random() < LINK_SHARE
        if on_link and links or not others:
            plan.append(_link(draws, scenario, draws.choice(links), at, lasts))
            continue
        kind = draws.choice(others)
        left = whole if kind in PROCESSES else disks if kind in DISKS else clocks
        if not left:
            continue
        if kind is Kind.TERM:
            if last < LEAST_TERM:
                continue
            at, lasts = min(at, last - LEAST_TERM), LEAST_TERM
        plan.append(_fault(draws, kind, left.pop(), at, lasts))
    return sorted(plan, key=lambda fault: fault.at)


def _fault(draws: random.Random, kind: Kind, on: str, at: float, lasts: float) -> LinkFault:
    usual = HARD.get(kind)
    hard = round(usual[0] * draws.uniform(0.5, 1.0), 4) if usual is not None else None
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
    if not paths:  # datagrams, and one router alone
        paths, kind = [(CLIENTS, routers[0])], Kind.DELAY
    one, other = draws.choice(paths)
    if draws.random() < 0.5:
        one, other = other, one
    return _fault(draws, kind, f"{one} {draws.choice(['>', '<>'])} {other}", at, lasts)
