"""Fleets at size and what goes wrong in them, drawn from a seed. Pure.

A world is an ordinary scenario: written down it can be edited and played again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import write_time

WORK = 0.11  # seconds of one core, of a usual read
EACH = 13.0  # first tries a second that each router takes
LOAD = 0.55  # of what the fleet can do
CALLS_EACH = 0.065  # a second and router that the list's service works through: 2.6 for 40, as measured
IDLE = "3 s"  # after which caches close a connection, sooner than they tell: a router meets each seldom
KEYS_EACH = 8  # keys for each cache: each part of the fleet has all of them after the warm-up
WARM_UP = "6 s"
QUIET = 2.0  # seconds at the begin without a fault
KILLED = 0.7  # of all routers, in a release
REPLACED, REPLACED_IN = 0.6, 7.0  # of all caches, and the seconds in which they are
STARTED_ANEW = 0.4  # of all routers, while caches are replaced
TENTHS = 10  # steps in which all routers are restarted
ROLLING = 5.0  # seconds from the first of them to the last
ROUTER_PATIENCE = 4.7  # seconds from SIGTERM to SIGKILL: the longest deadline here and 0.7 s more
STEPS = 5  # in which half of the caches are replaced meanwhile
DRAINED = 2.4  # seconds that one drains: the news of it is 1.5 s late at most, and may take effect 1 s later
CUT_FOR = 6.0  # seconds that a hall is cut off
LIST_LATE = 2.0  # seconds that lists come later meanwhile
LOST, BROKEN = 0.01, 0.02  # of the answers of some caches that get lost, or end as a reset
BAD, FAILS = 0.2, 0.15  # of all caches, and of their answers that are errors
SPOILT = 0.25  # of the list's answers
HUNG = 1 / 20  # of all caches, while routers restart
TOLD = 0.2, 0.4  # seconds after SIGTERM for which new clients still come
PIPELINED, LEFT = 0.05, 0.03  # of tries: written behind one that waits; left before their time is up
LIST_DOWN, DOWN_BEFORE = 8.0, 2.0  # seconds that the list is out of reach, of these before a release begins
HERD_STEPS = 4.6  # seconds from the first step of that release to the last
ODD = 1 / 8  # of all caches that give errors or lose answers
LATE = 0.2  # of all caches, whose connections come up late
SECOND, SECOND_HARD = 0.2, 0.3  # of all caches, and of the connections to them: with second answers
# added to `join`: kind, seconds of its begin, seconds that it lasts
JOIN_TOO: tuple[tuple[str, float, float], ...] = (("watch-silent", 4.0, 4.0),)  # all open ones, once

Table = dict[str, Any]
Trouble = Callable[[random.Random, int, int], list[Table]]


def fleet_world(trouble: str, seed: int, routers: int, caches: int, length: float) -> Scenario:
    """The world of a seed; KeyError for a trouble that there is not."""
    rate = EACH * routers
    table: Table = {
        "summary": f"{trouble}: {routers} routers before {caches} caches, drawn from seed {seed}",
        "length": write_time(length),
        "warm_up": WARM_UP,
        "load": {"rate": rate, "keys": KEYS_EACH * caches},
        "routers": {"count": routers},
        "caches": {
            "count": caches,
            "cores": max(1, round(rate * WORK / LOAD / caches)),
            "idle": IDLE,
            "idle_told": "60 s",
        },
        "archive": {"concurrency": max(4, round(rate * 0.04))},
        "registry": {"asked": True, "rate": CALLS_EACH * routers},
        "fault": TROUBLES[trouble](stream(seed, f"fleet.{trouble}"), routers, caches),
        **({"clients": CLIENTS[trouble]} if trouble in CLIENTS else {}),
    }
    return Scenario.model_validate(table)


def _spell(kind: str, whom: str, at: float, lasts: float, **fields: Any) -> Table:
    return {"kind": kind, "whom": whom, "at": write_time(at), "lasts": write_time(lasts), **fields}


def _calm(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """Nothing goes wrong."""
    return []


def _release(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """Most routers are killed at once, and the list's service is crowded when they start again."""
    at = QUIET + draws.uniform(0.0, 1.0)
    whom = f"{max(1, round(KILLED * routers))} routers"
    down = draws.uniform(0.5, 1.5)
    return [
        _spell("router-kill", whom, at, down),
        _spell("list-crowded", "", at, 6.0, hard=draws.uniform(1.5, 3.0)),
    ]


