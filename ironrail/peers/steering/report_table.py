"""The region reports that a router stores, and the estimate of each region in each zone from them.

The table is a join-semilattice, as that of zone latency: the order and repetition of reports don't
matter. Of each reporter the greatest (incarnation, sequence, values) is kept. Of a cell, which is a
region in a zone, the first few reporters by a rank are kept; the rank does not depend on any
report. A report of a replaced process keeps its slot but isn't used. Reports are stored packed in
38 bytes each, as there are up to 256 x 50 cells. No I/O.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ironrail.peers.steering.histogram import (
    CLASS_SHARE_BY_CODE,
    DURATION_BY_CODE,
    FRACTION_BY_CODE,
    NO_DATA_CODE,
    RATE_BY_CODE,
)
from ironrail.peers.steering.reports import MAX_VALUES_BYTES, RegionReport, RegionSummary, unpack

MAX_REPORTERS = 3  # kept per cell: the median outvotes one router with wrong values
MIN_RENEWAL_SECONDS = 120.0  # after which unchanged values are reported again
RENEWALS_PER_SECOND = 4.0  # of all routers: two thirds of what 400 B/s per router can spread to all
# Zones in which the clients of most regions arrive. With more, renewals come too seldom: reports go
# stale and expire, and the zone counts as unknown.
ZONES_PER_REGION = 4
# Missed renewals before another reporter may take the slot, and before a report is ignored.
STALE_RENEWALS, EXPIRED_RENEWALS = (3.0, 6.0)
NEW_REPORT_CHANGE = 64  # what a new reporter counts as: more than any difference of values
# reporter + 1 (0 marks a free slot), incarnation, sequence, time of measurement, values
_RECORD = struct.Struct(f">HQId{MAX_VALUES_BYTES}s")
_CELL_BYTES = MAX_REPORTERS * _RECORD.size
_NO_CLASS_CODES = (NO_DATA_CODE, NO_DATA_CODE, 0)
NO_CLASS_DATA = (math.inf, math.inf, 0.0)
N = TypeVar("N", int, float)


class StoredRegionReport:
    """A report as it is stored; `measured_at` is on this router's clock."""

    __slots__ = ("incarnation", "measured_at", "reporter", "sequence", "values")

    def __init__(
        self, reporter: int, incarnation: int, sequence: int, measured_at: float, values: bytes
    ) -> None:
        self.reporter, self.incarnation, self.sequence = reporter, incarnation, sequence
        self.measured_at, self.values = measured_at, values

    def order(self) -> tuple[int, int, bytes]:
        """Return the sort key: of two reports of a reporter the greater one is kept."""
        return self.incarnation, self.sequence, self.values


@dataclass(frozen=True, slots=True)
class CellEstimate:
    """Median of the reports on a region in a zone; an unknown duration is infinite.

    Attributes:
        rtt: Median round-trip time of a client in seconds.
        rtt_tail: 95th percentile of it in seconds.
        rate: Requests/s at all routers of the zone.
        late: Fraction of requests not answered within their latency objective.
        abandoned: Fraction of requests whose client disconnected first; part of `late`.
        classes: Of each request class, by number, the median and 95th percentile of the service
            time in seconds, and the share of requests.
        age: Seconds since the measurement.
        num_reporters: Number of reports in use.
    """

    rtt: float
    rtt_tail: float
    rate: float
    late: float
    abandoned: float
    classes: tuple[tuple[float, float, float], ...]
    age: float
    num_reporters: int


def reporter_rank(reporter: int, region: int) -> int:
    """Return a rank of which the lowest are kept.

    It is pseudo-random by cell, so that no router reports on all regions.
    """
    return zlib.crc32(b"%d %d" % (region, reporter))


