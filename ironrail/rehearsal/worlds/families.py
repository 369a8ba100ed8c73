"""Generates the scenario of a family from a seed. Pure.

Unlike the explorer's small scenarios, which search for failures, these last as long as a rehearsal and load
a fleet near or beyond its capacity while one kind of fault goes on. Each property has its own random
stream, so adding a property, here or in another family, changes no existing draw.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import read_time, write_time

LENGTH_SECONDS = 20.0  # measured load, without the warm-up
QUIET_SECONDS = 2.0  # fault-free time at the start and at the end
READ_WORK_SECONDS = 0.11  # core time of an ordinary read
MIN_LOAD, MAX_LOAD = 0.5, 1.3  # of the fleet's capacity
MIN_CACHES, MAX_CACHES = 5, 12
SLOTS = 60

Table = dict[str, Any]
Streams = Callable[[str], random.Random]
Family = Callable[[Streams, list[str]], Table]


def family_scenario(family: str, seed: int) -> Scenario:
    """The scenario of a family and seed; raises KeyError for an unknown family."""

    def streams(name: str) -> random.Random:
        return stream(seed, f"worlds.{family}.{name}")

    count = streams("caches").randint(MIN_CACHES, MAX_CACHES)
    names = [f"cache-{n + 1}" for n in range(count)]
    table = _base_table(streams, count)
    for part, fields in FAMILIES[family](streams, names).items():
        table[part] = fields if isinstance(fields, list) else table.get(part, {}) | fields
    table["summary"] = f"{family}, drawn from seed {seed}"
    table["fault"] = sorted(table.get("fault", []), key=lambda fault: read_time(fault["at"]))
    return Scenario.model_validate(table)


def _base_table(streams: Streams, count: int) -> Table:
    """The fleet and load common to all families."""
    rate = streams("rate").uniform(60.0, 140.0)
    load = streams("load").uniform(MIN_LOAD, MAX_LOAD)
    cores = max(1, round(rate * READ_WORK_SECONDS / load / count))
    return {
        "length": write_time(LENGTH_SECONDS),
        "warm_up": "3 s",
        "load": {
            "rate": rate,
            "shape": streams("shape").choice(["steady", "bursty", "ramp"]),
            "keys": streams("keys").choice([60, 600, 3000]),
        },
        "routers": {"count": streams("routers").randint(1, 4)},
        "caches": {
            "count": count,
            "cores": cores,
            "uneven": streams("uneven").uniform(0.0, 0.5),
            "slots": SLOTS,
            "connections": streams("places").choice([24, 48, 95]),
            "handshake": write_time(streams("handshake").uniform(0.005, 0.06)),
        },
    }


def _fault(draws: random.Random, kind: str, whom: str, lasts: tuple[float, float], **fields: Any) -> Table:
    """A fault at a random time between the fault-free start and end."""
    long = draws.uniform(*lasts)
    at = draws.uniform(QUIET_SECONDS, max(QUIET_SECONDS + 0.1, LENGTH_SECONDS - QUIET_SECONDS - long))
    return {"kind": kind, "whom": whom, "at": write_time(at), "lasts": write_time(long), **fields}


def _continuous_fault(kind: str, whom: str, **fields: Any) -> Table:
    """A fault that lasts from the fault-free start to the fault-free end."""
    lasts = write_time(LENGTH_SECONDS - 2 * QUIET_SECONDS)
    return {"kind": kind, "whom": whom, "at": write_time(QUIET_SECONDS), "lasts": lasts, **fields}


def _no_faults(streams: Streams, names: list[str]) -> Table:
    """No faults: shows the cost of load alone."""
    return {}


def _resets(streams: Streams, names: list[str]) -> Table:
    """Connections are reset after the work is done, and idle ones close far sooner than announced."""
    hard = streams("hard").uniform(0.02, 0.25)
    idle = streams("idle").uniform(0.3, 3.0)
    return {
        "caches": {"idle": write_time(idle), "idle_told": "15 s"},
        "fault": [
            _continuous_fault("reset", "all", hard=hard),
            _fault(streams("lost"), "vanish", "1 cache", (3.0, 8.0)),
        ],
    }


def _unusable_replies(streams: Streams, names: list[str]) -> Table:
    """Unusable replies, replies with surplus bytes, and a partitioned zone."""
    hard, more = streams("hard").uniform(0.01, 0.15), streams("surplus").uniform(0.01, 0.3)
    hall = streams("hall").choice(["hall-a", "hall-b", "hall-c"])
    return {
        "fault": [
            _continuous_fault("spoilt", "all", hard=hard),
            _continuous_fault("surplus", "all", hard=more),
            _fault(streams("cut"), "hall-cut", hall, (2.0, 5.0)),
        ]
    }


def _cache_churn(streams: Streams, names: list[str]) -> Table:
    """Caches are drained or restarted throughout the run, and clients keep opening new connections."""
    faults = []
    for n, name in enumerate(names):
        draws = streams(f"replaced.{n}")
        kind = draws.choice(["drain", "restart", "none"])
        if kind != "none":
            faults.append(_fault(draws, kind, name, (0.5, 3.0)))
    return {"clients": {"new_connections": streams("new").uniform(0.05, 0.4)}, "fault": faults}


def _lost_caches(streams: Streams, names: list[str]) -> Table:
    """10 to 20% of the caches go silent and return cold; in half of the scenarios the list is silent too."""
    gone = max(1, round(len(names) * streams("share").uniform(0.1, 0.2)))
    faults = [
        _fault(streams(f"lost.{n}"), "vanish", name, (3.0, 9.0))
        for n, name in enumerate(streams("whom").sample(names, gone))
    ]
    if streams("list").random() < 0.5:
        faults.append(_fault(streams("silent"), "list-silent", "", (2.0, 6.0)))
    return {"fault": faults}


def _stalls(streams: Streams, names: list[str]) -> Table:
    """Caches stall repeatedly, and a few keys draw much of the traffic."""
    pause, every = streams("pause").uniform(0.1, 0.8), streams("every").uniform(1.0, 3.0)
    share = streams("hot").uniform(0.05, 0.3)
    some = f"{max(1, len(names) // 3)} caches"
    hot = _fault(streams("keys"), "hot-keys", "", (4.0, 9.0), hard=share)
    return {
        "fault": [_continuous_fault("stall", some, pause=write_time(pause), every=write_time(every)), hot]
    }


def _router_restarts(streams: Streams, names: list[str]) -> Table:
    """Routers are replaced, killed or terminated, and the list moves."""
    count = streams("more").randint(2, 4)
    faults = [_fault(streams("moves"), "list-moves", "", (0.1, 0.2))]
    for n in range(count - 1):  # one router keeps running
        draws = streams(f"router.{n}")
        kind = draws.choice(["router-kill", "router-term", "router-replace"])
        faults.append(_fault(draws, kind, f"router-{n + 1}", (3.0, 5.0)))
    return {"routers": {"count": count}, "fault": faults}


def _slow_archive(streams: Streams, names: list[str]) -> Table:
    """Many keys and a slow archive, so cache misses are answered late."""
    keys = streams("many").choice([5_000, 50_000])
    factor = streams("slow").uniform(1.5, 6.0)
    slow = _fault(streams("archive"), "archive-slow", "", (3.0, 9.0), hard=factor)
    return {"load": {"keys": keys}, "fault": [slow]}


FAMILIES: dict[str, Family] = {
    "calm": _no_faults,
    "resets": _resets,
    "spoilt": _unusable_replies,
    "churn": _cache_churn,
    "lost": _lost_caches,
    "stalls": _stalls,
    "restarts": _router_restarts,
    "misses": _slow_archive,
}
