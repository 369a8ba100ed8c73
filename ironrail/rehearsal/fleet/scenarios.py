"""Generates scenarios of large fleets with fleet-wide faults from a seed. Pure.

The result is an ordinary scenario, which can be written to a file, edited and run again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import write_time

READ_WORK_SECONDS = 0.11  # core time of an ordinary read
TRIES_PER_ROUTER_PER_SECOND = 13.0  # first tries, without client retries
LOAD_FRACTION = 0.55  # of the fleet's capacity
LIST_CALLS_PER_ROUTER_PER_SECOND = 0.065  # capacity of the list service: 2.6 calls per second for 40 routers
IDLE_TIMEOUT = "3 s"  # shorter than announced; routers use each cache connection rarely
KEYS_PER_CACHE = 8  # few enough that each part of the fleet holds all of them after the warm-up
WARM_UP = "6 s"
QUIET_SECONDS = 2.0  # fault-free time at the start
KILLED_ROUTER_FRACTION = 0.7  # of all routers, in a release
REPLACED_CACHE_FRACTION, REPLACEMENT_SECONDS = 0.6, 7.0  # of all caches, and the time it takes
RESTARTED_ROUTER_FRACTION = 0.4  # of all routers, while caches are replaced
RESTART_STEPS = 10  # all routers restart in this many steps
ROLLING_RESTART_SECONDS = 5.0  # from the first step to the last
TERM_TO_KILL_SECONDS = 4.7  # longest request deadline plus 0.7 s
REPLACEMENT_STEPS = 5  # for the half of the caches that a release replaces
DRAIN_SECONDS = 2.4  # the notice is at most 1.5 s late and may take effect 1 s after that
PARTITION_SECONDS = 6.0  # a zone is unreachable
LIST_DELAY_SECONDS = 2.0  # additional list delay during the partition
LOST_REPLY_FRACTION, RESET_REPLY_FRACTION = 0.01, 0.02  # of the replies of some caches
BAD_CACHE_FRACTION, ERROR_REPLY_FRACTION = 0.2, 0.15  # of all caches, and of their replies
SPOILT_LIST_FRACTION = 0.25  # of the list service's responses
HUNG_CACHE_FRACTION = 1 / 20  # of all caches, while routers restart
NEW_CLIENT_SECONDS = 0.2, 0.4  # time range after SIGTERM in which new clients still connect
# of tries: pipelined behind another; abandoned before their deadline
PIPELINED_FRACTION, DISCONNECT_FRACTION = 0.05, 0.03
LIST_OUTAGE_SECONDS, OUTAGE_LEAD_SECONDS = 8.0, 2.0  # total, and the part of it before the release starts
HERD_RELEASE_SECONDS = 4.6  # from the first step of that release to the last
FAULTY_CACHE_FRACTION = 1 / 8  # of all caches; they return errors or lose replies
SLOW_CONNECT_CACHE_FRACTION = 0.2  # of all caches; their connections are established late
# of all caches, and of their connections
SECOND_REPLY_CACHE_FRACTION, SECOND_REPLY_CONNECTION_FRACTION = 0.2, 0.3
# additional faults of `join`: kind, start and duration in seconds; silences every watch open at that time
JOIN_EXTRA_FAULTS: tuple[tuple[str, float, float], ...] = (("watch-silent", 4.0, 4.0),)

Table = dict[str, Any]
FaultGenerator = Callable[[random.Random, int, int], list[Table]]


def fleet_scenario(trouble: str, seed: int, routers: int, caches: int, length: float) -> Scenario:
    """The scenario of a fault family and seed; raises KeyError for an unknown family."""
    rate = TRIES_PER_ROUTER_PER_SECOND * routers
    table: Table = {
        "summary": f"{trouble}: {routers} routers before {caches} caches, drawn from seed {seed}",
        "length": write_time(length),
        "warm_up": WARM_UP,
        "load": {"rate": rate, "keys": KEYS_PER_CACHE * caches},
        "routers": {"count": routers},
        "caches": {
            "count": caches,
            "cores": max(1, round(rate * READ_WORK_SECONDS / LOAD_FRACTION / caches)),
            "idle": IDLE_TIMEOUT,
            "idle_told": "60 s",
        },
        "archive": {"concurrency": max(4, round(rate * 0.04))},
        "registry": {"asked": True, "rate": LIST_CALLS_PER_ROUTER_PER_SECOND * routers},
        "fault": FAULT_GENERATORS[trouble](stream(seed, f"fleet.{trouble}"), routers, caches),
        **({"clients": CLIENT_OVERRIDES[trouble]} if trouble in CLIENT_OVERRIDES else {}),
    }
    return Scenario.model_validate(table)


def _fault(kind: str, whom: str, at: float, lasts: float, **fields: Any) -> Table:
    return {"kind": kind, "whom": whom, "at": write_time(at), "lasts": write_time(lasts), **fields}


def _no_faults(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """No faults."""
    return []


def _mass_restart(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """Most routers are killed at once and restart against an overloaded list service."""
    at = QUIET_SECONDS + draws.uniform(0.0, 1.0)
    whom = f"{max(1, round(KILLED_ROUTER_FRACTION * routers))} routers"
    down = draws.uniform(0.5, 1.5)
    return [
        _fault("router-kill", whom, at, down),
        _fault("list-crowded", "", at, 6.0, hard=draws.uniform(1.5, 3.0)),
    ]


def _zone_outage(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A zone disappears without notice and returns with every cache cold."""
    hall = draws.choice(["hall-a", "hall-b", "hall-c"])
    return [_fault("vanish", hall, QUIET_SECONDS + draws.uniform(0.0, 1.0), draws.uniform(3.0, 5.0))]


