"""Counts over all routers of a fleet, and the limits that they must keep. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import ListCallOutcome, Outcome, Record
from ironrail.rehearsal.losses.tap import Decided
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.verdicts import Verdict

PEAK_WINDOW_SECONDS = 1.0  # window in which list calls are counted
# maximum list calls per window as a fraction of the routers: synchronized calls overload the list service
MAX_PEAK_FRACTION, MIN_PEAK_LIMIT = 0.5, 10  # in a small fleet all routers may call at once
MAX_COLD_LOAD = 1.0  # fraction of a cold cache's capacity, sent by routers notified of its start
MAX_ATTEMPTS_PER_FIRST_TRY = 2.6  # three attempts and one client retry for every request would be six
UNKNOWN_CAUSE = "no reason in the module's books"


@dataclass(slots=True)
class Counts:
    """Counts of one run over the whole fleet."""

    first_tries: int = 0
    attempts: int = 0
    tries: int = 0
    connections_made: int = 0
    connections_refused: int = 0  # by a cache whose connection table was full
    max_connections_per_cache: int = 0  # open at one cache at the same time
    open_mean: float = 0.0  # mean of open connections at all caches
    list_calls: Counter[str] = field(default_factory=Counter)  # by outcome
    peak_list_calls: int = 0  # queued calls that fell within any one window
    max_list_calls_per_router: int = 0  # calls of the busiest router
    routers_listed: int = 0  # routers that received a list at least once
    cold_starts: int = 0
    max_cold_load: float = 0.0  # largest load sent to a cold cache, as a fraction of its capacity
    max_cold_load_cache: str = ""
    caches_overloaded: int = 0  # cold caches that failed from overload, from any router
    given_up: Counter[str] = field(default_factory=Counter)  # refused and failed tries by cause

    def attempts_per_first_try(self) -> float:
        """Attempts per first try."""
        return self.attempts / max(1, self.first_tries)


def count(record: Record, decided: Mapping[str, Decided], open_mean: float) -> Counts:
    """Count a run; `open_mean`: mean number of open connections at all caches over time."""
    counts = Counts(
        connections_made=record.handshakes,
        connections_refused=record.crowded,
        max_connections_per_cache=record.most_connections,
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
            counts.given_up[
                str(mine.why) if mine is not None and mine.why is not None else UNKNOWN_CAUSE
            ] += 1
    _count_list(counts, record)
    counts.cold_starts, counts.caches_overloaded = len(record.cold), len(record.collapses)
    if record.cold:
        (counts.max_cold_load_cache, _), counts.max_cold_load = max(
            record.cold.items(), key=lambda item: item[1]
        )
    return counts


def _count_list(counts: Counts, record: Record) -> None:
    counts.list_calls = Counter(str(call.ended) for call in record.list_calls)
    calls = sorted((call for call in record.list_calls if call.queued), key=lambda call: call.at)
    first = 0
    for last, call in enumerate(calls):
        while calls[first].at <= call.at - PEAK_WINDOW_SECONDS:
            first += 1
        counts.peak_list_calls = max(counts.peak_list_calls, last - first + 1)
    each = Counter(call.router for call in calls)
    counts.max_list_calls_per_router = max(each.values(), default=0)
    counts.routers_listed = len(
        {call.router for call in record.list_calls if call.ended is ListCallOutcome.TOLD}
    )


def judge_fleet(counts: Counts, scenario: Scenario) -> list[Verdict]:
    """Verdicts on whether the fleet as a whole kept its limits."""
    peak = max(MIN_PEAK_LIMIT, math.ceil(MAX_PEAK_FRACTION * scenario.routers.count))
    places = scenario.caches.connections
    each = counts.attempts_per_first_try()
    return [
        Verdict(
            "calls for the list in a second", counts.peak_list_calls <= peak, peak, counts.peak_list_calls
        ),
        Verdict(
            "work sent to a cold cache by who knew",
            counts.max_cold_load <= MAX_COLD_LOAD,
            MAX_COLD_LOAD,
            counts.max_cold_load,
            note=counts.max_cold_load_cache,
        ),
        Verdict(
            "connections at a cache",
            counts.max_connections_per_cache <= places,
            places,
            counts.max_connections_per_cache,
        ),
        Verdict(
            "attempts for each first try",
            each <= MAX_ATTEMPTS_PER_FIRST_TRY,
            MAX_ATTEMPTS_PER_FIRST_TRY,
            each,
        ),
    ]
