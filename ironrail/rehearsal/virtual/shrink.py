"""Shrinks a failing scenario one change at a time, keeping changes that preserve the failure. Pure.

Greedy delta debugging on scenarios (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing
Input", 2002): first halves of the faults, then single faults, then every field that has a simpler value.
Each step is one call of `fails`; MAX_RUNS bounds their number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from ironrail.rehearsal.faults.plan import make_plan
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import read_time, write_time

MAX_RUNS = 400  # calls of `fails` per failure
Table = dict[str, Any]
MIN_LENGTH_SECONDS = 1.0  # seconds
MIN_FAULT_SECONDS = 0.05  # seconds of a fault
SIZE_FIELDS = ("count", "rate", "keys")  # kept when defaults are restored: their defaults are larger
DEFAULT_FAULT_DURATION = "3 s"  # of a fault without `lasts`


def shrink(scenario: Scenario, fails: Callable[[Scenario], bool], max_runs: int = MAX_RUNS) -> Scenario:
    """The smallest scenario found for which `fails` holds; the given one if none is smaller."""
    table = scenario.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    runs, again = 0, True
    while again:
        again = False
        for candidate in _simplifications(table):
            if runs >= max_runs:
                return Scenario.model_validate(table)
            try:
                world = Scenario.model_validate(candidate)
                make_plan(world, 0)
            except ValueError:  # a fault starts after the new end, or its target no longer exists
                continue
            runs += 1
            if fails(world):
                table, again = candidate, True
                break
    return Scenario.model_validate(table)


def _simplifications(table: Table) -> Iterator[Table]:
    """Yield simpler scenarios, largest changes first."""
    if "cut" in table:
        yield {name: part for name, part in table.items() if name != "cut"}
    yield from _fewer_faults(table)
    yield from _shorter(table)
    yield from _with_lower_counts(table)
    yield from _with_defaults(table)


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
        long = read_time(fault.get("lasts", DEFAULT_FAULT_DURATION))
        for lasts in (0.1, long / 2):
            if lasts >= MIN_FAULT_SECONDS and long >= 2 * lasts:
                shorter = fault | {"lasts": write_time(lasts)}
                yield table | {"fault": [*faults[:i], shorter, *faults[i + 1 :]]}


def _shorter(table: Table) -> Iterator[Table]:
    length = read_time(table["length"])
    for shorter in (length / 2, length * 0.8, length - 0.5):
        if MIN_LENGTH_SECONDS <= shorter < length:
            yield table | {"length": write_time(shorter)}


def _with_lower_counts(table: Table) -> Iterator[Table]:
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


def _with_defaults(table: Table) -> Iterator[Table]:
    """Yield scenarios with a part or a field reset to its default."""
    for part in ("network", "clients", "registry", "archive", "caches", "load", "halls"):
        if part not in table:
            continue
        sizes = {name: value for name, value in table[part].items() if name in SIZE_FIELDS}
        if sizes != table[part]:
            yield table | {part: sizes}
            for field in table[part]:
                if field not in SIZE_FIELDS:
                    rest = {name: value for name, value in table[part].items() if name != field}
                    yield table | {part: rest}
