"""Service as the users count it: worth answered in time over worth asked for. Pure.

A client's retries are folded into its first try, whose time counts from when it was due to be sent, however
late that happened: a router that holds up its own load gains nothing. Worth is counted for each unit of
work, and what a title asks for beyond its share is worth less. An answer after the time of its try, as the
client had named it, earns nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ironrail.rehearsal.account.answers import Answers, count_answers
from ironrail.rehearsal.account.record import Ended, Outcome, Record, Try
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.model import Repeats, Scenario

WINDOW = 5.0  # seconds of one window
LEAST_WINDOW = 0.4  # of a window that must be there for it to count as one
SHARE_BURST = 2.0  # seconds of its share that a title may ask for at once
SHARE_ROOM = 1.25  # of the usual rate: what the fleet is taken to be able to do
JUDGED_PART = 1 / 20  # of the requests or of the worth: below it a class or title is too few for a verdict
ROUNDING = 1e-9  # of a sum of worths, by which it may be off: a part at the border is judged
KEPT_BACK = 0.12  # seconds without an attempt out, before an answer that gives up, that no queue explains
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass(slots=True)
class Tally:
    """Worth asked for and answered."""

    asked: float = 0.0
    answered: float = 0.0
    first_tries: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    within: float = 0.0  # of what was asked for: inside the titles' shares
    judged: bool = False  # by the bound of the worst of its kind

    @property
    def share(self) -> float:
        """Of what was asked for; 1 where nothing was."""
        return self.answered / self.asked if self.asked > 0 else 1.0


@dataclass(frozen=True, slots=True)
class Loss:
    """A first try that was not answered in time, and the worth that this cost."""

    planned: Planned
    worth: float


@dataclass(slots=True)
class Service:
    """One run's service, whole and in parts."""

    whole: Tally = field(default_factory=Tally)
    classes: dict[str, Tally] = field(default_factory=dict)
    titles: dict[str, Tally] = field(default_factory=dict)
    halls: dict[str, Tally] = field(default_factory=dict)
    windows: dict[int, Tally] = field(default_factory=dict)
    latencies: dict[str, dict[float, float]] = field(default_factory=dict)  # seconds, by class and quantile
    outcomes: dict[str, int] = field(default_factory=dict)  # of tries
    losses: list[Loss] = field(default_factory=list)
    retries: int = 0
    kept_back: int = 0
    answers: Answers = field(default_factory=Answers)

    def worst(self, part: dict[str, Tally]) -> tuple[str, float]:
        """The name and the share of the worst of those that are judged."""
        name = min((n for n in part if part[n].judged), key=lambda n: part[n].share, default="")
        return name, part[name].share if name else 1.0

    def worst_window(self, length: float) -> tuple[int, float]:
        """The number and the share of the worst window; one cut short by the end counts if most is there."""
        whole = {n: t for n, t in self.windows.items() if (length - n * WINDOW) >= LEAST_WINDOW * WINDOW}
        number = min(whole, key=lambda n: whole[n].share, default=0)
        return number, whole[number].share if whole else 1.0


class _Shares:
    """A bucket for each title, filled at its share of what the fleet can do."""

    def __init__(self, scenario: Scenario) -> None:
        whole = sum(title.share for title in scenario.titles)
        usual = sum(c.share * c.work for c in scenario.classes) / sum(c.share for c in scenario.classes)
        room = scenario.load.rate * usual * SHARE_ROOM
        self._rates = {t.name: t.share / whole * room for t in scenario.titles}
        self._left = {name: rate * SHARE_BURST for name, rate in self._rates.items()}
        self._at = dict.fromkeys(self._rates, 0.0)

    def within(self, planned: Planned) -> bool:
        name, rate = planned.title, self._rates[planned.title]
        filled = self._left[name] + (planned.at - self._at[name]) * rate
        self._left[name], self._at[name] = min(filled, rate * SHARE_BURST), planned.at
        if self._left[name] < planned.work:
            return False
        self._left[name] -= planned.work
        return True


def account(record: Record, scenario: Scenario, schedule: list[Planned]) -> Service:
    """The service of a run."""
    tries: defaultdict[int, list[Try]] = defaultdict(list)
    for one in record.tries.values():
        tries[one.planned.number].append(one)
    service, shares = Service(), _Shares(scenario)
    times: defaultdict[str, list[float]] = defaultdict(list)
    for planned in schedule:
        if planned.at < 0:
            continue
        mine = sorted(tries.get(planned.number, []), key=lambda t: t.number)
        took = _served_after(planned, mine)
        if took is not None:
            times[planned.kind].append(took)
        _count(service, scenario, planned, took, shares.within(planned))
        service.retries += max(0, len(mine) - 1)
        for one in mine:
            service.outcomes[str(one.outcome)] = service.outcomes.get(str(one.outcome), 0) + 1
            service.kept_back += _kept_back(one, scenario)
    service.latencies = {kind: quantiles(values) for kind, values in times.items()}
    service.answers = count_answers(record)
    _choose_judged(service, scenario)
    return service


def _choose_judged(service: Service, scenario: Scenario) -> None:
    """Classes of some size and all that may not simply be repeated; titles of some size inside the shares."""
    whole = service.whole
    for name, tally in service.classes.items():
        careful = scenario.class_of(name).repeats is not Repeats.SAFE
        many = _is_part(tally.first_tries, whole.first_tries) or _is_part(tally.asked, whole.asked)
        tally.judged = careful or many
    for tally in service.titles.values():
        tally.judged = _is_part(tally.within, whole.within)


def _is_part(some: float, whole: float) -> bool:
    return some >= whole * JUDGED_PART * (1 - ROUNDING)


def quantiles(values: list[float]) -> dict[float, float]:
    """The nearest-rank quantiles of values that there are."""
    ordered = sorted(values)
    return {q: ordered[max(0, math.ceil(q * len(ordered)) - 1)] for q in QUANTILES} if ordered else {}


def _served_after(planned: Planned, mine: list[Try]) -> float | None:
    served = [
        t.answers[0].at
        for t in mine
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
        service.halls.setdefault(planned.hall, Tally()),
        service.windows.setdefault(int(planned.at // WINDOW), Tally()),
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


def _kept_back(one: Try, scenario: Scenario) -> bool:
    """Whether it had been given up, and the answer was held: past its time of use, with nothing out."""
    if one.outcome not in (Outcome.REFUSED, Outcome.FAILED) or not one.answers or one.excuse:
        return False
    at = one.answers[0].at
    if any(a.ended_at is None or a.ended is Ended.LEFT for a in one.attempts):
        return False
    useful = min(one.sent_at + scenario.class_of(one.planned.kind).wanted, one.due - scenario.tick)
    last = max((a.ended_at for a in one.attempts if a.ended_at is not None), default=one.sent_at)
    return at > max(useful, last) + KEPT_BACK
