"""Compares the measurements of a run with the scenario's bounds. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ironrail.rehearsal.account.record import Record, RouterFacts
from ironrail.rehearsal.account.rules import RULES, Violation
from ironrail.rehearsal.account.service import Service
from ironrail.rehearsal.scenario.model import Scenario


@dataclass(frozen=True, slots=True)
class Verdict:
    """One bound and the measured value."""

    name: str
    kept: bool
    bound: float
    measured: float
    at_least: bool = False  # whether the bound is a minimum; otherwise it is a maximum
    note: str = ""


def judge(
    scenario: Scenario, service: Service, record: Record, broken: list[Violation], connections: float
) -> list[Verdict]:
    """Return all verdicts of a run, rules first.

    Args:
        scenario: Holds the bounds.
        service: The service of the run.
        record: What the stand-ins observed.
        broken: The violations of rules.
        connections: Mean number of connections to one cache from all routers.
    """
    counts = Counter(violation.rule for violation in broken)
    verdicts = [Verdict(f"rule {r}", not counts[r], 0, counts[r], note=text) for r, text in RULES.items()]
    verdicts += _routers(scenario, record.routers)
    verdicts += _service(scenario, service, record)
    if (most := scenario.bounds.connections) is not None:
        verdicts.append(Verdict("connections to a cache", connections <= most, most, connections))
    return verdicts


def _least(name: str, bound: float | None, measured: float, note: str = "") -> Iterator[Verdict]:
    if bound is not None:
        yield Verdict(name, measured >= bound, bound, measured, True, note)


def _service(scenario: Scenario, service: Service, record: Record) -> Iterator[Verdict]:
    bounds = scenario.bounds
    window, in_window = service.worst_window(scenario.length)
    by_class, by_title = service.worst(service.classes), service.worst(service.titles)
    yield from _least("service", bounds.service, service.whole.share)
    yield from _least("worst window", bounds.worst_window, in_window, f"from {window * 5} s")
    yield from _least("worst class", bounds.worst_class, by_class[1], by_class[0])
    yield from _least("worst title", bounds.worst_title, by_title[1], by_title[0])
    if bounds.archive_fetches is not None:
        fetches = sum(at >= 0 for at in record.archive_fetches) / max(1, service.whole.first_tries)
        yield Verdict("archive fetches", fetches <= bounds.archive_fetches, bounds.archive_fetches, fetches)
    yield Verdict(
        "answers kept back", service.kept_back <= bounds.kept_back, bounds.kept_back, service.kept_back
    )
    # a router could always give a retry time, whatever its settings
    untimed = service.answers.untimed
    yield Verdict("refusals that name no time", untimed <= bounds.untimed, bounds.untimed, untimed)


def _routers(scenario: Scenario, routers: dict[str, RouterFacts]) -> Iterator[Verdict]:
    bounds, conf = scenario.bounds, scenario.routers
    unready = [name for name, facts in routers.items() if not facts.ready]
    crashed = [f"{name}: {facts.crashed}" for name, facts in routers.items() if facts.crashed]
    yield Verdict("routers never ready", not unready, 0, len(unready), note=", ".join(unready))
    yield Verdict("routers crashed", not crashed, 0, len(crashed), note=", ".join(crashed))
    stops = [
        (facts.stopped_in if facts.stopped_in is not None else float("inf"), name)
        for name, facts in routers.items()
        if facts.ready and not facts.crashed
    ]
    slowest, who = max(stops, default=(0.0, ""))
    yield Verdict("seconds to stop", slowest <= bounds.stop, bounds.stop, slowest, note=who)
    memory = max((facts.memory for facts in routers.values()), default=0)
    yield Verdict(
        "memory of a router", memory <= (bounds.memory or conf.memory), bounds.memory or conf.memory, memory
    )
    most = bounds.descriptors or conf.descriptors
    descriptors = max((facts.descriptors for facts in routers.values()), default=0)
    yield Verdict("descriptors of a router", descriptors <= most, most, descriptors)
    log = max((facts.log_bytes for facts in routers.values()), default=0)
    yield Verdict("log of a router", log <= bounds.log, bounds.log, log)