def upper_median(values: Sequence[N]) -> N:
    """Return the median, of an even number the greater one.

    Whatever one of three reporters claims, the result lies between the values of the other two.
    """
    return sorted(values)[len(values) // 2]


class RegionReportTable:
    """All stored reports.

    Attributes:
        zone_of: Zone number of each router.
        num_zones: Number of zones.
        num_regions: Number of regions.
        num_routers: Number of routers in each zone.
        incarnations: Latest incarnation of each reporter.
        renewal_seconds: Interval at which unchanged values are reported again, the same at all
            routers.
    """

    def __init__(self, zone_of: Sequence[int], num_zones: int, num_regions: int) -> None:
        self.zone_of, self.num_zones, self.num_regions = zone_of, num_zones, num_regions
        self.num_routers = [zone_of.count(zone) for zone in range(num_zones)]
        self.incarnations: dict[int, int] = {}
        self._records: dict[int, bytearray] = {}  # by zone, allocated with its first report
        max_reports = (
            num_regions
            * min(num_zones, ZONES_PER_REGION)
            * min(MAX_REPORTERS, max(self.num_routers))
        )
        self.renewal_seconds = max(MIN_RENEWAL_SECONDS, max_reports / RENEWALS_PER_SECOND)

    def merge(self, now: float, report: RegionReport) -> int:
        """Merge a report; it may arrive by any router, and repeatedly.

        Returns:
            How much the values changed in duration buckets; -1 if the report was not stored.
        """
        if report.age > EXPIRED_RENEWALS * self.renewal_seconds:
            return -1
        reporter, region = report.reporter, report.region
        if report.incarnation > self.incarnations.get(reporter, -1):
            self.incarnations[reporter] = report.incarnation
        zone = self.zone_of[reporter]
        new = StoredRegionReport(
            reporter, report.incarnation, report.sequence, now - report.age, report.values
        )
        cell = self._cell(zone, region)
        for slot, old in enumerate(cell):
            if old.reporter == reporter:
                if new.order() <= old.order():
                    return -1  # a repeated report does not make its measurement younger
                self._store(zone, region, slot, new)
                return unpack(new.values).difference(unpack(old.values))
        slot = len(cell)
        if slot == MAX_REPORTERS:
            cell.append(new)
            last = max(
                cell,
                key=lambda stored: (
                    self._is_stale(now, stored),
                    reporter_rank(stored.reporter, region),
                    stored.reporter,
                ),
            )
            if last is new:
                return -1
            slot = cell.index(last)
        self._store(zone, region, slot, new)
        return NEW_REPORT_CHANGE

    def would_store(self, now: float, reporter: int, region: int) -> bool:
        """Whether a new report of this reporter would be stored."""
        better = [
            stored for stored in self._cell(self.zone_of[reporter], region)
            if stored.reporter != reporter and not self._is_stale(now, stored)
            and (reporter_rank(stored.reporter, region), stored.reporter)
            < (reporter_rank(reporter, region), reporter)
        ]  # fmt: skip
        return len(better) < MAX_REPORTERS

    def stored(self, reporter: int, region: int) -> StoredRegionReport | None:
        """Return the stored report of a reporter on a region, if any."""
        return next(
            (
                stored
                for stored in self._cell(self.zone_of[reporter], region)
                if stored.reporter == reporter
            ),
            None,
        )

    def report_to_forward(self, now: float, reporter: int, region: int) -> RegionReport | None:
        """Return the report as it is sent to peers; None if it is gone, replaced or expired."""
        stored = self.stored(reporter, region)
        if stored is None or not self._is_valid(now, stored):
            return None
        return RegionReport(
            reporter,
            stored.incarnation,
            region,
            stored.sequence,
            stored.values,
            max(0.0, now - stored.measured_at),
        )

    def estimate(self, now: float, zone: int, region: int) -> CellEstimate | None:
        """Return the estimate of a region in a zone; None if no report is valid: unknown."""
        reports = [stored for stored in self._cell(zone, region) if self._is_valid(now, stored)]
        reports = [stored for stored in reports if not self._is_stale(now, stored)] or reports
        if not reports:
            return None
        summaries = [unpack(stored.values) for stored in reports]
        return CellEstimate(
            DURATION_BY_CODE[upper_median([s.rtt for s in summaries])],
            DURATION_BY_CODE[upper_median([s.rtt_tail for s in summaries])],
            RATE_BY_CODE[upper_median([s.rate for s in summaries])] * self.num_routers[zone],
            FRACTION_BY_CODE[upper_median([s.late for s in summaries])],
            FRACTION_BY_CODE[upper_median([s.abandoned for s in summaries])],
            _class_medians(summaries),
            max(0.0, upper_median([now - stored.measured_at for stored in reports])),
            len(reports),
        )

    def cell_estimates(self, now: float) -> Iterator[tuple[int, int, CellEstimate]]:
        """Yield all known estimates as (region, zone, estimate)."""
        for zone in sorted(self._records):
            for region in range(self.num_regions):
                cell = self.estimate(now, zone, region)
                if cell is not None:
                    yield region, zone, cell

    def report_keys(self) -> Iterator[tuple[int, int]]:
        """Yield (reporter, region) of all stored reports."""
        for zone in self._records:
            for region in range(self.num_regions):
                yield from ((stored.reporter, region) for stored in self._cell(zone, region))

    def _is_valid(self, now: float, stored: StoredRegionReport) -> bool:
        return (
            stored.incarnation >= self.incarnations[stored.reporter]
            and now - stored.measured_at <= EXPIRED_RENEWALS * self.renewal_seconds
        )

    def _is_stale(self, now: float, stored: StoredRegionReport) -> bool:
        return now - stored.measured_at > STALE_RENEWALS * self.renewal_seconds

    def _cell(self, zone: int, region: int) -> list[StoredRegionReport]:
        records = self._records.get(zone)
        found: list[StoredRegionReport] = []
        if records is not None:
            for at in range(region * _CELL_BYTES, (region + 1) * _CELL_BYTES, _RECORD.size):
                reporter, incarnation, sequence, measured_at, values = _RECORD.unpack_from(
                    records, at
                )
                if not reporter:
                    break
                size = 4 + 2 * (values[3] & 63).bit_count()
                found.append(
                    StoredRegionReport(
                        reporter - 1, incarnation, sequence, measured_at, values[:size]
                    )
                )
        return found

    def _store(self, zone: int, region: int, slot: int, new: StoredRegionReport) -> None:
        records = self._records.get(zone)
        if records is None:
            records = self._records[zone] = bytearray(_CELL_BYTES * self.num_regions)
        at = region * _CELL_BYTES + slot * _RECORD.size
        _RECORD.pack_into(
            records,
            at,
            new.reporter + 1,
            new.incarnation,
            new.sequence,
            new.measured_at,
            new.values,
        )


def _class_medians(summaries: Sequence[RegionSummary]) -> tuple[tuple[float, float, float], ...]:
    rows = [{class_number: row for class_number, *row in s.classes} for s in summaries]
    found = []
    for class_number in range(max((max(row) + 1 for row in rows if row), default=0)):
        typical, tail, share = (
            upper_median([row.get(class_number, _NO_CLASS_CODES)[n] for row in rows])
            for n in range(3)
        )
        found.append(
            NO_CLASS_DATA
            if typical == NO_DATA_CODE
            else (DURATION_BY_CODE[typical], DURATION_BY_CODE[tail], CLASS_SHARE_BY_CODE[share])
        )
    return tuple(found)
