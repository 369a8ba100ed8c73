"""The requests of a run, drawn ahead: who asks for what, when, and through which hall. Pure.

Each property has a stream of its own and takes the same number of draws for each request, so that a fault
added to the plan, or another mix of classes, moves nothing else.
"""

from __future__ import annotations

import hashlib
import math
import random
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import accumulate

from ironrail.rehearsal.draws import stream, token
from ironrail.rehearsal.load.arrivals import arrivals
from ironrail.rehearsal.load.popularity import Popularity
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.scenario.model import Halls, Load, RequestClass, Scenario

HINT_SPREAD = 0.3  # standard deviation of a hint, as a share of the work: clients know it roughly
LEAST_WORK = 0.05  # of the usual: no request costs nothing
MOST_WORK = 8.0  # times the usual: a tail longer than that is another class
LARGEST_VALUE = 64 * 1024  # bytes, as the protocol has it
HOT_SHARE = 0.15  # of traffic, where a fault does not say
HOT_NUMBER = 2  # keys that draw it


@dataclass(frozen=True, slots=True)
class Planned:
    """A first try. Retries follow from what becomes of it."""

    number: int
    at: float  # seconds from the start of the load that counts; below 0 in the warm-up
    kind: str  # of its class
    title: str
    key: str
    work: float  # seconds of one core
    hint: float  # what its client thinks of that
    size: int  # bytes of its value
    hall: str
    idempotency: str  # empty where the class has none
    own_connection: bool  # it comes on a connection of its own, which then stays

    def line(self) -> str:
        """One line of text that holds all of it."""
        return (
            f"{self.number} {self.at:.6f} {self.kind} {self.title} {self.key} {self.work:.6f} {self.hint:.6f}"
            f" {self.size} {self.hall} {self.idempotency or '-'} {int(self.own_connection)}"
        )


def digest(plan: Iterable[Planned]) -> str:
    """Names a schedule: two that are equal byte for byte have the same."""
    text = hashlib.sha256()
    for planned in plan:
        text.update(planned.line().encode() + b"\n")
    return text.hexdigest()[:16]


def make_schedule(scenario: Scenario, seed: int) -> list[Planned]:
    """All first tries of a run, in order of time."""
    return _Maker(scenario, seed).make()


def _pick(names: Sequence[str], weights: Iterable[float], draw: float) -> str:
    """The name on which a draw from [0, 1) falls."""
    sums = list(accumulate(weights))
    return names[min(bisect_right(sums, draw * sums[-1]), len(names) - 1)]


def draw_work(kind: RequestClass, draws: random.Random) -> float:
    """Lognormal with the mean and the spread of the class."""
    sigma = math.sqrt(math.log(1 + kind.spread**2))
    drawn = math.exp(draws.gauss(-(sigma**2) / 2, sigma))
    return kind.work * max(LEAST_WORK, min(MOST_WORK, drawn))


def draw_hint(work: float, draws: random.Random) -> float:
    """What its client thinks of the work."""
    return work * math.exp(draws.gauss(0.0, HINT_SPREAD))


def draw_size(load: Load, draws: random.Random) -> int:
    """Bytes of a value."""
    return int(load.value * math.exp(draws.gauss(0.0, 0.5)))


def draw_hall(halls: Halls, draws: random.Random) -> str:
    """The traffic of halls is even, but for the skew that the first has of the last."""
    weights = [1.0] * len(halls.names)
    if len(halls.names) > 1:
        weights[0], weights[-1] = 1 + halls.skew, 1 - halls.skew
    return _pick(halls.names, weights, draws.random())


class _Maker:
    """Draws one schedule."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario, self._seed = scenario, seed
        names = ["arrivals", "kinds", "titles", "keys", "work", "hints", "sizes", "halls", "own"]
        self._draws = {name: stream(seed, f"load.{name}") for name in names}
        self._popularity = Popularity(scenario.load.keys, scenario.load.popularity)
        self._hot = [f for f in scenario.faults if f.kind is FaultKind.HOT_KEYS]
        self._hot_draws = [stream(seed, f"load.hot-keys.{i}") for i, _ in enumerate(self._hot)]

    def make(self) -> list[Planned]:
        scenario = self._scenario
        whole = scenario.warm_up + scenario.length
        times = arrivals(scenario.load, whole, self._draws["arrivals"])
        return [self._one(number, at - scenario.warm_up) for number, at in enumerate(times)]

    def _one(self, number: int, at: float) -> Planned:
        scenario, draws = self._scenario, self._draws
        kinds, titles = scenario.classes, scenario.titles
        kind = scenario.class_of(
            _pick([c.name for c in kinds], [c.share for c in kinds], draws["kinds"].random())
        )
        title = _pick([t.name for t in titles], [t.share * t.usage for t in titles], draws["titles"].random())
        work = draw_work(kind, draws["work"])
        hint = draw_hint(work, draws["hints"])
        size = draw_size(scenario.load, draws["sizes"])
        keyed = kind.repeats == "keyed"
        return Planned(
            number,
            round(at, 6),
            kind.name,
            title,
            self._key(at),
            round(work, 6),
            round(hint, 6),
            max(1, min(size, LARGEST_VALUE)),
            draw_hall(scenario.halls, draws["halls"]),
            token(self._seed, f"key.{number}") if keyed else "",
            draws["own"].random() < scenario.clients.new_connections,
        )

    def _key(self, at: float) -> str:
        key = self._popularity.key(self._draws["keys"].random())
        for fault, draws in zip(self._hot, self._hot_draws, strict=True):
            hot, which = draws.random(), draws.random()  # drawn whether or not the fault is on
            if fault.at <= at < fault.at + fault.lasts and hot < (fault.hard or HOT_SHARE):
                return f"hot-{self._hot.index(fault)}-{int(which * HOT_NUMBER)}"
        return f"grid-{key}"


def hot_router_share(fault: Fault) -> float:
    """Of all traffic, what a hot router carries besides its own."""
    return min(1.0, fault.hard or HOT_SHARE)
