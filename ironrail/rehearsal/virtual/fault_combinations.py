"""Rare moments drawn on top of a world: what has to cross something else to show a fault. Pure.

Each is a handful of faults whose times hang together, as two that are drawn apart seldom meet within the
tenths of a second that it takes. All draws are of a stream of their own, so that the world beneath stays.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names
from ironrail.rehearsal.scenario.units import write_time

Faults = list[dict[str, Any]]
MOST_MOMENTS = 3
ASKED_SHARE = 0.3  # of worlds, in which the list has to be asked for
LONGER = 9.0  # seconds that a world goes on where what a router misses counts as told 6 s later
EARLY = 1.5  # seconds in which the first of the faults of a moment comes


def rare_moments(draws: random.Random, scenario: Scenario) -> tuple[dict[str, Any], Faults, float]:
    """Parts of the table that are other than drawn before, faults besides, and seconds to go on for."""
    faults: Faults = []
    drawn = draws.sample(MOMENTS, draws.randint(1, MOST_MOMENTS))
    longer = LONGER if any(moment in LISTS for moment in drawn) else 0.0
    end = scenario.length + longer
    for moment in drawn:
        faults += moment(draws, scenario, end)
    table: dict[str, Any] = {
        "clients": {
            "stay": draws.choice([0.0, 1.0]),
            "pipelined": draws.choice([0.0, 0.1, 0.8]),
            "leave": draws.choice([0.0, 0.3]),
        },
        "limits": {
            "may_cancel": draws.random() < 0.7,
            "second_copies": draws.random() < 0.7,
            "dial": draws.choice(["100 ms", "250 ms", "1 s"]),
        },
        "class": _classes(draws, scenario),
    }
    if draws.random() < ASKED_SHARE:
        table["registry"] = {"asked": True, "rate": 20.0, "must_ask": draws.choice(["2 s", "10 s"])}
    return table, faults, longer


def _classes(draws: random.Random, scenario: Scenario) -> list[dict[str, Any]]:
    """The same classes with other effects, shorter deadlines and windows, in half of the worlds."""
    rows = [kind.model_dump(mode="json", exclude_defaults=True) for kind in scenario.classes]
    if draws.random() < 0.5:
        return rows
    for row in rows:
        row["repeats"] = draws.choice(["safe", "keyed", "never"])
        row["window"] = draws.choice(["100 ms", "400 ms", "2 s"])
        row["give_up"] = draws.choice(["300 ms", "700 ms", "1600 ms"])
        row["wanted"] = draws.choice(["100 ms", "300 ms"])
    return rows


def _fault(kind: FaultKind, at: float, lasts: float = 0.1, **fields: Any) -> dict[str, Any]:
    return {"kind": kind.value, "at": write_time(at), "lasts": write_time(lasts), **fields}


def _drains(draws: random.Random, scenario: Scenario, after: float, end: float) -> Faults:
    """Caches begin to drain soon after that, and stay up to the end."""
    names = cache_names(scenario)
    some = draws.sample(names, draws.randint(1, max(1, len(names) // 2)))
    times = [after + draws.uniform(0.0, 1.2) for _ in some]
    return [
        _fault(FaultKind.DRAIN, at, max(0.1, end - at - 0.6), whom=name)
        for name, at in zip(some, times, strict=True)
    ]


def _watches_fall_silent(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """In the first seconds, perhaps twice or with a reload, and caches drain right after."""
    at = draws.uniform(0.0, EARLY)
    faults = [_fault(FaultKind.WATCH_SILENT, at)]
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.WATCH_SILENT, at + draws.uniform(0.0, 4.0)))
    if draws.random() < 0.3:
        faults.append(_fault(FaultKind.LIST_MOVES, at + draws.uniform(0.0, 0.3)))
    return faults + _drains(draws, scenario, at, end)


def _watches_are_reset(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, EARLY)
    return [_fault(FaultKind.WATCH_RESET, at), *_drains(draws, scenario, at, end)]


def _list_is_down(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """Discovery is down and back, and caches drain within seconds."""
    at, lasts = draws.uniform(0.0, EARLY), draws.uniform(0.3, 4.0)
    faults = [_fault(FaultKind.LIST_SILENT, at, lasts)]
    if draws.random() < 0.3:
        faults.append(_fault(FaultKind.LIST_MOVES, at + lasts + draws.uniform(-0.2, 0.5)))
    return faults + _drains(draws, scenario, at + lasts * draws.choice([0.5, 1.0]), end)


def _restart_while_caches_hang(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at, name = draws.uniform(0.3, EARLY), draws.choice(router_names(scenario))
    restart = _fault(FaultKind.ROUTER_RESTART, at, 2.5, whom=name, hard=draws.uniform(0.2, 0.4))
    names = cache_names(scenario)
    hung = draws.sample(names, draws.randint(1, max(1, len(names) // 2)))
    lasts = draws.uniform(0.5, 2.0)
    return [restart, *(_fault(FaultKind.HANG, at - draws.uniform(0.0, 0.3), lasts, whom=n) for n in hung)]


def _clients_leave(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """In bursts, while caches are slow to answer or the archive is."""
    at = draws.uniform(0.1, EARLY)
    slow = _fault(FaultKind.ARCHIVE_SLOW, at, 2.0)
    hung = _fault(FaultKind.HANG, at, 1.0, whom=draws.choice(cache_names(scenario)))
    times = [at + draws.uniform(0.0, 1.5) for _ in range(draws.randint(1, 4))]
    bursts = [_fault(FaultKind.CLIENTS_LEAVE, t, hard=draws.choice([0.5, 1.0])) for t in times]
    return [draws.choice([slow, hung]), *bursts]


def _connects_come_late(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, EARLY)
    faults = [_fault(FaultKind.LATE_CONNECT, at, 2.0, whom="all", hard=draws.choice([0.3, 1.5]))]
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.RESTART, at, 0.2, whom=draws.choice(cache_names(scenario))))
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.CLIENTS_LEAVE, at + draws.uniform(0.1, 1.0)))
    return faults


def _replies_end_oddly(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """Resets long after, surplus replies late, answers of no length that are reset."""
    at, lasts, share = draws.uniform(0.0, EARLY), draws.uniform(0.5, 2.0), draws.choice([0.1, 0.5])
    kind = draws.choice(ODD)
    if kind is FaultKind.ARCHIVE_UNSIZED:
        return [_fault(kind, at, lasts, hard=share)]
    whom = draws.choice([*cache_names(scenario), "all", "archive"][: 99 if kind in LATE else -1])
    return [_fault(kind, at, lasts, whom=whom, hard=share)]


def _machines_are_replaced(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, EARLY)
    return [_fault(FaultKind.REPLACE, at, draws.uniform(0.1, 1.0), whom=draws.choice(cache_names(scenario)))]


LATE = (FaultKind.LATE_RESET,)
ODD = (FaultKind.LATE_RESET, FaultKind.SECOND_ANSWER, FaultKind.ARCHIVE_UNSIZED, FaultKind.LOST)
Moment = Callable[[random.Random, Scenario, float], Faults]
LISTS: tuple[Moment, ...] = (_watches_fall_silent, _watches_are_reset, _list_is_down)
MOMENTS: tuple[Moment, ...] = (
    *LISTS,
    _restart_while_caches_hang,
    _clients_leave,
    _connects_come_late,
    _replies_end_oddly,
    _machines_are_replaced,
)
