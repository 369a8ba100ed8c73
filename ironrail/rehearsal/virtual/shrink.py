"""A smaller world that still fails: one change at a time, kept where the failure stays. Pure.

Greedy delta debugging on the form of a scenario (Zeller and Hildebrandt, "Simplifying and Isolating
Failure-Inducing Input", 2002): halves of the faults first, then one by one, then everything that has a
simpler value. Each step asks `fails`, so that the number of runs is bounded by MOST_RUNS.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from ironrail.rehearsal.faults.plan import make_plan
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import read_time, write_time

MOST_RUNS = 400  # of `fails` for one failure
Table = dict[str, Any]
LEAST_LENGTH = 1.0  # seconds
LEAST_LASTS = 0.05  # seconds of a fault
SIZES = ("count", "rate", "keys")  # fields whose usual value is larger than what a world has
USUAL_LASTS = "3 s"  # of a fault that does not say


def shrink(scenario: Scenario, fails: Callable[[Scenario], bool], most: int = MOST_RUNS) -> Scenario:
    """The smallest world found on which `fails` still holds; the one given if none is smaller."""
    table = scenario.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    runs, again = 0, True
    while again:
        again = False
        for candidate in _smaller(table):
            if runs >= most:
                return Scenario.model_validate(table)
            try:
                world = Scenario.model_validate(candidate)
                make_plan(world, 0)
            except ValueError:  # a fault that begins after the new end, or hits whom there is no more
                continue
            runs += 1
            if fails(world):
                table, again = candidate, True
                break
    return Scenario.model_validate(table)


def _smaller(table: Table) -> Iterator[Table]:
    """Simpler worlds, the boldest first."""
    if "cut" in table:
        yield {name: part for name, part in table.items() if name != "cut"}
    yield from _fewer_faults(table)
    yield from _shorter(table)
    yield from _fewer(table)
    yield from _plainer(table)


def _fewer_faults(table: Table) -> Iterator[Table]:
    faults = table.get("fault", [])
    half = len(faults) // 2
    if half:
        yield table | {"fault": faults[:half]}
        yield table | {"fault": faults[half:]}
    for i in range(len(faults)):
        yield table | {"fault": faults[:i] + faults[i + 1 :]}
    for i, fault in enumerate(faults):
        name, _, number = fault.get("whom", "").rpartition("-")
        if name in ("cache", "router") and number != "1":
            yield table | {"fault": [*faults[:i], fault | {"whom": f"{name}-1"}, *faults[i + 1 :]]}
        at = read_time(fault["at"])
        if at > 0.1:
            yield table | {"fault": [*faults[:i], fault | {"at": write_time(at / 2)}, *faults[i + 1 :]]}
        long = read_time(fault.get("lasts", USUAL_LASTS))
        for lasts in (0.1, long / 2):
            if lasts >= LEAST_LASTS and long >= 2 * lasts:
                shorter = fault | {"lasts": write_time(lasts)}
                yield table | {"fault": [*faults[:i], shorter, *faults[i + 1 :]]}


def _shorter(table: Table) -> Iterator[Table]:
    length = read_time(table["length"])
    for shorter in (length / 2, length * 0.8, length - 0.5):
        if LEAST_LENGTH <= shorter < length:
            yield table | {"length": write_time(shorter)}


def _fewer(table: Table) -> Iterator[Table]:
    """Fewer routers, caches, requests, classes."""
    for part, field, least in (("routers", "count", 1), ("caches", "count", 1), ("load", "keys", 1)):
        value = table.get(part, {}).get(field)
        if value is not None and value > least:
            for fewer in sorted({least, value // 2, value - 1}):
                if least <= fewer < value:
                    yield table | {part: table[part] | {field: fewer}}
    rate = table.get("load", {}).get("rate")
    if rate is not None and rate > 2.0:
        yield table | {"load": table["load"] | {"rate": rate / 2}}
    classes = table.get("class", [])
    for i in range(len(classes)):
        if len(classes) > 1:
            yield table | {"class": classes[:i] + classes[i + 1 :]}


def _plainer(table: Table) -> Iterator[Table]:
    """A part or a field as usual."""
    for part in ("network", "clients", "registry", "archive", "caches", "load", "halls"):
        if part not in table:
            continue
        sizes = {name: value for name, value in table[part].items() if name in SIZES}
        if sizes != table[part]:
            yield table | {part: sizes}
            for field in table[part]:
                if field not in SIZES:
                    rest = {name: value for name, value in table[part].items() if name != field}
                    yield table | {part: rest}
