"""Draws combinations of faults that only reveal a defect when they overlap in time. Pure.

Faults drawn independently seldom fall within the few tenths of a second that such a defect needs, so each
combination places several related faults together. All draws come from a separate random stream, so that
the underlying random scenario of a seed does not change.
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
MAX_COMBINATIONS = 3
POLLED_LIST_FRACTION = 0.3  # of scenarios whose routers poll for the endpoint list
LIST_FAULT_EXTENSION_SECONDS = 9.0  # an update that a router misses counts as notified 6 s later
MAX_START_SECONDS = 1.5  # latest start of the first fault of a combination


def draw_fault_combinations(draws: random.Random, scenario: Scenario) -> tuple[dict[str, Any], Faults, float]:
    """Return overridden parts of the scenario table, additional faults, and seconds to extend the run by."""
    faults: Faults = []
    drawn = draws.sample(COMBINATIONS, draws.randint(1, MAX_COMBINATIONS))
    extension_seconds = (
        LIST_FAULT_EXTENSION_SECONDS
        if any(combination in LIST_COMBINATIONS for combination in drawn)
        else 0.0
    )
    end = scenario.length + extension_seconds
    for combination in drawn:
        faults += combination(draws, scenario, end)
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
    if draws.random() < POLLED_LIST_FRACTION:
        table["registry"] = {"asked": True, "rate": 20.0, "must_ask": draws.choice(["2 s", "10 s"])}
    return table, faults, extension_seconds


def _classes(draws: random.Random, scenario: Scenario) -> list[dict[str, Any]]:
    """The scenario's request classes; in half of the runs with other limits."""
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


def _drain_caches(draws: random.Random, scenario: Scenario, after: float, end: float) -> Faults:
    """Some caches start draining within 1.2 s after `after` and stay up until shortly before `end`."""
    names = cache_names(scenario)
    some = draws.sample(names, draws.randint(1, max(1, len(names) // 2)))
    times = [after + draws.uniform(0.0, 1.2) for _ in some]
    return [
        _fault(FaultKind.DRAIN, at, max(0.1, end - at - 0.6), whom=name)
        for name, at in zip(some, times, strict=True)
    ]


def _watches_silent(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """List watches go silent early, possibly twice or with a list move, and caches drain right after."""
    at = draws.uniform(0.0, MAX_START_SECONDS)
    faults = [_fault(FaultKind.WATCH_SILENT, at)]
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.WATCH_SILENT, at + draws.uniform(0.0, 4.0)))
    if draws.random() < 0.3:
        faults.append(_fault(FaultKind.LIST_MOVES, at + draws.uniform(0.0, 0.3)))
    return faults + _drain_caches(draws, scenario, at, end)


def _watches_reset(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, MAX_START_SECONDS)
    return [_fault(FaultKind.WATCH_RESET, at), *_drain_caches(draws, scenario, at, end)]


def _list_outage(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """The endpoint list is unavailable for a while, and caches drain within seconds."""
    at, lasts = draws.uniform(0.0, MAX_START_SECONDS), draws.uniform(0.3, 4.0)
    faults = [_fault(FaultKind.LIST_SILENT, at, lasts)]
    if draws.random() < 0.3:
        faults.append(_fault(FaultKind.LIST_MOVES, at + lasts + draws.uniform(-0.2, 0.5)))
    return faults + _drain_caches(draws, scenario, at + lasts * draws.choice([0.5, 1.0]), end)


def _router_restart_with_hung_caches(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at, name = draws.uniform(0.3, MAX_START_SECONDS), draws.choice(router_names(scenario))
    restart = _fault(FaultKind.ROUTER_RESTART, at, 2.5, whom=name, hard=draws.uniform(0.2, 0.4))
    names = cache_names(scenario)
    hung = draws.sample(names, draws.randint(1, max(1, len(names) // 2)))
    lasts = draws.uniform(0.5, 2.0)
    return [restart, *(_fault(FaultKind.HANG, at - draws.uniform(0.0, 0.3), lasts, whom=n) for n in hung)]


def _clients_disconnect(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """Clients disconnect in bursts while a cache hangs or the archive is slow."""
    at = draws.uniform(0.1, MAX_START_SECONDS)
    slow = _fault(FaultKind.ARCHIVE_SLOW, at, 2.0)
    hung = _fault(FaultKind.HANG, at, 1.0, whom=draws.choice(cache_names(scenario)))
    times = [at + draws.uniform(0.0, 1.5) for _ in range(draws.randint(1, 4))]
    bursts = [_fault(FaultKind.CLIENTS_LEAVE, t, hard=draws.choice([0.5, 1.0])) for t in times]
    return [draws.choice([slow, hung]), *bursts]


def _slow_connects(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, MAX_START_SECONDS)
    faults = [_fault(FaultKind.LATE_CONNECT, at, 2.0, whom="all", hard=draws.choice([0.3, 1.5]))]
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.RESTART, at, 0.2, whom=draws.choice(cache_names(scenario))))
    if draws.random() < 0.5:
        faults.append(_fault(FaultKind.CLIENTS_LEAVE, at + draws.uniform(0.1, 1.0)))
    return faults


def _faulty_replies(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    """Late resets, late second replies, lost replies, or replies without a length that end in a reset."""
    at, lasts, share = (
        draws.uniform(0.0, MAX_START_SECONDS),
        draws.uniform(0.5, 2.0),
        draws.choice([0.1, 0.5]),
    )
    kind = draws.choice(REPLY_KINDS)
    if kind is FaultKind.ARCHIVE_UNSIZED:
        return [_fault(kind, at, lasts, hard=share)]
    whom = draws.choice(
        [*cache_names(scenario), "all", "archive"][: 99 if kind in ARCHIVE_REPLY_KINDS else -1]
    )
    return [_fault(kind, at, lasts, whom=whom, hard=share)]


def _cache_replacement(draws: random.Random, scenario: Scenario, end: float) -> Faults:
    at = draws.uniform(0.0, MAX_START_SECONDS)
    return [_fault(FaultKind.REPLACE, at, draws.uniform(0.1, 1.0), whom=draws.choice(cache_names(scenario)))]


ARCHIVE_REPLY_KINDS = (FaultKind.LATE_RESET,)
REPLY_KINDS = (FaultKind.LATE_RESET, FaultKind.SECOND_ANSWER, FaultKind.ARCHIVE_UNSIZED, FaultKind.LOST)
Combination = Callable[[random.Random, Scenario, float], Faults]
LIST_COMBINATIONS: tuple[Combination, ...] = (_watches_silent, _watches_reset, _list_outage)
COMBINATIONS: tuple[Combination, ...] = (
    *LIST_COMBINATIONS,
    _router_restart_with_hung_caches,
    _clients_disconnect,
    _slow_connects,
    _faulty_replies,
    _cache_replacement,
)
