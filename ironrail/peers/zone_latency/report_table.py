"""The table of link reports: of each link the latest reports of a few routers.

Merging is a join of semilattices (Shapiro, Preguica, Baquero, Zawirski, SSS 2011), so the order of
reports and repeated ones don't matter. Of each reporter the greatest (incarnation, sequence,
values) is kept, of equal ones the older evidence; of the reporters of a link the first few by a
rank that all routers share. Cutting a set that only grows to its first few elements keeps the
join's laws; therefore the rank must not depend on what a report says, and a report of a replaced
process keeps its place but is not used. Does no I/O and reads no clock.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum

from ironrail.peers.zone_latency.histogram import LAST_BUCKET, bucket_seconds
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.reports import LinkReport, is_significant_change, unpack_values

MAX_REPORTERS = 5  # of a link; two wrong ones are outvoted
# that must report a link slow or cut: one wrong reporter can't invent a fault, and one of five
# can't hide one
FAULT_QUORUM = 2
MIN_REFRESH_SECONDS = 20.0  # after which unchanged evidence is reported again
# of all links and reporters together; half of what 2 kB/s carry to all routers
MAX_REFRESHES_PER_SECOND = 40.0
SUSPICION_SECONDS = 5.0  # for which a reported fault lowers the threshold of others in the zone
# refresh intervals without a report, after which others take a reporter's place, and after which
# its report is no longer used
STALE_REFRESHES, EXPIRED_REFRESHES = 3.0, 6.0


class LinkReportChange(IntEnum):
    """What a report changed in the table, more urgent changes being greater."""

    NONE = 0
    REFRESHED = 1
    VALUES = 2
    STATE = 3


@dataclass(frozen=True, slots=True)
class LinkEstimate:
    """What the reports on a link say together.

    Attributes:
        state: The state that enough reporters confirm.
        fastest: Median of the reported fastest round trips in seconds; infinite without an answer.
        median: Likewise of the median round trips.
        loss_ratio: Likewise of the loss ratios.
        age: Seconds since the evidence of the reports of this state.
        num_reporters: Number of reports used.
    """

    state: MeasuredLinkState
    fastest: float
    median: float
    loss_ratio: float
    age: float
    num_reporters: int


UNKNOWN_LINK = LinkEstimate(MeasuredLinkState.UNKNOWN, math.inf, math.inf, 1.0, math.inf, 0)


class StoredLinkReport:
    """A report as it is stored.

    Attributes:
        incarnation: Of the reporter's process.
        sequence: Of the report.
        packed_values: State and figures.
        evidence_at: Time of the evidence on this router's clock.
    """

    __slots__ = ("evidence_at", "incarnation", "packed_values", "sequence")

    def __init__(
        self, incarnation: int, sequence: int, packed_values: int, evidence_at: float
    ) -> None:
        """Initialize a stored report; see the attributes of the class."""
        self.incarnation, self.sequence, self.packed_values = incarnation, sequence, packed_values
        self.evidence_at = evidence_at

    def supersedes(self, other: StoredLinkReport) -> bool:
        """Return whether it replaces the other.

        Equal reports differ by how much of their age was lost on the way; the older one is right.
        """
        own_order, other_order = (
            (self.incarnation, self.sequence, self.packed_values),
            (other.incarnation, other.sequence, other.packed_values),
        )
        return own_order > other_order or (
            own_order == other_order and self.evidence_at < other.evidence_at
        )


def rank(reporter: int, to_zone: int) -> int:
    """Return a reporter's rank for a link; reporters of a lower rank are kept.

    It is hashed with the link, so that no router reports on all links of its zone.
    """
    return zlib.crc32(b"%d %d" % (to_zone, reporter))


def robust_median(values: list[float]) -> float:
    """Return the median; of an even number of values the worse one, of two the better one.

    With three or more values, one wrong value can't move the result out of the range of the others.
    With two it is not known which one is wrong: one of them can hide a fault, but not invent it.
    """
    return sorted(values)[len(values) // 2 if len(values) > 2 else 0]


class LinkReportTable:
    """Reports on all links, merged from all routers.

    Attributes:
        router_zones: Zone number of each router.
        num_zones: Number of zones.
        max_reporters: Reporters kept for each link.
        incarnations: Latest incarnation of each reporter; reports of earlier ones are not used.
        links: Stored reports by reporter, by (from zone, to zone).
        refresh_interval: Seconds, the same at all routers.
    """

    def __init__(
        self, router_zones: Sequence[int], num_zones: int, max_reporters: int = MAX_REPORTERS
    ) -> None:
        """Initialize an empty table; see the attributes of the class."""
        self.router_zones, self.num_zones, self.max_reporters = (
            router_zones,
            num_zones,
            max_reporters,
        )
        self.incarnations: dict[int, int] = {}
        self.links: dict[tuple[int, int], dict[int, StoredLinkReport]] = {}
        routers_in_zone = [0] * num_zones
        for zone in router_zones:
            routers_in_zone[zone] += 1
        max_reports = num_zones * sum(min(max_reporters, routers) for routers in routers_in_zone)
        self.refresh_interval = max(MIN_REFRESH_SECONDS, max_reports / MAX_REFRESHES_PER_SECOND)

    def merge(self, now: float, report: LinkReport) -> LinkReportChange:
        """Merge a report, from whichever router and however often, and return what changed."""
        reporter, to_zone = report.reporter, report.to_zone
        if report.age > EXPIRED_REFRESHES * self.refresh_interval:
            return LinkReportChange.NONE
        if report.incarnation > self.incarnations.get(reporter, -1):
            self.incarnations[reporter] = report.incarnation
        new = StoredLinkReport(
            report.incarnation, report.sequence, report.packed_values, now - report.age
        )
        link = self.links.setdefault((self.router_zones[reporter], to_zone), {})
        old = link.get(reporter)
        if old is not None and not new.supersedes(old):
            return LinkReportChange.NONE
        link[reporter] = new
        if old is None:
            if len(link) > self.max_reporters:
                last = max(link, key=lambda r: (self._is_stale(now, link[r]), rank(r, to_zone), r))
                del link[last]
                if last == reporter:
                    return LinkReportChange.NONE
            return (
                LinkReportChange.STATE
                if unpack_values(new.packed_values)[0] > MeasuredLinkState.WELL
                else LinkReportChange.REFRESHED
            )
        if old.packed_values >> 16 != new.packed_values >> 16:
            return LinkReportChange.STATE
        return (
            LinkReportChange.VALUES
            if is_significant_change(old.packed_values, new.packed_values)
            else LinkReportChange.REFRESHED
        )

    def _is_stale(self, now: float, stored: StoredLinkReport) -> bool:
        return now - stored.evidence_at > STALE_REFRESHES * self.refresh_interval

    def stored(self, reporter: int, to_zone: int) -> StoredLinkReport | None:
        """Return a reporter's stored report on a link, if there is one."""
        return self.links.get((self.router_zones[reporter], to_zone), {}).get(reporter)

    def report(self, now: float, reporter: int, to_zone: int) -> LinkReport | None:
        """Return a stored report for forwarding; None if it is gone, replaced or expired."""
        stored = self.stored(reporter, to_zone)
        if stored is None or not self._is_valid(now, reporter, stored):
            return None
        return LinkReport(
            reporter,
            stored.incarnation,
            to_zone,
            stored.sequence,
            stored.packed_values,
            max(0.0, now - stored.evidence_at),
        )

    def _is_valid(self, now: float, reporter: int, stored: StoredLinkReport) -> bool:
        return (
            stored.incarnation >= self.incarnations[reporter]
            and now - stored.evidence_at <= EXPIRED_REFRESHES * self.refresh_interval
        )

    def estimate(self, now: float, from_zone: int, to_zone: int) -> LinkEstimate:
        """Return what is known of a link; UNKNOWN_LINK without any valid report."""
        reports = [
            s
            for r, s in self.links.get((from_zone, to_zone), {}).items()
            if self._is_valid(now, r, s)
        ]
        reports = [s for s in reports if not self._is_stale(now, s)] or reports
        if not reports:
            return UNKNOWN_LINK
        states, fastest_buckets, median_buckets, loss_ratios = zip(
            *(unpack_values(s.packed_values) for s in reports), strict=True
        )
        fastest, median = (
            int(robust_median(list(fastest_buckets))),
            int(robust_median(list(median_buckets))),
        )
        state = MeasuredLinkState(sorted(states)[max(0, len(states) - FAULT_QUORUM)])
        ages = [now - s.evidence_at for s in reports if s.packed_values >> 16 == state]
        return LinkEstimate(
            state,
            math.inf if fastest == LAST_BUCKET else bucket_seconds(fastest),
            math.inf if median == LAST_BUCKET else bucket_seconds(median),
            robust_median(list(loss_ratios)),
            max(0.0, robust_median(ages)),
            len(reports),
        )

    def is_suspected(self, now: float, from_zone: int, to_zone: int, excluded: int) -> bool:
        """Return whether a reporter other than `excluded` lately reported the link slow or cut."""
        return any(
            s.packed_values >> 16 > MeasuredLinkState.WELL
            and now - s.evidence_at <= SUSPICION_SECONDS
            and self._is_valid(now, r, s)
            for r, s in self.links.get((from_zone, to_zone), {}).items()
            if r != excluded
        )

    def remove_expired(self, now: float) -> None:
        """Remove expired reports; other routers hold them at the same age, so none returns."""
        for ends in list(self.links):
            link = self.links[ends]
            for reporter in [
                r
                for r, s in link.items()
                if now - s.evidence_at > 2 * EXPIRED_REFRESHES * self.refresh_interval
            ]:
                del link[reporter]
            if not link:
                del self.links[ends]

    def keys(self) -> Iterator[tuple[int, int]]:
        """Return the keys of all stored reports, as (reporter, to zone)."""
        return (
            (reporter, to_zone) for (_, to_zone), link in self.links.items() for reporter in link
        )

    def __len__(self) -> int:
        """Return the number of stored reports."""
        return sum(map(len, self.links.values()))
