"""Computes service as clients experience it: the worth answered in time over the worth requested. No I/O.

A client's retries are attributed to its first try, whose latency counts from the time at which it was
scheduled, however late it was sent: a router gains nothing by delaying its own load. Worth is proportional to
work, and requests of a title beyond its share are worth less. An answer after the deadline that the client
gave for the try earns nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ironrail.rehearsal.account.answers import Answers, count_answer_outcomes
from ironrail.rehearsal.account.record import Ended, Outcome, Record, Try
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.model import Repeats, Scenario

WINDOW_SECONDS = 5.0  # length of one window
MIN_WINDOW_FRACTION = 0.4  # of a last window that the run must cover for it to be judged
SHARE_BURST_SECONDS = 2.0  # of its share that a title may request at once
FLEET_CAPACITY_FACTOR = 1.25  # assumed capacity of the fleet, relative to the average load
MIN_JUDGED_FRACTION = 1 / 20  # of requests or worth: a class or title below it is too small for a verdict
ROUNDING_TOLERANCE = 1e-9  # relative error of a sum of worths; a part exactly at the limit is judged
HOLD_TOLERANCE_SECONDS = 0.12  # without an open attempt before a failure answer; no queue explains more
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass(slots=True)
class Tally:
    """The worth requested and answered, and how many first tries each outcome had."""

    asked: float = 0.0
    answered: float = 0.0
    first_tries: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    within: float = 0.0  # the part of `asked` that is inside the titles' shares
    judged: bool = False  # whether the bound on the worst class or title applies to it

    @property
    def share(self) -> float:
        """Return the fraction of the requested worth that was answered; 1 if none was requested."""
        return self.answered / self.asked if self.asked > 0 else 1.0


@dataclass(frozen=True, slots=True)
class Loss:
    """A first try that was not answered in time, and the worth that was lost by it."""

    planned: Planned
    worth: float


@dataclass(slots=True)
class Service:
    """The service of one run, in total and by class, title, zone and window."""

    whole: Tally = field(default_factory=Tally)
    classes: dict[str, Tally] = field(default_factory=dict)
    titles: dict[str, Tally] = field(default_factory=dict)
    zones: dict[str, Tally] = field(default_factory=dict)
    windows: dict[int, Tally] = field(default_factory=dict)
    latencies: dict[str, dict[float, float]] = field(default_factory=dict)  # seconds, by class and quantile
    outcomes: dict[str, int] = field(default_factory=dict)  # number of tries by outcome
    losses: list[Loss] = field(default_factory=list)
    retries: int = 0
    kept_back: int = 0
    answers: Answers = field(default_factory=Answers)

    def worst(self, part: dict[str, Tally]) -> tuple[str, float]:
        """Return the name and the share of the worst of the judged tallies."""
        name = min((n for n in part if part[n].judged), key=lambda n: part[n].share, default="")
        return name, part[name].share if name else 1.0

    def worst_window(self, length: float) -> tuple[int, float]:
        """Return the number and the share of the worst window.

        The last window counts if the run covers at least `MIN_WINDOW_FRACTION` of it.
        """
        whole = {
            n: t
            for n, t in self.windows.items()
            if (length - n * WINDOW_SECONDS) >= MIN_WINDOW_FRACTION * WINDOW_SECONDS
        }
        number = min(whole, key=lambda n: whole[n].share, default=0)
        return number, whole[number].share if whole else 1.0


class _TitleBudgets:
    """A token bucket for each title, filled at its share of the fleet's capacity."""

    def __init__(self, scenario: Scenario) -> None:
        whole = sum(title.share for title in scenario.titles)
        mean_work = sum(c.share * c.work for c in scenario.classes) / sum(c.share for c in scenario.classes)
        capacity = scenario.load.rate * mean_work * FLEET_CAPACITY_FACTOR
        self._rates = {t.name: t.share / whole * capacity for t in scenario.titles}
        self._left = {name: rate * SHARE_BURST_SECONDS for name, rate in self._rates.items()}
        self._at = dict.fromkeys(self._rates, 0.0)

    def within(self, planned: Planned) -> bool:
        name, rate = planned.title, self._rates[planned.title]
        filled = self._left[name] + (planned.at - self._at[name]) * rate
        self._left[name], self._at[name] = min(filled, rate * SHARE_BURST_SECONDS), planned.at
        if self._left[name] < planned.work:
            return False
        self._left[name] -= planned.work
        return True


