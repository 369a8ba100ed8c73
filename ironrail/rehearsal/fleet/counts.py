"""What all routers of a fleet did together, and the bounds of that. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import ListCallOutcome, Outcome, Record
from ironrail.rehearsal.losses.tap import Decided
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.verdicts import Verdict

PEAK = 1.0  # seconds of the window in which calls for the list are counted
# of all routers, so many calls within it at the most: calls in step wear out a service with places for few
PEAK_SHARE, PEAK_LEAST = 0.5, 10  # where they are few they may all ask at once
COLD_MOST = 1.0  # of what a cold cache bears, from routers that were told of its start
ATTEMPTS_MOST = 2.6  # for each first try: three attempts and a retry each would be six
UNKNOWN = "no reason in the module's books"


@dataclass(slots=True)
class Counts:
    """One run, over the whole fleet."""

    first_tries: int = 0
    attempts: int = 0
    tries: int = 0
    connections_made: int = 0
    connections_refused: int = 0  # by a full table
    connections_most: int = 0  # at one cache at once
    open_mean: float = 0.0  # at all caches
    list_calls: Counter[str] = field(default_factory=Counter)  # by how they ended
    list_peak: int = 0  # calls that waited for a turn and ended within any second
    list_most: int = 0  # of one router
    listed: int = 0  # routers that were told at least once
    cold_starts: int = 0
    cold_most: float = 0.0  # of what a cold cache bears, the largest part that one was sent
    cold_whom: str = ""
    cold_fallen: int = 0  # pushed over, by whomever
    given_up: Counter[str] = field(default_factory=Counter)  # refusals and failures by cause

    def attempts_each(self) -> float:
        """Attempts for each first try."""
        return self.attempts / max(1, self.first_tries)


def count(record: Record, decided: Mapping[str, Decided], open_mean: float) -> Counts:
    """All of a run; `open_mean` connections at all caches, over time."""
    counts = Counts(
        connections_made=record.handshakes,
        connections_refused=record.crowded,
        connections_most=record.most_connections,
        open_mean=open_mean,
    )
    for one in record.tries.values():
        if one.planned.at < 0:
            continue
        counts.first_tries += one.number == 0
        counts.tries += 1
        counts.attempts += len(one.attempts)
        if one.outcome in (Outcome.REFUSED, Outcome.FAILED):
            mine = decided.get(one.request)
            counts.given_up[str(mine.why) if mine is not None and mine.why is not None else UNKNOWN] += 1
    _count_list(counts, record)
    counts.cold_starts, counts.cold_fallen = len(record.cold), len(record.collapses)
    if record.cold:
        (counts.cold_whom, _), counts.cold_most = max(record.cold.items(), key=lambda item: item[1])
    return counts


def _count_list(counts: Counts, record: Record) -> None:
    counts.list_calls = Counter(str(call.ended) for call in record.list_calls)
    calls = sorted((call for call in record.list_calls if call.queued), key=lambda call: call.at)
    first = 0
    for last, call in enumerate(calls):
        while calls[first].at <= call.at - PEAK:
            first += 1
        counts.list_peak = max(counts.list_peak, last - first + 1)
    each = Counter(call.router for call in calls)
    counts.list_most = max(each.values(), default=0)
    counts.listed = len({call.router for call in record.list_calls if call.ended is ListCallOutcome.TOLD})


def judge_fleet(counts: Counts, scenario: Scenario) -> list[Verdict]:
    """Whether the fleet as a whole kept its bounds."""
    peak = max(PEAK_LEAST, math.ceil(PEAK_SHARE * scenario.routers.count))
    places = scenario.caches.connections
    each = counts.attempts_each()
    return [
        Verdict("calls for the list in a second", counts.list_peak <= peak, peak, counts.list_peak),
        Verdict(
            "work sent to a cold cache by who knew",
            counts.cold_most <= COLD_MOST,
            COLD_MOST,
            counts.cold_most,
            note=counts.cold_whom,
        ),
        Verdict("connections at a cache", counts.connections_most <= places, places, counts.connections_most),
        Verdict("attempts for each first try", each <= ATTEMPTS_MOST, ATTEMPTS_MOST, each),
    ]
