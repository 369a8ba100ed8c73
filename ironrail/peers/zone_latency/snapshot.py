"""Snapshots of the links to other zones for the policy, published only on significant changes.

Does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.report_table import UNKNOWN_LINK, LinkEstimate

MIN_CHANGE_FACTOR = 1.5  # of a round trip; the steps of the bucket scale are 1.21
MIN_CHANGE_SECONDS = 0.0005  # of a round trip; smaller changes affect no decision
MIN_CHANGE_LOSS_RATIO = 0.2
MIN_CHANGE_AGE_SECONDS = 60.0  # of newer evidence; without it the published age would mislead
MIN_INTERVAL_SECONDS = 2.0  # between two snapshots that differ in figures only
RECOVERY_HOLD_SECONDS = 2.0  # for which a better state must last; a worse one is published at once


@dataclass(frozen=True, slots=True)
class LinkSnapshot:
    """The link to a zone. An unknown link has the worst figures, so that it never looks near.

    Attributes:
        zone: Name of the other zone.
        state: State of the link.
        fastest: Seconds of a quick round trip at present.
        median: Seconds of the median round trip.
        loss_ratio: Of round trips.
        evidence_at: Time of the evidence on this router's clock.
        num_reporters: Routers whose reports were used.
    """

    zone: str
    state: MeasuredLinkState = MeasuredLinkState.UNKNOWN
    fastest: float = math.inf
    median: float = math.inf
    loss_ratio: float = 1.0
    evidence_at: float = -math.inf
    num_reporters: int = 0

    def age(self, now: float) -> float:
        """Return the seconds since the evidence, infinite if there is none."""
        return now - self.evidence_at


@dataclass(frozen=True, slots=True)
class LinksSnapshot:
    """All links from this router's zone.

    Attributes:
        version: Grows by one with each published snapshot.
        zone: Name of the router's own zone.
        links: In the order of the zones in the settings.
    """

    version: int
    zone: str
    links: tuple[LinkSnapshot, ...]


@dataclass(slots=True)
class SnapshotPublisher:
    """Holds the latest published snapshot, and decides when another one is due.

    Attributes:
        own_zone: Name of the router's own zone.
        zones: Names of all zones.
        latest: The latest published snapshot.
    """

    own_zone: str
    zones: Sequence[str]
    latest: LinksSnapshot = field(init=False)
    _published_at: float = -math.inf
    _better_since: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with all links unknown."""
        self.latest = LinksSnapshot(
            0, self.own_zone, tuple(LinkSnapshot(zone) for zone in self.zones)
        )

    def update(self, now: float, estimates: Sequence[LinkEstimate]) -> LinksSnapshot | None:
        """Return a new snapshot if one is due, else None.

        Args:
            now: Current time.
            estimates: Of each link, in the order of `zones`.
        """
        is_due = False
        links = list(self.latest.links)
        for number, (link, estimate) in enumerate(zip(self.latest.links, estimates, strict=True)):
            is_better = MeasuredLinkState.UNKNOWN < estimate.state < link.state
            since = self._better_since.setdefault(number, now) if is_better else now
            if not is_better:
                self._better_since.pop(number, None)
            if is_better and now - since < RECOVERY_HOLD_SECONDS:
                continue  # the figures stay those of the published state
            has_waited = now - self._published_at >= MIN_INTERVAL_SECONDS
            is_due = (
                is_due
                or estimate.state is not link.state
                or (has_waited and _is_significant(link, estimate, now))
            )
            links[number] = LinkSnapshot(
                link.zone, estimate.state, estimate.fastest, estimate.median, estimate.loss_ratio,
                now - estimate.age, estimate.num_reporters,
            )  # fmt: skip
        if not is_due:
            return None
        self._published_at = now
        self.latest = LinksSnapshot(self.latest.version + 1, self.own_zone, tuple(links))
        return self.latest


def _is_significant(link: LinkSnapshot, estimate: LinkEstimate, now: float) -> bool:
    """Return whether the figures differ enough from the published ones for a new snapshot."""
    if estimate is UNKNOWN_LINK:
        return False
    pairs = ((link.fastest, estimate.fastest), (link.median, estimate.median))
    if (
        abs(link.loss_ratio - estimate.loss_ratio) >= MIN_CHANGE_LOSS_RATIO
        or link.age(now) - estimate.age >= MIN_CHANGE_AGE_SECONDS
    ):
        return True
    return any(
        a != b and abs(a - b) >= max(MIN_CHANGE_SECONDS, (MIN_CHANGE_FACTOR - 1.0) * min(a, b))
        for a, b in pairs
    )
