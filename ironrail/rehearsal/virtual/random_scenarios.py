"""Generates small random scenarios with random faults from a seed, for the explorer. Pure.

The result is an ordinary scenario, so one that fails can be written to a file, shrunk and replayed.
"""

from __future__ import annotations

import random
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.faults.plan import CACHES, ROUTERS, TARGET_ROLES, ZONES
from ironrail.rehearsal.scenario.faults import CutKind, FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names
from ironrail.rehearsal.scenario.units import read_time, write_time
from ironrail.rehearsal.virtual.fault_combinations import draw_fault_combinations

MAX_FAULTS = 6
RECOVERY_SECONDS = 3.0  # fault-free load at the end, in which service has to recover
MIN_TERM_DURATION = "2500 ms"  # from SIGTERM to the kill: the longest deadline here, and 0.7 s more
# drawn from a separate stream, so that adding them did not change the scenarios of existing seeds
SEPARATE_STREAM_KINDS = (FaultKind.LIST_MOVES,)
# meant for large fleets or drawn elsewhere; adding them here would change the scenarios of all seeds
EXCLUDED_KINDS = (
    FaultKind.LIST_CROWDED,
    FaultKind.LIST_CUT,
    FaultKind.LIST_SPOILT,
    FaultKind.LIST_LATE,
    FaultKind.REPLACE,
    FaultKind.LOST,
    FaultKind.ROUTER_RESTART,
    FaultKind.WATCH_SILENT,
    FaultKind.LATE_CONNECT,
    FaultKind.SECOND_ANSWER,
    FaultKind.HANG,
    FaultKind.LATE_RESET,
    FaultKind.ARCHIVE_UNSIZED,
    FaultKind.WATCH_RESET,
    FaultKind.CLIENTS_LEAVE,
)
KINDS = tuple(kind for kind in FaultKind if kind not in SEPARATE_STREAM_KINDS + EXCLUDED_KINDS)
INTERRUPTION_FRACTION = 0.2  # of scenarios that interrupt a router's task
# task, kind of interruption, and the highest number of an await to interrupt
INTERRUPTIONS = (("Discovery._run", CutKind.MOVES, 40), ("Pool._open", CutKind.TIME_UP, 120))
COMBINATION_FRACTION = 0.6  # of scenarios with additional faults from `fault_combinations.py`
LIST_MOVE_FRACTION = 0.2  # of scenarios in which the list moves and routers are notified by SIGHUP


def random_scenario(seed: int) -> Scenario:
    """The random scenario of a seed; the same seed always gives an equal scenario."""
    draws = stream(seed, "explore.world")
    length = draws.uniform(5.0, 8.0)
    table: dict[str, Any] = {
        "summary": f"drawn from seed {seed}",
        "length": write_time(length),
        "warm_up": "500 ms",
        "tick": draws.choice(["1 ms", "5 ms"]),
        "load": {
            "rate": draws.uniform(10.0, 40.0),
            "keys": draws.choice([5, 60, 2000]),
            "shape": draws.choice(["steady", "bursty", "ramp"]),
            "value": draws.choice(["1 B", "600 B", "20 KB"]),
        },
        "class": _classes(draws),
        "clients": {
            "retries": draws.randint(0, 3),
            "try_share": draws.uniform(0.3, 0.7),
            "wait": draws.choice(["0 ms", "50 ms", "200 ms"]),
            "new_connections": draws.choice([0.0, 0.02, 0.8]),
        },
        "halls": {"names": ["hall-a", "hall-b"][: draws.randint(1, 2)]},
        "routers": {"count": draws.randint(1, 3), "descriptors": draws.choice([128, 256])},
        "caches": {
            "count": draws.randint(1, 5),
            "cores": draws.choice([1, 2, 6]),
            "slots": draws.choice([4, 60]),
            "queue": draws.choice([0, 10, 100]),
            "warm": "2 s",
            "idle": draws.choice(["1 s", "60 s"]),
        },
        "archive": {
            "concurrency": draws.choice([2, 10, 48]),
            "queue": draws.choice([0, 10, 120]),
            "time": draws.choice(["20 ms", "120 ms"]),
        },
        "registry": {"notice": "400 ms", "silent_notice": "1200 ms", "add": "300 ms", "spread": "100 ms"},
        "network": {
            # a client waits at most 50 ms beyond its deadline, so no network may be slower than that
            **draws.choice(NETWORK_CONDITIONS),
            "split": draws.choice([0.0, 0.05, 0.5]),
            "window": draws.choice(["4 KB", "64 KB", "512 KB"]),
            "refused": draws.choice([0.0, 0.0, 0.05]),
            "unheard": draws.choice([0.0, 0.0, 0.05]),
        },
    }
    scenario = Scenario.model_validate(table)
    rare = stream(seed, "explore.rare")
    others: dict[str, Any] = {}
    besides, extension_seconds = list[dict[str, Any]](), 0.0
    if rare.random() < COMBINATION_FRACTION:
        others, besides, extension_seconds = draw_fault_combinations(rare, scenario)
    faults = [_fault(draws, scenario, length) for _ in range(draws.randint(0, MAX_FAULTS))]
    later = _list_move(stream(seed, "explore.later"), length)
    faults = _one_per_router(besides + faults) + later
    faults.sort(key=lambda fault: read_time(fault["at"]))
    table |= {
        name: table[name] | part if name in table and isinstance(part, dict) else part
        for name, part in others.items()
    }
    if any(fault["kind"] == FaultKind.ROUTER_REPLACE for fault in faults):
        table.get("registry", {}).pop("asked", None)  # an agent can't tell two processes of one name apart
    table["length"] = write_time(length + extension_seconds)
    return Scenario.model_validate(table | _interruption(stream(seed, "explore.cut")) | {"fault": faults})


