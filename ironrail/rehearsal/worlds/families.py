"""Worlds of a family, drawn from a seed. Pure.

Unlike the explorer's small worlds, which look for what must not be, these last as long as a rehearsal and
ask a fleet for a good part of what it can do, up to more than that, while one kind of trouble goes on. Each
property has a stream of its own, so that another property, or another family's, moves no draw.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import read_time, write_time

LENGTH = 20.0  # seconds of load that counts
QUIET = 2.0  # seconds at the begin and at the end without a fault
WORK = 0.11  # seconds of one core, of a usual read
LEAST_LOAD, MOST_LOAD = 0.5, 1.3  # of what the fleet can do
LEAST_CACHES, MOST_CACHES = 5, 12
SLOTS = 60

Table = dict[str, Any]
Streams = Callable[[str], random.Random]
Family = Callable[[Streams, list[str]], Table]


def family_world(family: str, seed: int) -> Scenario:
    """The world of a seed; KeyError for a family that there is not."""

    def streams(name: str) -> random.Random:
        return stream(seed, f"worlds.{family}.{name}")

    count = streams("caches").randint(LEAST_CACHES, MOST_CACHES)
    names = [f"cache-{n + 1}" for n in range(count)]
    table = _usual(streams, count)
    for part, fields in FAMILIES[family](streams, names).items():
        table[part] = fields if isinstance(fields, list) else table.get(part, {}) | fields
    table["summary"] = f"{family}, drawn from seed {seed}"
    table["fault"] = sorted(table.get("fault", []), key=lambda fault: read_time(fault["at"]))
    return Scenario.model_validate(table)


def _usual(streams: Streams, count: int) -> Table:
    """A fleet and its load: what all families have."""
    rate = streams("rate").uniform(60.0, 140.0)
    load = streams("load").uniform(LEAST_LOAD, MOST_LOAD)
    cores = max(1, round(rate * WORK / load / count))
    return {
        "length": write_time(LENGTH),
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


def _spell(draws: random.Random, kind: str, whom: str, lasts: tuple[float, float], **fields: Any) -> Table:
    """A fault somewhere between the quiet begin and the quiet end."""
    long = draws.uniform(*lasts)
    at = draws.uniform(QUIET, max(QUIET + 0.1, LENGTH - QUIET - long))
    return {"kind": kind, "whom": whom, "at": write_time(at), "lasts": write_time(long), **fields}


def _whole(kind: str, whom: str, **fields: Any) -> Table:
    """A fault from the quiet begin to the quiet end."""
    lasts = write_time(LENGTH - 2 * QUIET)
    return {"kind": kind, "whom": whom, "at": write_time(QUIET), "lasts": lasts, **fields}


def _calm(streams: Streams, names: list[str]) -> Table:
    """Nothing goes wrong: what load alone costs."""
    return {}


def _resets(streams: Streams, names: list[str]) -> Table:
    """Connections break after the work is done, and idle ones are closed far sooner than told."""
    hard = streams("hard").uniform(0.02, 0.25)
    idle = streams("idle").uniform(0.3, 3.0)
    return {
        "caches": {"idle": write_time(idle), "idle_told": "15 s"},
        "fault": [
            _whole("reset", "all", hard=hard),
            _spell(streams("lost"), "vanish", "1 cache", (3.0, 8.0)),
        ],
    }


def _spoilt(streams: Streams, names: list[str]) -> Table:
    """Replies that can't be used, good ones with more than belongs to them, and a hall cut off."""
    hard, more = streams("hard").uniform(0.01, 0.15), streams("surplus").uniform(0.01, 0.3)
    hall = streams("hall").choice(["hall-a", "hall-b", "hall-c"])
    return {
        "fault": [
            _whole("spoilt", "all", hard=hard),
            _whole("surplus", "all", hard=more),
            _spell(streams("cut"), "hall-cut", hall, (2.0, 5.0)),
        ]
    }


def _churn(streams: Streams, names: list[str]) -> Table:
    """Caches are replaced all day, some announced, some not; clients are ever new."""
    faults = []
    for n, name in enumerate(names):
        draws = streams(f"replaced.{n}")
        kind = draws.choice(["drain", "restart", "none"])
        if kind != "none":
            faults.append(_spell(draws, kind, name, (0.5, 3.0)))
    return {"clients": {"new_connections": streams("new").uniform(0.05, 0.4)}, "fault": faults}


def _lost(streams: Streams, names: list[str]) -> Table:
    """A fifth of the caches falls silent and comes back cold, while the list is late or out of reach."""
    gone = max(1, round(len(names) * streams("share").uniform(0.1, 0.2)))
    faults = [
        _spell(streams(f"lost.{n}"), "vanish", name, (3.0, 9.0))
        for n, name in enumerate(streams("whom").sample(names, gone))
    ]
    if streams("list").random() < 0.5:
        faults.append(_spell(streams("silent"), "list-silent", "", (2.0, 6.0)))
    return {"fault": faults}


def _stalls(streams: Streams, names: list[str]) -> Table:
    """Caches stand still for moments, and a few keys draw much of the traffic."""
    pause, every = streams("pause").uniform(0.1, 0.8), streams("every").uniform(1.0, 3.0)
    share = streams("hot").uniform(0.05, 0.3)
    some = f"{max(1, len(names) // 3)} caches"
    hot = _spell(streams("keys"), "hot-keys", "", (4.0, 9.0), hard=share)
    return {"fault": [_whole("stall", some, pause=write_time(pause), every=write_time(every)), hot]}


def _restarts(streams: Streams, names: list[str]) -> Table:
    """Routers are replaced, killed or told to end, and the list moves."""
    count = streams("more").randint(2, 4)
    faults = [_spell(streams("moves"), "list-moves", "", (0.1, 0.2))]
    for n in range(count - 1):  # one is left alone
        draws = streams(f"router.{n}")
        kind = draws.choice(["router-kill", "router-term", "router-replace"])
        faults.append(_spell(draws, kind, f"router-{n + 1}", (3.0, 5.0)))
    return {"routers": {"count": count}, "fault": faults}


def _misses(streams: Streams, names: list[str]) -> Table:
    """Many keys and a slow archive: what the caches lack comes late."""
    keys = streams("many").choice([5_000, 50_000])
    factor = streams("slow").uniform(1.5, 6.0)
    slow = _spell(streams("archive"), "archive-slow", "", (3.0, 9.0), hard=factor)
    return {"load": {"keys": keys}, "fault": [slow]}


FAMILIES: dict[str, Family] = {
    "calm": _calm,
    "resets": _resets,
    "spoilt": _spoilt,
    "churn": _churn,
    "lost": _lost,
    "stalls": _stalls,
    "restarts": _restarts,
    "misses": _misses,
}
