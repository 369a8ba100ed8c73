"""What goes out next, and how soon: rumours first, then the whole map in turn. Pure.

A rumour is a word that just changed something here; it is passed on a bounded number of times, the largest
change and the least told first (as Das, Gupta, Motivala have it in SWIM, DSN 2002). What is left of a message
goes round the map, so that whoever missed a rumour hears it in the end.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from ironrail.peers.latency.reports import MOST_BODY, encode
from ironrail.peers.latency.table import Change, Table

RATE = 2000.0  # bytes a second that a router sends for the map, all told
OVERHEAD = 60  # bytes of a message beyond its body: 28 of IP and UDP, the rest for the wire
QUIET = 0.5  # of RATE while no rumour is under way
MOST_RUMOURS = 1024  # under way; a hall of fifty that is cut off makes 490
TELL = 1.5  # times the log2 of the routers that a change of state is passed on: with 30% lost still to all
FEWER = {Change.STATE: 1.0, Change.VALUES: 0.5, Change.RENEWED: 0.25}  # of that for smaller changes


class Spread:
    """The rumours of one router, and its pace."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._tell = TELL * math.log2(max(2, len(table.hall_of)))
        # by (witness, to): how large the change was, how often it was told, number of the rumour
        self._rumours: dict[tuple[int, int], tuple[Change, int, int]] = {}
        self._urgent: set[tuple[int, int]] = set()  # of those, the ones that were more than renewed
        self._count = 0
        self._round: Iterator[tuple[int, int]] = iter(())
        self._sent_at, self._price = -math.inf, 0.0

    def note(self, witness: int, to: int, change: Change) -> None:
        """A word that changed something here."""
        if change is Change.NONE:
            return
        self._count += 1
        key = witness, to
        self._drop(key)
        self._rumours[key] = (change, 0, self._count)
        if change > Change.RENEWED:
            self._urgent.add(key)
        if len(self._rumours) > MOST_RUMOURS:
            self._drop(max(self._rumours, key=self._urgency))

    def _drop(self, key: tuple[int, int]) -> None:
        self._rumours.pop(key, None)
        self._urgent.discard(key)

    def _urgency(self, key: tuple[int, int]) -> tuple[int, int, int]:
        change, told, number = self._rumours[key]
        return -change, told, -number

    def due(self) -> float:
        """When the next message may go: after as long as the one before it costs."""
        return self._sent_at + self._price / (RATE if self._urgent else RATE * QUIET)

    def compose(self, now: float) -> bytes:
        """The next message, empty if there is nothing to tell."""
        picked = heapq.nsmallest(MOST_BODY // 8, self._rumours, key=self._urgency)
        reports = []
        for key in picked:
            report = self._table.report(now, *key)
            if report is None:
                self._drop(key)
            else:
                reports.append(report)
        rumours = len(reports)
        seen = {(report.witness, report.to) for report in reports}
        for key in self._further(MOST_BODY // 7):
            report = None if key in seen else self._table.report(now, *key)
            if report is not None:
                seen.add(key)
                reports.append(report)
        body, taken = encode(reports)
        for report in reports[: min(taken, rumours)]:
            self._told((report.witness, report.to))
        self._sent_at, self._price = now, len(body) + OVERHEAD
        return body

    def _told(self, key: tuple[int, int]) -> None:
        change, told, number = self._rumours[key]
        if told + 1 >= self._tell * FEWER[change]:
            self._drop(key)
        else:
            self._rumours[key] = change, told + 1, number

    def _further(self, most: int) -> Iterator[tuple[int, int]]:
        """The next of the round through the map, which begins anew when it is through."""
        for _ in range(most):
            key = next(self._round, None)
            if key is None:
                self._round = iter(sorted(self._table.keys()))
                key = next(self._round, None)
                if key is None:
                    return
            yield key