def _cache_replacement(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """60% of the caches are replaced within seconds, some others return errors, and routers restart."""
    order = draws.sample(range(1, caches + 1), caches)
    gone, rest = (
        order[: round(REPLACED_CACHE_FRACTION * caches)],
        order[round(REPLACED_CACHE_FRACTION * caches) :],
    )
    faults = [
        _fault(
            "replace",
            f"cache-{n}",
            QUIET_SECONDS + REPLACEMENT_SECONDS * i / len(gone),
            draws.uniform(0.3, 1.0),
        )
        for i, n in enumerate(gone)
    ]
    faults += [
        _fault("errors", f"cache-{n}", QUIET_SECONDS, REPLACEMENT_SECONDS, hard=ERROR_REPLY_FRACTION)
        for n in rest[: max(1, round(BAD_CACHE_FRACTION * len(rest)))]
    ]
    whom = f"{max(1, round(RESTARTED_ROUTER_FRACTION * routers))} routers"
    return [
        *faults,
        _fault("router-kill", whom, QUIET_SECONDS + draws.uniform(1.0, 4.0), draws.uniform(0.3, 1.0)),
    ]


def _rolling_restart(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """All routers restart in ten steps, half of the caches are replaced, some hang, and the list moves."""
    order = draws.sample(range(1, routers + 1), routers)
    faults = [
        _fault(
            "router-restart",
            f"router-{n}",
            QUIET_SECONDS + ROLLING_RESTART_SECONDS * (i * RESTART_STEPS // routers) / (RESTART_STEPS - 1),
            TERM_TO_KILL_SECONDS,
        )
        for i, n in enumerate(order)
    ]
    half = draws.sample(range(1, caches + 1), caches // 2)
    faults += _cache_release(draws, half, QUIET_SECONDS, ROLLING_RESTART_SECONDS - DRAIN_SECONDS)
    faults.append(
        _fault("list-moves", "", QUIET_SECONDS + draws.uniform(1.0, ROLLING_RESTART_SECONDS - 1.0), 0.1)
    )
    rest = [n for n in range(1, caches + 1) if n not in half]
    for n in draws.sample(rest, max(1, round(HUNG_CACHE_FRACTION * caches))):
        at, lasts = QUIET_SECONDS + draws.uniform(0.0, 2.0), draws.uniform(3.0, 6.0)
        faults.append(_fault("hang", f"cache-{n}", at, lasts))
    for fault in faults[:routers]:
        fault["hard"] = draws.uniform(*NEW_CLIENT_SECONDS)
    return faults


def _cache_release(draws: random.Random, caches: list[int], at: float, lasts: float) -> list[Table]:
    """A cache release: caches drain and are replaced in steps over `lasts` seconds."""
    faults = []
    for i, n in enumerate(caches):
        step = at + lasts * (i * REPLACEMENT_STEPS // len(caches)) / (REPLACEMENT_STEPS - 1)
        faults.append(_fault("drain", f"cache-{n}", step, DRAIN_SECONDS))
        faults.append(_fault("replace", f"cache-{n}", step + DRAIN_SECONDS - 0.1, draws.uniform(0.3, 1.0)))
    return faults


def _network_partition(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A zone is partitioned and lists arrive late, while replies are lost and connections reset."""
    at = QUIET_SECONDS + draws.uniform(0.0, 1.0)
    bad = draws.sample(range(1, caches + 1), max(1, round(BAD_CACHE_FRACTION * caches)))
    gone = draws.sample(range(1, caches + 1), max(1, caches // 10))
    return [
        _fault("hall-cut", draws.choice(["hall-a", "hall-b", "hall-c"]), at, PARTITION_SECONDS),
        _fault("list-late", "", at, PARTITION_SECONDS, hard=LIST_DELAY_SECONDS),
        *(_fault("lost", f"cache-{n}", at, PARTITION_SECONDS, hard=LOST_REPLY_FRACTION) for n in bad),
        *(_fault("reset", f"cache-{n}", at, PARTITION_SECONDS, hard=RESET_REPLY_FRACTION) for n in bad),
        *(_fault("replace", f"cache-{n}", at + draws.uniform(0.0, 4.0), 0.5) for n in gone),
    ]


def _list_faults(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """The list service is overloaded and some responses are corrupt, while a few caches are replaced."""
    faults = [
        _fault("list-crowded", "", 0.0, 5.0, hard=draws.uniform(1.5, 3.0)),
        _fault("list-cut", "", 0.0, 8.0, hard=SPOILT_LIST_FRACTION),
        _fault("list-spoilt", "", 0.0, 8.0, hard=SPOILT_LIST_FRACTION),
    ]
    few = draws.sample(range(1, caches + 1), max(1, caches // 6))
    return faults + [
        _fault("replace", f"cache-{n}", QUIET_SECONDS + draws.uniform(0.0, 4.0), 0.5) for n in few
    ]


def _combined(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A zone disappears and returns cold, a release follows, and some list responses are cut short."""
    hall = _zone_outage(draws, routers, caches)
    back = QUIET_SECONDS + draws.uniform(1.0, 2.5)
    whom = f"{max(1, round(KILLED_ROUTER_FRACTION * routers))} routers"
    release = _fault("router-kill", whom, back, draws.uniform(0.5, 1.5))
    return [*hall, release, _fault("list-cut", "", 0.0, 8.0, hard=SPOILT_LIST_FRACTION)]


def _restart_without_list(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """The list is unavailable as a cache release starts, most routers are killed, some caches are faulty."""
    order = draws.sample(range(1, caches + 1), caches)
    half, rest = order[: caches // 2], order[caches // 2 :]
    odd = rest[: max(1, round(FAULTY_CACHE_FRACTION * caches))]
    whom = f"{max(1, round(KILLED_ROUTER_FRACTION * routers))} routers"
    return [
        _fault("list-silent", "", QUIET_SECONDS, LIST_OUTAGE_SECONDS),
        _fault("router-kill", whom, QUIET_SECONDS + draws.uniform(0.5, 1.5), draws.uniform(0.5, 1.5)),
        *_cache_release(draws, half, QUIET_SECONDS + OUTAGE_LEAD_SECONDS, HERD_RELEASE_SECONDS),
        *(
            _fault("errors", f"cache-{n}", QUIET_SECONDS, LIST_OUTAGE_SECONDS, hard=ERROR_REPLY_FRACTION)
            if draws.random() < 0.5
            else _fault("lost", f"cache-{n}", QUIET_SECONDS, LIST_OUTAGE_SECONDS, hard=LOST_REPLY_FRACTION)
            for n in odd
        ),
    ]


def _cache_join(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """60% of the caches are replaced, connections are established late, some commands get two replies."""
    numbers = range(1, caches + 1)
    gone = draws.sample(numbers, round(REPLACED_CACHE_FRACTION * caches))
    faults = [
        _fault(
            "replace",
            f"cache-{n}",
            QUIET_SECONDS + REPLACEMENT_SECONDS * i / len(gone),
            draws.uniform(0.3, 1.0),
        )
        for i, n in enumerate(gone)
    ]
    late = draws.sample(numbers, max(1, round(SLOW_CONNECT_CACHE_FRACTION * caches)))
    twice = draws.sample(numbers, max(1, round(SECOND_REPLY_CACHE_FRACTION * caches)))
    faults += [_fault("late-connect", f"cache-{n}", QUIET_SECONDS, REPLACEMENT_SECONDS) for n in late]
    faults += [
        _fault(
            "second-answer",
            f"cache-{n}",
            QUIET_SECONDS,
            REPLACEMENT_SECONDS,
            hard=SECOND_REPLY_CONNECTION_FRACTION,
        )
        for n in twice
    ]
    return faults + [_fault(kind, "", at, lasts) for kind, at, lasts in JOIN_EXTRA_FAULTS]


FAULT_GENERATORS: dict[str, FaultGenerator] = {
    "calm": _no_faults,
    "release": _mass_restart,
    "hall": _zone_outage,
    "replaced": _cache_replacement,
    "list": _list_faults,
    "roll": _rolling_restart,
    "split": _network_partition,
    "all": _combined,
    "herd": _restart_without_list,
    "join": _cache_join,
}
CLIENT_OVERRIDES: dict[str, Table] = {  # client settings that differ from the defaults
    "roll": {"stay": 1.0, "pipelined": PIPELINED_FRACTION},
    "join": {"leave": DISCONNECT_FRACTION},
}