def _hall(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A hall is lost, says nothing, and returns with every cache cold."""
    hall = draws.choice(["hall-a", "hall-b", "hall-c"])
    return [_spell("vanish", hall, QUIET + draws.uniform(0.0, 1.0), draws.uniform(3.0, 5.0))]


def _replaced(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """Six in ten caches are replaced within seconds, some of the rest are bad, and routers start anew."""
    order = draws.sample(range(1, caches + 1), caches)
    gone, rest = order[: round(REPLACED * caches)], order[round(REPLACED * caches) :]
    faults = [
        _spell("replace", f"cache-{n}", QUIET + REPLACED_IN * i / len(gone), draws.uniform(0.3, 1.0))
        for i, n in enumerate(gone)
    ]
    faults += [
        _spell("errors", f"cache-{n}", QUIET, REPLACED_IN, hard=FAILS)
        for n in rest[: max(1, round(BAD * len(rest)))]
    ]
    whom = f"{max(1, round(STARTED_ANEW * routers))} routers"
    return [*faults, _spell("router-kill", whom, QUIET + draws.uniform(1.0, 4.0), draws.uniform(0.3, 1.0))]


def _roll(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """All routers restart a tenth at a time, half of the caches are replaced, some hang, the list moves."""
    order = draws.sample(range(1, routers + 1), routers)
    faults = [
        _spell(
            "router-restart",
            f"router-{n}",
            QUIET + ROLLING * (i * TENTHS // routers) / (TENTHS - 1),
            ROUTER_PATIENCE,
        )
        for i, n in enumerate(order)
    ]
    half = draws.sample(range(1, caches + 1), caches // 2)
    faults += _in_steps(draws, half, QUIET, ROLLING - DRAINED)
    faults.append(_spell("list-moves", "", QUIET + draws.uniform(1.0, ROLLING - 1.0), 0.1))
    rest = [n for n in range(1, caches + 1) if n not in half]
    for n in draws.sample(rest, max(1, round(HUNG * caches))):
        at, lasts = QUIET + draws.uniform(0.0, 2.0), draws.uniform(3.0, 6.0)
        faults.append(_spell("hang", f"cache-{n}", at, lasts))
    for fault in faults[:routers]:
        fault["hard"] = draws.uniform(*TOLD)
    return faults


def _in_steps(draws: random.Random, caches: list[int], at: float, lasts: float) -> list[Table]:
    """A release of caches: they drain and are replaced in steps, over so many seconds."""
    faults = []
    for i, n in enumerate(caches):
        step = at + lasts * (i * STEPS // len(caches)) / (STEPS - 1)
        faults.append(_spell("drain", f"cache-{n}", step, DRAINED))
        faults.append(_spell("replace", f"cache-{n}", step + DRAINED - 0.1, draws.uniform(0.3, 1.0)))
    return faults


def _split(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A hall is cut off, lists come late, and meanwhile answers get lost and connections are reset."""
    at = QUIET + draws.uniform(0.0, 1.0)
    bad = draws.sample(range(1, caches + 1), max(1, round(BAD * caches)))
    gone = draws.sample(range(1, caches + 1), max(1, caches // 10))
    return [
        _spell("hall-cut", draws.choice(["hall-a", "hall-b", "hall-c"]), at, CUT_FOR),
        _spell("list-late", "", at, CUT_FOR, hard=LIST_LATE),
        *(_spell("lost", f"cache-{n}", at, CUT_FOR, hard=LOST) for n in bad),
        *(_spell("reset", f"cache-{n}", at, CUT_FOR, hard=BROKEN) for n in bad),
        *(_spell("replace", f"cache-{n}", at + draws.uniform(0.0, 4.0), 0.5) for n in gone),
    ]


def _list(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """The list's service is crowded and some of its answers are spoilt, while a few caches are replaced."""
    faults = [
        _spell("list-crowded", "", 0.0, 5.0, hard=draws.uniform(1.5, 3.0)),
        _spell("list-cut", "", 0.0, 8.0, hard=SPOILT),
        _spell("list-spoilt", "", 0.0, 8.0, hard=SPOILT),
    ]
    few = draws.sample(range(1, caches + 1), max(1, caches // 6))
    return faults + [_spell("replace", f"cache-{n}", QUIET + draws.uniform(0.0, 4.0), 0.5) for n in few]


def _all(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """A hall is lost and returns cold, a release follows, and the list's answers are spoilt meanwhile."""
    hall = _hall(draws, routers, caches)
    back = QUIET + draws.uniform(1.0, 2.5)
    whom = f"{max(1, round(KILLED * routers))} routers"
    release = _spell("router-kill", whom, back, draws.uniform(0.5, 1.5))
    return [*hall, release, _spell("list-cut", "", 0.0, 8.0, hard=SPOILT)]


def _herd(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """The list is out of reach while a release begins, most routers are killed, and some caches are bad."""
    order = draws.sample(range(1, caches + 1), caches)
    half, rest = order[: caches // 2], order[caches // 2 :]
    odd = rest[: max(1, round(ODD * caches))]
    whom = f"{max(1, round(KILLED * routers))} routers"
    return [
        _spell("list-silent", "", QUIET, LIST_DOWN),
        _spell("router-kill", whom, QUIET + draws.uniform(0.5, 1.5), draws.uniform(0.5, 1.5)),
        *_in_steps(draws, half, QUIET + DOWN_BEFORE, HERD_STEPS),
        *(
            _spell("errors", f"cache-{n}", QUIET, LIST_DOWN, hard=FAILS)
            if draws.random() < 0.5
            else _spell("lost", f"cache-{n}", QUIET, LIST_DOWN, hard=LOST)
            for n in odd
        ),
    ]


def _join(draws: random.Random, routers: int, caches: int) -> list[Table]:
    """Six in ten caches are replaced, connections come up late, and some answer a command twice."""
    numbers = range(1, caches + 1)
    gone = draws.sample(numbers, round(REPLACED * caches))
    faults = [
        _spell("replace", f"cache-{n}", QUIET + REPLACED_IN * i / len(gone), draws.uniform(0.3, 1.0))
        for i, n in enumerate(gone)
    ]
    late = draws.sample(numbers, max(1, round(LATE * caches)))
    twice = draws.sample(numbers, max(1, round(SECOND * caches)))
    faults += [_spell("late-connect", f"cache-{n}", QUIET, REPLACED_IN) for n in late]
    faults += [_spell("second-answer", f"cache-{n}", QUIET, REPLACED_IN, hard=SECOND_HARD) for n in twice]
    return faults + [_spell(kind, "", at, lasts) for kind, at, lasts in JOIN_TOO]


TROUBLES: dict[str, Trouble] = {
    "calm": _calm,
    "release": _release,
    "hall": _hall,
    "replaced": _replaced,
    "list": _list,
    "roll": _roll,
    "split": _split,
    "all": _all,
    "herd": _herd,
    "join": _join,
}
CLIENTS: dict[str, Table] = {  # where they differ from the usual ones
    "roll": {"stay": 1.0, "pipelined": PIPELINED},
    "join": {"leave": LEFT},
}
