"""Decides which link reports go into the next message, and when it is sent.

A report that has just changed the table is forwarded a bounded number of times, the largest
changes first and of these the newest (as in SWIM: Das, Gupta, Motivala, DSN 2002). The rest of a
message is filled with the whole table in turn, so that a router that missed a forwarded report
gets it in the end. Does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container, Iterator
from itertools import chain, islice

from ironrail.peers.zone_latency.report_table import LinkReportChange, LinkReportTable
from ironrail.peers.zone_latency.reports import MAX_BODY_BYTES, encode

MAX_BYTES_PER_SECOND = 2000.0  # sent by one router for this protocol, overhead included
OVERHEAD_BYTES = 60  # of a message beyond its body: 28 of IP and UDP, the rest of the transport
IDLE_RATE_FRACTION = 0.5  # of the maximum rate, while no change is being forwarded
MAX_PENDING_REPORTS = 1024  # a zone of fifty that is cut off causes 490
# in a row, then a full message follows; an urgent message holds changes of state only, so it is
# shorter: such messages go sooner, and to more routers
MAX_URGENT_MESSAGES = 7
# a report takes 6 bytes at least, and one more from sequence number 128 on
MAX_REPORTS_PER_MESSAGE = MAX_BODY_BYTES // 7
# times the log2 of the routers; a change of state reaches all of them even with 30% loss
FORWARDS_PER_LOG2_ROUTERS = 1.5
# of the number of times that a change of state is forwarded
FORWARDING_FRACTIONS = {
    LinkReportChange.STATE: 1.0,
    LinkReportChange.VALUES: 0.5,
    LinkReportChange.REFRESHED: 0.25,
}


class GossipScheduler:
    """The reports that one router forwards, and its rate limit."""

    def __init__(self, table: LinkReportTable) -> None:
        """Initialize a scheduler that sends the reports of `table`."""
        self._table = table
        state_forwards = FORWARDS_PER_LOG2_ROUTERS * math.log2(max(2, len(table.router_zones)))
        self._max_forwards = {
            change: math.ceil(state_forwards * fraction)
            for change, fraction in FORWARDING_FRACTIONS.items()
        }
        # how often each (reporter, to zone) was forwarded, in sending order: new ones go first
        self._pending = {
            change: OrderedDict[tuple[int, int], int]() for change in FORWARDING_FRACTIONS
        }
        self._table_pass: Iterator[tuple[int, int]] = iter(())
        self._sent_at, self._sent_bytes = -math.inf, 0.0
        self._num_urgent = 0  # messages in a row with changes of state only

    def enqueue(self, reporter: int, to_zone: int, change: LinkReportChange) -> None:
        """Queue a report that changed the table."""
        if change is LinkReportChange.NONE:
            return
        key = reporter, to_zone
        for forwards in self._pending.values():
            forwards.pop(key, None)
        self._pending[change][key] = 0
        self._pending[change].move_to_end(key, last=False)
        if sum(map(len, self._pending.values())) > MAX_PENDING_REPORTS:
            next(forwards for forwards in reversed(self._pending.values()) if forwards).popitem()

    def next_message_at(self) -> float:
        """Return when the next message may be sent, by the size of the one before and the rate."""
        has_changes = (
            self._pending[LinkReportChange.STATE] or self._pending[LinkReportChange.VALUES]
        )
        return self._sent_at + self._sent_bytes / (
            MAX_BYTES_PER_SECOND if has_changes else MAX_BYTES_PER_SECOND * IDLE_RATE_FRACTION
        )

    @property
    def is_urgent(self) -> bool:
        """Whether the latest message held changes of state only."""
        return self._num_urgent > 0

    def compose_message(self, now: float) -> bytes:
        """Return the body of the next message, empty if there is nothing to send."""
        is_urgent = (
            bool(self._pending[LinkReportChange.STATE]) and self._num_urgent < MAX_URGENT_MESSAGES
        )
        self._num_urgent = self._num_urgent + 1 if is_urgent else 0
        candidates = (
            {LinkReportChange.STATE: self._pending[LinkReportChange.STATE]}
            if is_urgent
            else self._pending
        )
        picked = [
            (key, change)
            for change, forwards in candidates.items()
            for key in islice(forwards, MAX_REPORTS_PER_MESSAGE)
        ]
        keys = dict(picked[:MAX_REPORTS_PER_MESSAGE])
        num_pending = len(keys)
        reports = []
        for number, key in enumerate(
            chain(
                list(keys), self._next_of_table(0 if is_urgent else MAX_REPORTS_PER_MESSAGE, keys)
            )
        ):
            report = self._table.report(now, *key)
            if report is not None:
                reports.append(report)
            elif number < num_pending:
                del self._pending[keys.pop(key)][key]
        body, num_encoded = encode(reports)
        for report in reports[:num_encoded]:
            key = report.reporter, report.to_zone
            if key in keys:
                self._count_forward(key, keys[key])
        self._sent_at, self._sent_bytes = now, len(body) + OVERHEAD_BYTES
        return body

    def _count_forward(self, key: tuple[int, int], change: LinkReportChange) -> None:
        forwards = self._pending[change]
        forwards[key] += 1
        forwards.move_to_end(key)
        if forwards[key] >= self._max_forwards[change]:
            del forwards[key]

    def _next_of_table(
        self, limit: int, excluded: Container[tuple[int, int]]
    ) -> Iterator[tuple[int, int]]:
        """Yield the next keys of a pass through the table; the next message starts a new pass."""
        for _ in range(limit):
            key = next(self._table_pass, None)
            if key is None:
                self._table_pass = iter(sorted(self._table.keys()))
                return
            if key not in excluded:
                yield key
