"""The steering protocol: gossips reports on regions, and proposes steering rows from them. No I/O.

A router that learns a report forwards it to a few peers that it picks at random, the newest and
largest changes first, within a rate limit. Unchanged values are reported again after a renewal
interval.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping, Sequence

from ironrail.errors import InputError
from ironrail.peers.messages import MAX_ROUTERS, MAX_ZONES, Outgoing, Priority, Received, Topic
from ironrail.peers.steering.cost_model import (
    CLOSED_ZONE,
    EQUAL_WEIGHTS,
    CostModel,
    RequestWeights,
    ZoneState,
)
from ironrail.peers.steering.local_statistics import LocalStatistics, time_left
from ironrail.peers.steering.planner import SteeringPlanner
from ironrail.peers.steering.proposal import (
    DEFAULT_LIMITS,
    ChangeHistory,
    ProposalLimits,
    SteeringProposal,
    SteeringRows,
)
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.report_table import NEW_REPORT_CHANGE, CellEstimate, RegionReportTable
from ironrail.peers.steering.reports import (
    MAX_BODY_BYTES,
    MAX_CLASSES,
    MAX_SEQUENCE,
    RegionReport,
    RegionReportError,
    decode,
    encode,
    unpack,
)

RATE_LIMIT_BYTES_PER_SECOND = 400.0  # of the 2 kB/s that a router may send to its peers
HEADER_BYTES = 56  # of a datagram besides the body
FORWARD_COPIES = 4  # per router and report: it reaches 98 % of the routers, its renewal the rest
MAX_PENDING_REPORTS = 2048  # to be forwarded; beyond it those of the least change are dropped
# Many are dropped at once: selecting them takes a pass over all, 0.5 ms if it were made for each
# report.
PENDING_REPORTS_AFTER_TRIM = MAX_PENDING_REPORTS * 7 // 8
REGION_CHECK_SECONDS = 5  # in which each region is checked once for changes to report
MIN_REPORTED_CHANGE = 2  # duration buckets, a factor of 1.3; smaller changes wait for the renewal
MIN_REPORT_INTERVAL_SECONDS = 15.0  # between two reports on a region because of changed values


class SteeringConfigError(InputError):
    """Zones or routers that are invalid or too many."""

    advice = "Give each router of `peers` one of at most 64 different zones in `peers.halls`."


class SteeringProtocol:
    """One router's part in the steering protocol, a `PeerProtocol`.

    Attributes:
        topic: The topic of its messages.
        table: All stored reports.
        local: This router's own measurements.
        history: Recent changes of the rows in force.
        unusable: Number of messages that were not valid reports on these regions.
    """

    topic = Topic.STEERING

    def __init__(
        self,
        now: float,
        own_index: int,
        incarnation: int,
        regions: Regions,
        zones: Sequence[str],
        zone_of: Sequence[int],
        classes: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Begin without reports.

        Args:
            now: Time on this router's clock.
            own_index: This router's index.
            incarnation: Incarnation of this process, greater than those of its predecessors.
            regions: The region definitions.
            zones: Names of all zones.
            zone_of: Zone number of each router.
            classes: Request classes, in the same order at all routers; only the first six are
                reported.
            rng: Picks the peers.

        Raises:
            SteeringConfigError: There are too many zones or routers, a zone is named twice, or a
                router has no zone.
        """
        if (
            len(set(zones)) < len(zones)
            or not 0 < len(zones) <= MAX_ZONES
            or len(zone_of) > MAX_ROUTERS
        ):
            raise SteeringConfigError(
                f"{len(zones)} zones and {len(zone_of)} routers:"
                " too many, none, or a zone named twice",
                "peers",
            )
        if not 0 <= own_index < len(zone_of) or not all(0 <= zone < len(zones) for zone in zone_of):
            raise SteeringConfigError("a router has no zone", "peers")
        self._own_index, self._incarnation, self._rng = own_index, incarnation, rng
        self._zones, self._zone_of, self._classes = (
            tuple(zones),
            zone_of,
            tuple(classes[:MAX_CLASSES]),
        )
        self._regions, self._class_numbers = (
            regions,
            {name: n for n, name in enumerate(self._classes)},
        )
        self.table = RegionReportTable(zone_of, len(zones), len(regions.names))
        self.local, self.history = LocalStatistics(now), ChangeHistory()
        self._sequence = 0
        # (reporter, region): change, copies left to send, time of arrival
        self._pending: dict[tuple[int, int], tuple[int, int, float]] = {}
        self._reported_at: dict[int, float] = {}
        self._outgoing: list[Outgoing] = []
        self._tokens, self._tokens_at, self._tick, self._tick_at = 0.0, now, 0, now
        self.unusable = 0

    def record_client_rtt(self, now: float, region: str, seconds: float) -> None:
        """Record a client's round-trip time from its socket."""
        self.local.record_client_rtt(now, self._regions.numbers.get(region, 0), seconds)

    def record_request(
        self,
        now: float,
        region: str,
        request_class: str,
        seconds: float,
        is_on_time: bool,
        is_abandoned: bool,
    ) -> None:
        """Record the end of a request; request classes that aren't reported are ignored."""
        number = self._class_numbers.get(request_class)
        if number is not None:
            region_number = self._regions.numbers.get(region, 0)
            self.local.record_request(now, region_number, number, seconds, is_on_time, is_abandoned)

    def time_left(self, now: float, region: str, left: float) -> float:
        """Return the seconds until a response that the client needs in `left` has to be ready."""
        return time_left(left, self.local.return_seconds(now, self._regions.numbers.get(region, 0)))

    def on_message(self, now: float, received: Received) -> None:
        """Merge the reports of a message and forward those that are new."""
        try:
            reports = decode(
                received.body, self._regions.digest, len(self._zone_of), len(self._regions.names)
            )
        except RegionReportError:
            self.unusable += 1
            return
        for report in reports:
            if report.reporter != self._own_index:  # own reports come from own measurements only
                self._merge_and_forward(now, report)

    def on_timer(self, now: float) -> None:
        """Check some regions for changes to report, and send if the rate limit allows."""
        if now >= self._tick_at:
            self._tick_at = now + 1.0
            self._tick += 1
            for region in list(self.local.regions()):
                if (region + self._tick) % REGION_CHECK_SECONDS == 0:
                    self._report_if_due(now, region)
        self._tokens = min(
            MAX_BODY_BYTES + HEADER_BYTES,
            self._tokens + RATE_LIMIT_BYTES_PER_SECOND * max(0.0, now - self._tokens_at),
        )
        self._tokens_at = now
        # 1e-6 for rounding errors of sums
        if self._pending and self._tokens > MAX_BODY_BYTES + HEADER_BYTES - 1e-6:
            self._compose_message(now)

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, once."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def next_timer_at(self) -> float:
        """Return when the timer is due."""
        if not self._pending:
            return self._tick_at
        return min(
            self._tick_at,
            self._tokens_at
            + (MAX_BODY_BYTES + HEADER_BYTES - self._tokens) / RATE_LIMIT_BYTES_PER_SECOND,
        )

    def cell_estimates(self, now: float) -> dict[tuple[str, str], CellEstimate]:
        """Return all estimates by region and zone; what is missing is unknown."""
        names = self._regions.names
        return {(names[r], self._zones[z]): cell for r, z, cell in self.table.cell_estimates(now)}

    def record_rows_in_force(self, now: float, rows: SteeringRows) -> None:
        """Record the rows in force, which starts the dwell time of each changed share."""
        self.history.record(now, rows, lambda region: self._observed_shares(now, region))

    def propose(
        self,
        now: float,
        rows: SteeringRows,
        zones: Mapping[str, ZoneState],
        links: Mapping[str, float],
        weights: RequestWeights = EQUAL_WEIGHTS,
        limits: ProposalLimits = DEFAULT_LIMITS,
    ) -> SteeringProposal:
        """Propose rows to replace those in force.

        Args:
            now: Time on this router's clock.
            rows: The rows in force.
            zones: State of each zone; a missing zone is closed.
            links: See `CostModel`.
            weights: Weights of requests.
            limits: Limits of the proposal.
        """
        cells = self.cell_estimates(now)
        known = {name: zones.get(name, CLOSED_ZONE) for name in self._zones}
        costs = CostModel(cells, links, known, self._classes, weights)
        rates = {key: cell.rate for key, cell in cells.items()}
        region_weights = {name: weights.of_region(name) for name in self._regions.names}
        return SteeringPlanner(
            rows, costs, rates, known, region_weights, self.history.recent(now), limits
        ).propose()

    def _observed_shares(self, now: float, region: str) -> dict[str, float]:
        number = self._regions.numbers.get(region, 0)
        found = {zone: self.table.estimate(now, n, number) for n, zone in enumerate(self._zones)}
        total = sum(cell.rate for cell in found.values() if cell is not None)
        return {zone: cell.rate / total for zone, cell in found.items() if cell is not None}

    def _report_if_due(self, now: float, region: int) -> None:
        """Report on a region in the own zone if its values changed enough or a renewal is due."""
        summary = self.local.summary(now, region)
        if summary is None or not self.table.would_store(now, self._own_index, region):
            return
        stored = self.table.stored(self._own_index, region)
        if stored is not None and stored.incarnation == self._incarnation:
            since = now - self._reported_at.get(region, -math.inf)
            change = summary.difference(unpack(stored.values))
            if since < MIN_REPORT_INTERVAL_SECONDS or (
                change < MIN_REPORTED_CHANGE and since < self.table.renewal_seconds
            ):
                return
        self._sequence = min(MAX_SEQUENCE - 1, self._sequence + 1)
        self._reported_at[region] = now
        self._merge_and_forward(
            now,
            RegionReport(
                self._own_index, self._incarnation, region, self._sequence, summary.pack(), 0.0
            ),
        )

    def _merge_and_forward(self, now: float, report: RegionReport) -> None:
        change = self.table.merge(now, report)
        if change < 0 or len(self._zone_of) == 1:
            return
        key = report.reporter, report.region
        before = self._pending.get(key, (0, 0, 0.0))[0]
        self._pending[key] = max(before, min(change, NEW_REPORT_CHANGE)), FORWARD_COPIES, now
        if len(self._pending) > MAX_PENDING_REPORTS:
            kept = heapq.nlargest(
                PENDING_REPORTS_AFTER_TRIM,
                self._pending.items(),
                key=lambda item: (item[1][0], item[1][2]),
            )
            self._pending = dict(kept)

    def _compose_message(self, now: float) -> None:
        max_reports = MAX_BODY_BYTES // 7  # no report takes less
        first = heapq.nlargest(
            max_reports, self._pending.items(), key=lambda item: (item[1][0], item[1][2], item[0])
        )
        reports = []
        for (reporter, region), _ in first:
            report = self.table.report_to_forward(now, reporter, region)
            if report is None:
                del self._pending[reporter, region]
            else:
                reports.append(report)
        body, taken = encode(self._regions.digest, reports)
        for sent in reports[:taken]:
            change, copies, at = self._pending.pop((sent.reporter, sent.region))
            if copies > 1:
                self._pending[sent.reporter, sent.region] = change, copies - 1, at
        if taken:
            self._tokens -= len(body) + HEADER_BYTES
            peer = self._rng.randrange(len(self._zone_of) - 1)
            self._outgoing.append(
                Outgoing(peer + (peer >= self._own_index), self.topic, body, Priority.GOSSIP)
            )