def measure_service(record: Record, scenario: Scenario, schedule: list[Planned]) -> Service:
    """Compute the service of a run."""
    tries: defaultdict[int, list[Try]] = defaultdict(list)
    for one in record.tries.values():
        tries[one.planned.number].append(one)
    service, shares = Service(), _TitleBudgets(scenario)
    times: defaultdict[str, list[float]] = defaultdict(list)
    for planned in schedule:
        if planned.at < 0:
            continue
        tries_of_request = sorted(tries.get(planned.number, []), key=lambda t: t.number)
        took = _served_after(planned, tries_of_request)
        if took is not None:
            times[planned.kind].append(took)
        _count(service, scenario, planned, took, shares.within(planned))
        service.retries += max(0, len(tries_of_request) - 1)
        for one in tries_of_request:
            service.outcomes[str(one.outcome)] = service.outcomes.get(str(one.outcome), 0) + 1
            service.kept_back += _is_held_back(one, scenario)
    service.latencies = {kind: quantiles(values) for kind, values in times.items()}
    service.answers = count_answer_outcomes(record)
    _choose_judged(service, scenario)
    return service


def _choose_judged(service: Service, scenario: Scenario) -> None:
    """Mark the tallies to judge.

    These are classes that are large enough or may not simply be repeated, and titles that are large enough
    inside the shares.
    """
    whole = service.whole
    for name, tally in service.classes.items():
        careful = scenario.class_of(name).repeats is not Repeats.SAFE
        many = _is_large_enough(tally.first_tries, whole.first_tries) or _is_large_enough(
            tally.asked, whole.asked
        )
        tally.judged = careful or many
    for tally in service.titles.values():
        tally.judged = _is_large_enough(tally.within, whole.within)


def _is_large_enough(some: float, whole: float) -> bool:
    return some >= whole * MIN_JUDGED_FRACTION * (1 - ROUNDING_TOLERANCE)


def quantiles(values: list[float]) -> dict[float, float]:
    """Return the nearest-rank quantiles of values; none if there are no values."""
    ordered = sorted(values)
    return {q: ordered[max(0, math.ceil(q * len(ordered)) - 1)] for q in QUANTILES} if ordered else {}


def _served_after(planned: Planned, tries_of_request: list[Try]) -> float | None:
    served = [
        t.answers[0].at
        for t in tries_of_request
        if t.outcome is Outcome.SERVED and t.answers and t.answers[0].at <= t.due
    ]
    return min(served) - planned.at if served else None


def _count(service: Service, scenario: Scenario, planned: Planned, took: float | None, within: bool) -> None:
    kind = scenario.class_of(planned.kind)
    worth = kind.worth * planned.work / kind.work * (1.0 if within else scenario.load.over_share_worth)
    in_time = took is not None and took <= kind.wanted
    late = took is not None and kind.wanted < took <= kind.give_up
    gained = worth if in_time else worth * kind.late_worth if late else 0.0
    parts = (
        service.whole,
        service.classes.setdefault(planned.kind, Tally()),
        service.titles.setdefault(planned.title, Tally()),
        service.zones.setdefault(planned.hall, Tally()),
        service.windows.setdefault(int(planned.at // WINDOW_SECONDS), Tally()),
    )
    if gained < worth:
        service.losses.append(Loss(planned, worth - gained))
    for tally in parts:
        tally.asked += worth
        tally.within += worth if within else 0.0
        tally.answered += gained
        tally.first_tries += 1
        tally.in_time += in_time
        tally.late += late
        tally.unserved += not (in_time or late)


def _is_held_back(one: Try, scenario: Scenario) -> bool:
    """Return whether a failure answer was held back without reason.

    It was if it came after an answer would have been useful and no attempt was open meanwhile.
    """
    if one.outcome not in (Outcome.REFUSED, Outcome.FAILED) or not one.answers or one.excuse:
        return False
    at = one.answers[0].at
    if any(a.ended_at is None or a.ended is Ended.LEFT for a in one.attempts):
        return False
    useful = min(one.sent_at + scenario.class_of(one.planned.kind).wanted, one.due - scenario.tick)
    last = max((a.ended_at for a in one.attempts if a.ended_at is not None), default=one.sent_at)
    return at > max(useful, last) + HOLD_TOLERANCE_SECONDS
