"""A trace at another speed or rate. Pure.

Three ways, and none of them keeps everything:

- `squeeze` plays it faster: rate and bursts grow alike, popularity stays, gaps between requests shrink.
- `thin` keeps a share: the clock, bursts and popularity stay, the rate falls.
- `superpose` lays copies over one another, each begun at another point: the clock and popularity stay, the
  rate grows, bursts grow less than the rate, as those of different copies seldom meet.

Repeats of one idempotency key stay on their side of the window in which a repeat is dropped, at every speed:
one that came after 2 s of 2.5 s must fall inside, one after 3 s outside, or a rehearsal would charge for what
was dropped and drop what was charged for. So a repeat that came within the window keeps its distance to the
one before, to the microsecond; any other comes as much sooner as the speed says, but not within 1.2 windows
unless it had been. That moves nothing but the repeats themselves, which lag behind by less than 1.2 windows
for each repeat of their chain.
"""

from __future__ import annotations

import hashlib
import heapq
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import replace
from operator import attrgetter

from ironrail.recorded.entry import Entry

MOST_CHAINS = 1_000_000  # idempotency keys remembered at once
SAFE = 1.2  # windows between repeats that were not within one: replays are late by some ms, retries by more


class Chains:
    """Places the repeats of each idempotency key, at any speed. A key is forgotten once nothing holds it."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._last: dict[str, tuple[float, float]] = {}  # times of the latest repeat: as it was, as it is now

    def place(self, name: str, at: float, scaled: float) -> float:
        """Its new time, given the time it had and the one that the speed alone would give it."""
        before, plain = self._last.pop(name, None), scaled
        if before is not None:
            gap, last = at - before[0], before[1]
            least = last + min(gap, SAFE * self._window)
            scaled = last + gap if gap <= self._window else max(scaled, least)
        self._last[name] = at, scaled  # the latest used stand last
        while self._last:
            oldest = next(iter(self._last))
            was, now = self._last[oldest]
            # by the speed's own time: where a chain's repeats were put off to, others may still come before
            held = at <= was + self._window or plain < now + SAFE * self._window
            if held and len(self._last) <= MOST_CHAINS:
                break
            del self._last[oldest]
        return scaled


def in_order(entries: Iterable[tuple[float, float, Entry]]) -> Iterator[Entry]:
    """Entries by their new time; each comes with that and a time before which none that follows lies."""
    heap: list[tuple[float, int, Entry]] = []
    for number, (at, least, entry) in enumerate(entries):
        heapq.heappush(heap, (at, number, entry))
        while heap and heap[0][0] <= least:
            yield heapq.heappop(heap)[2]
    while heap:
        yield heapq.heappop(heap)[2]


def squeeze(entries: Iterable[Entry], speed: float, window: float) -> Iterator[Entry]:
    """At `speed` times the rate; `window`: seconds in which a repeat of an idempotency key is dropped.

    A speed below 1 needs all entries in memory, as a repeat may come before others that came before it.
    """
    chains = Chains(window)
    start: float | None = None

    def moved() -> Iterator[tuple[float, float, Entry]]:
        nonlocal start
        for entry in entries:
            if start is None:
                start = entry.at
            scaled = start + (entry.at - start) / speed
            at = chains.place(entry.idempotency, entry.at, scaled) if entry.idempotency else scaled
            yield at, scaled, replace(entry, at=at)

    if speed >= 1:
        yield from in_order(moved())
    else:
        yield from sorted((entry for _, _, entry in moved()), key=attrgetter("at"))


def _draw(seed: int, name: str) -> float:
    """From 0 to 1, the same for the same name."""
    digest = hashlib.blake2b(name.encode(), key=seed.to_bytes(8, "big", signed=False), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def thin(entries: Iterable[Entry], share: float, seed: int) -> Iterator[Entry]:
    """Keep a share of them, drawn one by one; a chain of repeats stays or goes as a whole."""
    for number, entry in enumerate(entries):
        if _draw(seed, entry.idempotency or f"#{number}") < share:
            yield entry


def superpose(entries: list[Entry], rate: float, seed: int) -> list[Entry]:
    """At `rate` times the rate, 1 or more: whole copies, and a share of one more.

    Each copy begins at a point of its own and goes round; clients and idempotency keys of different copies
    differ, or repeats would be dropped that nobody sent. It needs all entries at once.
    """
    if not entries:
        return []
    begin, end = entries[0].at, entries[-1].at
    length = end - begin
    firsts: dict[str, float] = {}  # of each chain, the time of its first
    for entry in entries:
        firsts.setdefault(entry.idempotency, entry.at)
    result = list(entries)
    for copy in range(1, int(rate) + (rate % 1 > 0)):
        offset = length * _draw(seed, f"offset {copy}")
        share = min(1.0, rate - copy)
        cut = bisect_left(entries, begin + offset, key=attrgetter("at"))
        for number, entry in enumerate(entries[cut:] + entries[:cut]):
            if share < 1.0 and _draw(seed, f"{copy}:{entry.idempotency or number}") >= share:
                continue
            # a chain goes round as a whole, by its first: its end may lie beyond the trace's
            first = firsts[entry.idempotency] if entry.idempotency else entry.at
            place = first - begin - offset
            at = begin + (place if place >= 0 else place + length) + (entry.at - first)
            result.append(
                replace(
                    entry,
                    at=at,
                    client=f"{entry.client}+{copy}" if entry.client else "",
                    idempotency=f"{entry.idempotency}+{copy}" if entry.idempotency else "",
                )
            )
    result.sort(key=attrgetter("at"))
    return result


def scaled(entries: Iterable[Entry], speed: float, rate: float, window: float, seed: int) -> Iterator[Entry]:
    """At this speed, and `rate` times as many: thinned below 1, laid over one another above."""
    if speed != 1:
        entries = squeeze(entries, speed, window)
    if rate < 1:
        entries = thin(entries, rate, seed)
    elif rate > 1:
        entries = superpose(list(entries), rate, seed)
    yield from entries
