"""What goes out next, and how soon: rumours first, then the whole map in turn. Pure.

A rumour is a word that just changed something here; it is passed on a bounded number of times, the largest
change first and of these the newest (as Das, Gupta, Motivala have it in SWIM, DSN 2002). What is left of
a message goes round the map, so that whoever missed a rumour hears it in the end.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container, Iterator
from itertools import chain, islice

from ironrail.peers.zone_latency.reports import MOST_BODY, encode
from ironrail.peers.zone_latency.report_table import Change, Table

RATE = 2000.0  # bytes a second that a router sends for the map, all told
OVERHEAD = 60  # bytes of a message beyond its body: 28 of IP and UDP, the rest for the wire
QUIET = 0.5  # of RATE while no rumour is under way
MOST_RUMOURS = 1024  # under way; a hall of fifty that is cut off makes 490
MOST_SHORT = 7  # messages of changes of state alone, which go sooner and to more, before a full one
MOST_PICKED = MOST_BODY // 7  # a word takes 6 bytes at the least, and one more from its 128th on
TELL = 1.5  # times the log2 of the routers that a change of state is passed on: with 30% lost still to all
FEWER = {Change.STATE: 1.0, Change.VALUES: 0.5, Change.RENEWED: 0.25}  # of that for smaller changes


class Spread:
    """The rumours of one router, and its pace."""

    def __init__(self, table: Table) -> None:
        self._table = table
        tell = TELL * math.log2(max(2, len(table.hall_of)))
        self._most = {change: math.ceil(tell * share) for change, share in FEWER.items()}
        # how often each (witness, to) was told; the next to go first, so new ones before those told once
        self._rumours = {change: OrderedDict[tuple[int, int], int]() for change in FEWER}
        self._round: Iterator[tuple[int, int]] = iter(())
        self._sent_at, self._price = -math.inf, 0.0
        self._in_short = 0  # messages in a row that held changes of state alone

    def note(self, witness: int, to: int, change: Change) -> None:
        """A word that changed something here."""
        if change is Change.NONE:
            return
        key = witness, to
        for told in self._rumours.values():
            told.pop(key, None)
        self._rumours[change][key] = 0
        self._rumours[change].move_to_end(key, last=False)
        if sum(map(len, self._rumours.values())) > MOST_RUMOURS:
            next(told for told in reversed(self._rumours.values()) if told).popitem()

    def due(self) -> float:
        """When the next message may go: after as long as the one before it costs."""
        urgent = self._rumours[Change.STATE] or self._rumours[Change.VALUES]
        return self._sent_at + self._price / (RATE if urgent else RATE * QUIET)

    @property
    def hurried(self) -> bool:
        """Whether the latest message held changes of state alone."""
        return self._in_short > 0

    def compose(self, now: float) -> bytes:
        """The next message, empty if there is nothing to tell."""
        urgent = bool(self._rumours[Change.STATE]) and self._in_short < MOST_SHORT
        self._in_short = self._in_short + 1 if urgent else 0
        kinds = {Change.STATE: self._rumours[Change.STATE]} if urgent else self._rumours
        picked = [(key, change) for change, told in kinds.items() for key in islice(told, MOST_PICKED)]
        keys = dict(picked[:MOST_PICKED])
        rumours = len(keys)
        reports = []
        for number, key in enumerate(chain(list(keys), self._further(0 if urgent else MOST_PICKED, keys))):
            report = self._table.report(now, *key)
            if report is not None:
                reports.append(report)
            elif number < rumours:
                del self._rumours[keys.pop(key)][key]
        body, taken = encode(reports)
        for report in reports[:taken]:
            key = report.witness, report.to
            if key in keys:
                self._told(key, keys[key])
        self._sent_at, self._price = now, len(body) + OVERHEAD
        return body

    def _told(self, key: tuple[int, int], change: Change) -> None:
        told = self._rumours[change]
        told[key] += 1
        told.move_to_end(key)
        if told[key] >= self._most[change]:
            del told[key]

    def _further(self, most: int, but: Container[tuple[int, int]]) -> Iterator[tuple[int, int]]:
        """The next of the round through the map, which begins anew when it is through."""
        for _ in range(most):
            key = next(self._round, None)
            if key is None:
                self._round = iter(sorted(self._table.keys()))
                return
            if key not in but:
                yield key