def _classes(draws: random.Random) -> list[dict[str, Any]]:
    work = draws.choice(["3 ms", "30 ms", "100 ms"])
    once = {"work": work, "wanted": "800 ms", "give_up": "1600 ms", "worth": 8, "write": True}
    return [
        {"name": "grid-read", "share": 0.7, "work": work, "wanted": "500 ms", "give_up": "1 s"},
        {"name": "prize-entry", "share": 0.2, "repeats": "never", **once},
        {"name": "hint-spend", "share": 0.1, "repeats": "keyed", "window": "1 s", **once},
    ]


def _list_move(draws: random.Random, length: float) -> list[dict[str, Any]]:
    if draws.random() >= LIST_MOVE_FRACTION:
        return []
    at = draws.uniform(0.0, max(0.3, length - RECOVERY_SECONDS - 0.2))
    return [{"kind": SEPARATE_STREAM_KINDS[0].value, "at": write_time(at), "lasts": "100 ms"}]


def _interruption(draws: random.Random) -> dict[str, Any]:
    if draws.random() >= INTERRUPTION_FRACTION:
        return {}
    task, how, most = draws.choice(INTERRUPTIONS)
    nth, woken = draws.randint(1, most), draws.random() < 0.5
    return {"cut": {"task": task, "nth": nth, "how": how.value, "woken": woken}}


def _fault(draws: random.Random, scenario: Scenario, length: float) -> dict[str, Any]:
    """A random fault that ends early enough for service to recover before the end."""
    kind = draws.choice(KINDS)
    last = max(0.5, length - RECOVERY_SECONDS)
    at = draws.uniform(0.0, last - 0.2)
    fault: dict[str, Any] = {
        "kind": kind.value,
        "at": write_time(at),
        "lasts": write_time(draws.uniform(0.05, max(0.1, last - at))),
        "pause": write_time(draws.uniform(0.02, 0.5)),
        "every": write_time(draws.uniform(0.6, 1.5)),
    }
    victims = {
        CACHES: [*cache_names(scenario), "all"],
        ROUTERS: router_names(scenario),
        ZONES: scenario.halls.names,
    }.get(TARGET_ROLES[kind])
    if victims is not None:
        fault["whom"] = draws.choice(victims)
    if kind in (FaultKind.ERRORS, FaultKind.RESET, FaultKind.SPOILT) and draws.random() < 0.3:
        fault["whom"] = "archive"
    if kind is FaultKind.ROUTER_TERM:  # the platform never sends SIGKILL earlier
        fault["lasts"] = MIN_TERM_DURATION
    if kind in PARTIAL_KINDS:
        fault["hard"] = draws.choice([0.02, 0.2, 1.0])
    return fault


def _one_per_router(faults: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Keep one process fault (kill, termination, stop, replacement) per router.

    A second one planned for the same process could kill its successor.
    """
    seen: set[str] = set()
    kept = []
    for fault in faults:
        role = TARGET_ROLES[FaultKind(fault["kind"])]
        if role is ROUTERS and fault["kind"] != FaultKind.HOT_ROUTER:
            if fault["whom"] in seen:
                continue
            seen.add(fault["whom"])
        kept.append(fault)
    return kept


NETWORK_CONDITIONS = (
    {"latency": "0.05 ms", "jitter": 0.0},
    {"latency": "0.3 ms", "jitter": 0.5},
    {"latency": "0.3 ms", "jitter": 20.0},
    {"latency": "2 ms", "jitter": 0.5},
)
PARTIAL_KINDS = (
    FaultKind.RESET,
    FaultKind.SPOILT,
    FaultKind.SURPLUS,
    FaultKind.ENDLESS,
    FaultKind.ERRORS,
    FaultKind.SLOW_CLOSE,
)
