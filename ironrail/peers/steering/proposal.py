"""Proposals of steering rows: their limits, their content, and recent changes of rows. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

STEP_UNITS = 4  # moved at once before the gains are compared again
# A region's clients are moved in this many parts; 1/64 is exact in binary and in decimal notation.
UNITS_PER_REGION = 64
SteeringRows = Mapping[str, Mapping[str, float]]  # region -> zone -> share, as in a policy
# Proposal intervals per dwell time; a wrong first step can be corrected after as many.
DWELL_PERIODS = 10
# With an interval of 60 s. A share that was raised isn't lowered for a gain alone within this time,
# and one that was lowered isn't raised.
DEFAULT_DWELL_SECONDS = 600.0


class ProposalReason(Enum):
    """Why rows are proposed, the most urgent reason first, or why none are."""

    ZONE_CLOSED = "readers are brought away from halls that are closed"
    ZONE_OVERLOADED = "halls have more than they can do"
    FASTER_ZONE = "readers are better served elsewhere"
    EXPLORATION = "halls of which nothing is known get the share that the operator allowed"
    NO_GAIN = "nothing would be gained"
    GAIN_TOO_SMALL = "less would be gained than a change is worth"


@dataclass(frozen=True, slots=True)
class ProposalLimits:
    """Limits of one proposal. Ratios of requests are by requests/s.

    Attributes:
        max_moved_ratio: Of all requests, except those in closed zones, so that wrong rows harm no
            more.
        max_region_ratio: Of each region's requests, with the same exception, even if its rate was
            reported wrong.
        max_intake_ratio: Of a zone's capacity that it gets in addition, so that the effect is
            measured before it gets more.
        target_utilization: Of its capacity to which a zone is filled.
        overload_utilization: Of its capacity; above it a zone is relieved down to
            `target_utilization`.
        min_gain_ratio: Of a client's response time; values are quantized with an error of 7 %.
        min_gain_seconds: Of a client's response time.
        min_total_gain_ratio: Of the cost of all clients; a smaller gain isn't worth a decision.
        max_rows_bytes: Size of the rows in the document, whose 3,072 bytes hold other fields, too.
        exploration_ratio: Of a region's clients that may go to unmeasured zones, as the operator
            permits.
    """

    max_moved_ratio: float = 0.10
    max_region_ratio: float = 0.25
    max_intake_ratio: float = 0.20
    target_utilization: float = 0.80
    overload_utilization: float = 0.90
    min_gain_ratio: float = 0.20
    min_gain_seconds: float = 0.010
    min_total_gain_ratio: float = 0.01
    max_rows_bytes: int = 2500
    exploration_ratio: float = 0.0


DEFAULT_LIMITS = ProposalLimits()


@dataclass(frozen=True, slots=True)
class SteeringProposal:
    """The result of planning.

    Attributes:
        rows: New rows, or None to keep those in force. A row with a sum below 1 leaves the rest
            unassigned, as no zone has capacity for it.
        reason: Why.
        moved_rate: Requests/s that are moved.
        gain: Weighted seconds of response time that are saved per second.
        unplaced: Share that no zone has capacity for, by region.
    """

    rows: dict[str, dict[str, float]] | None
    reason: ProposalReason
    moved_rate: float = 0.0
    gain: float = 0.0
    unplaced: dict[str, float] = field(default_factory=dict)


ShareChanges = Collection[tuple[str, str, int]]  # (region, zone, 1 if raised or -1 if lowered)


class ChangeHistory:
    """Recent changes of the rows in force, none of which is reverted within the dwell time."""

    def __init__(self, dwell: float = DEFAULT_DWELL_SECONDS) -> None:
        """Begin without changes; `dwell` is in seconds."""
        self._dwell, self._changes = dwell, dict[tuple[str, str, int], float]()
        self._rows: SteeringRows = {}

    def record(
        self, now: float, rows: SteeringRows, observed_shares: Callable[[str], Mapping[str, float]]
    ) -> None:
        """Record the rows in force.

        Args:
            now: Time on this router's clock.
            rows: The rows.
            observed_shares: Returns the shares by which a region's clients arrive; they stand for
                the previous row of a region that had none.
        """
        for region, row in rows.items():
            before = self._rows.get(region)
            if before == row:
                continue
            before = before or observed_shares(region)
            for zone in sorted({*row, *before}):
                step = row.get(zone, 0.0) - before.get(zone, 0.0)
                if abs(step) * UNITS_PER_REGION >= 0.999:
                    self._changes[region, zone, 1 if step > 0.0 else -1] = now
        self._rows = {region: dict(row) for region, row in rows.items()}
        self._changes = {
            change: at for change, at in self._changes.items() if now - at <= self._dwell
        }

    def recent(self, now: float) -> ShareChanges:
        """Return the changes within the dwell time."""
        return frozenset(change for change, at in self._changes.items() if now - at <= self._dwell)


def row_size_bytes(region: str, row: Mapping[str, object]) -> int:
    """Return an upper bound of the size of a row in a policy document."""
    return len(region.encode()) + 5 + sum(len(zone.encode()) + 11 for zone in row)


def to_units(row: Mapping[str, float]) -> dict[str, int]:
    """Return shares as whole units by the largest remainder method; a sum below 1 stays below 1."""
    total = min(UNITS_PER_REGION, round(UNITS_PER_REGION * sum(row.values())))
    found = {zone: int(UNITS_PER_REGION * share) for zone, share in sorted(row.items())}
    by_remainder = sorted(row, key=lambda zone: (found[zone] - UNITS_PER_REGION * row[zone], zone))
    for zone in by_remainder[: max(0, total - sum(found.values()))]:
        found[zone] += 1
    return {zone: n for zone, n in found.items() if n}
