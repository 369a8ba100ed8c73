"""The zone latency protocol, driven by the peers' runtime.

Routers measure the links from their own zone, exchange reports on them by gossip, and keep the
same table of all links between zones. Does no I/O and reads no clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from ironrail.errors import InputError
from ironrail.peers.messages import MAX_ZONES, Outgoing, Priority, Received, Topic
from ironrail.peers.zone_latency.gossip_scheduler import GossipScheduler
from ironrail.peers.zone_latency.link_monitor import LinkMonitor
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.report_table import LinkEstimate, LinkReportTable
from ironrail.peers.zone_latency.reports import (
    LinkReport,
    ReportError,
    decode,
    is_significant_change,
    pack_values,
)
from ironrail.peers.zone_latency.snapshot import LinksSnapshot, SnapshotPublisher

# of the refresh interval, between two reports of a link that differ in figures only
MIN_REPORT_INTERVAL_FRACTION = 0.25
SNAPSHOT_INTERVAL_SECONDS = 0.25  # between two checks whether a snapshot is due
SWEEP_INTERVAL_SECONDS = 5.0  # between two checks for reports to refresh or to remove
# of the refresh interval, by which a refresh may come early; spreads routers that start together
REFRESH_JITTER_FRACTION = 0.25


class HallsError(InputError):
    """The zones in the settings are not valid."""

    advice = "Give each router of `peers` one of at most 64 different halls."


class ZoneLatencyProtocol:
    """One router's part in the protocol.

    Attributes:
        table: Reports of all routers.
        monitor: This router's own measurements.
        unusable: Number of messages that could not be decoded.
        preferred_peer: Called with the time; the router that gets the next message, None for any.
    """

    topic = Topic.ZONE_LATENCY

    def __init__(
        self,
        now: float,
        own_index: int,
        incarnation: int,
        zones: Sequence[str],
        router_zones: Sequence[int],
        rng: random.Random,
    ) -> None:
        """Initialize the protocol without any report.

        Args:
            now: Current time.
            own_index: Number of this router.
            incarnation: Of this process, greater than those of earlier ones.
            zones: Names of all zones.
            router_zones: Zone number of each router.
            rng: Source of the jitter and of the choice of peers.

        Raises:
            HallsError: The zones are not valid.
        """
        if len(set(zones)) < len(zones) or not 0 < len(zones) <= MAX_ZONES:
            raise HallsError(
                f"{len(zones)} zones, expected 1 to {MAX_ZONES} distinct ones", "halls"
            )
        if not 0 <= own_index < len(router_zones) or not all(
            0 <= zone < len(zones) for zone in router_zones
        ):
            raise HallsError("a router has no zone", "peers")
        self._own_index, self._incarnation, self._rng = own_index, incarnation, rng
        self._own_zone, self._num_routers, self._num_zones = (
            router_zones[own_index],
            len(router_zones),
            len(zones),
        )
        self.table = LinkReportTable(router_zones, len(zones))
        self.monitor = LinkMonitor(self._own_zone, self._is_suspected)
        self._gossip = GossipScheduler(self.table)
        self._publisher = SnapshotPublisher(zones[self._own_zone], zones)
        self._sequences: dict[int, int] = {}
        self._reported_at: dict[int, float] = {}
        self._refresh_at: dict[int, float] = {}
        self._outgoing: list[Outgoing] = []
        self._new_snapshot: LinksSnapshot | None = None
        self._snapshot_at, self._sweep_at = now, now + SWEEP_INTERVAL_SECONDS
        self.unusable = 0
        self.preferred_peer: Callable[[float], int | None] = lambda now: None

    def record_round_trip(self, now: float, to_zone: int, seconds: float) -> None:
        """Record a measured round trip, less the other side's processing time if it is known."""
        closed = self.monitor.record_round_trip(now, to_zone, seconds)
        if closed is not None:
            self._report_if_due(now, closed)

    def record_loss(self, now: float, to_zone: int) -> None:
        """Record that an answer did not arrive."""
        closed = self.monitor.record_loss(now, to_zone)
        if closed is not None:
            self._report_if_due(now, closed)

    def record_reply(self, now: float, to_zone: int) -> None:
        """Record a reply whose round trip is not known."""
        closed = self.monitor.record_reply(now, to_zone)
        if closed is not None:
            self._report_if_due(now, closed)

    def record_silence(self, now: float, to_zone: int, seconds: float) -> None:
        """Record that a reply was awaited for some seconds, and nothing arrived."""
        closed = self.monitor.record_silence(now, to_zone, seconds)
        if closed is not None:
            self._report_if_due(now, closed)

    def on_message(self, now: float, received: Received) -> None:
        """Merge the reports of a message."""
        try:
            reports = decode(received.body, self._num_routers, self._num_zones)
        except ReportError:
            self.unusable += 1
            return
        for report in reports:
            if report.reporter != self._own_index:  # no other router reports for this one
                self._gossip.enqueue(report.reporter, report.to_zone, self.table.merge(now, report))

    def on_timer(self, now: float) -> None:
        """Close windows, refresh reports, update the snapshot, and send a message if due."""
        for zone in self.monitor.close_due_windows(now):
            self._report_if_due(now, zone)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_SECONDS
            self.table.remove_expired(now)
            for zone, tracker in self.monitor.trackers.items():
                stored = self.table.stored(self._own_index, zone)
                if now >= self._refresh_at.get(zone, math.inf) and (
                    stored is None or tracker.evidence_at > stored.evidence_at
                ):
                    self._report(now, zone)
        if now >= self._snapshot_at:
            self._snapshot_at = now + SNAPSHOT_INTERVAL_SECONDS
            links = [
                self.table.estimate(now, self._own_zone, to_zone)
                for to_zone in range(self._num_zones)
            ]
            self._new_snapshot = self._publisher.update(now, links) or self._new_snapshot
        if self._num_routers > 1 and now >= self._gossip.next_message_at():
            body = self._gossip.compose_message(now)
            if body:
                self._outgoing.append(
                    Outgoing(self._choose_peer(now), self.topic, body, Priority.GOSSIP)
                )

    def _choose_peer(self, now: float) -> int:
        """Return a random peer after changes of state, to spread them; else the preferred one."""
        preferred = None if self._gossip.is_urgent else self.preferred_peer(now)
        if preferred is not None:
            return preferred
        peer = self._rng.randrange(self._num_routers - 1)
        return peer + (peer >= self._own_index)

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, once."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def next_timer_at(self) -> float:
        """Return when the timer is due."""
        # a router without peers sends nothing
        message_at = self._gossip.next_message_at() if self._num_routers > 1 else math.inf
        return min(self._snapshot_at, self._sweep_at, self.monitor.next_window_end(), message_at)

    def take_snapshot(self) -> LinksSnapshot | None:
        """Return the latest snapshot if it is newer than the last one taken, else None."""
        snapshot, self._new_snapshot = self._new_snapshot, None
        return snapshot

    def estimate(self, now: float, from_zone: int, to_zone: int) -> LinkEstimate:
        """Return what is known of a link between any two zones."""
        return self.table.estimate(now, from_zone, to_zone)

    def _is_suspected(self, now: float, zone: int) -> bool:
        return self.table.is_suspected(now, self._own_zone, zone, self._own_index)

    def _report_if_due(self, now: float, zone: int) -> None:
        """Report new evidence if it differs enough from the last report, or a refresh is due."""
        tracker = self.monitor.trackers[zone]
        if tracker.state is MeasuredLinkState.UNKNOWN:
            return
        stored = self.table.stored(self._own_index, zone)
        if zone in self._reported_at:
            values = pack_values(tracker.state, *tracker.figures())
            if stored is None or stored.incarnation != self._incarnation:
                is_due = now >= self._refresh_at[zone]
            elif stored.packed_values >> 16 != tracker.state:
                is_due = True
            else:
                is_due = (
                    now - self._reported_at[zone]
                    >= MIN_REPORT_INTERVAL_FRACTION * self.table.refresh_interval
                ) and is_significant_change(stored.packed_values, values)
            if not is_due:
                return
        self._report(now, zone)

    def _report(self, now: float, zone: int) -> None:
        """Add a report of this router to the table, and queue it for sending."""
        tracker = self.monitor.trackers[zone]
        self._sequences[zone] = sequence = self._sequences.get(zone, 0) + 1
        self._reported_at[zone] = now
        self._refresh_at[zone] = now + self.table.refresh_interval * (
            1.0 - REFRESH_JITTER_FRACTION * self._rng.random()
        )
        age = max(0.0, now - tracker.evidence_at)
        report = LinkReport(
            self._own_index,
            self._incarnation,
            zone,
            sequence,
            pack_values(tracker.state, *tracker.figures()),
            age,
        )
        self._gossip.enqueue(self._own_index, zone, self.table.merge(now, report))
