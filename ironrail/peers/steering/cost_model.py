"""The expected response time of a region's clients in each zone, weighted; infinite if unknown.

The cost of one more request in a zone is its own time plus the time by which it delays the other
requests there. Service time is assumed to grow with load as in a queue, as
1 / (1 - load / capacity), so the marginal cost grows with the square of that. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from ironrail.peers.steering.report_table import CellEstimate

# A region's own service times are used unless they are older than the zone's latest by more than
# this.
MAX_AGE_LAG_SECONDS = 300.0
# Where the mean lies between median and tail: 0.10 to 0.16 in lognormal distributions with sigma
# 0.5 to 1.
MEAN_POSITION_FRACTION = 0.125
LATE_PENALTY_SECONDS = 0.5  # added to the time of a request that misses its latency objective
# Requests/s per router. At lower rates a region's own service time can't be told from chance; this
# one gives about 80 samples.
MIN_REGION_RATE_PER_ROUTER = 1.0
MAX_UTILIZATION = 0.9  # of a zone's capacity; the queueing formula does not hold beyond it
MIN_REPORTERS = 2  # of a zone to which clients are moved, if it has that many routers

CellEstimates = Mapping[tuple[str, str], CellEstimate]  # by region and zone


class ZoneStatus(IntEnum):
    """Whether clients may be moved to a zone, by what is known of it."""

    OPEN = 0
    COLD = 1  # keeps its clients, gets no more
    CLOSED = 2  # emptied by the policy or without servers: its clients have to leave


@dataclass(frozen=True, slots=True)
class ZoneState:
    """The current state of a zone.

    Attributes:
        capacity: Requests/s that its servers can handle.
        load: Requests/s that it gets from all regions.
        status: Whether clients may be moved there.
        num_routers: Number of its routers.
    """

    capacity: float
    load: float
    status: ZoneStatus = ZoneStatus.OPEN
    num_routers: int = 1


CLOSED_ZONE = ZoneState(0.0, 0.0, ZoneStatus.CLOSED)


@dataclass(frozen=True)
class RequestWeights:
    """Weights of requests: that of the class times that of the titles that a region's clients read.

    Attributes:
        classes: Weight by request class; 1 if it is missing.
        titles: Weight by title; 1 if it is missing.
        title_shares: Share of each title in the requests of a region, by region.
    """

    classes: Mapping[str, float] = field(default_factory=dict)
    titles: Mapping[str, float] = field(default_factory=dict)
    title_shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)

    def of_region(self, region: str) -> float:
        """Return the weight of a region by its titles; 1 if none of them is known."""
        shares = self.title_shares.get(region, {})
        rest = max(0.0, 1.0 - sum(shares.values()))
        return rest + sum(
            share * self.titles.get(title, 1.0) for title, share in sorted(shares.items())
        )


EQUAL_WEIGHTS = RequestWeights()


class ZoneCost(NamedTuple):
    """The expected time of a region's requests in a zone.

    Attributes:
        fixed: Seconds that don't depend on the load.
        idle: Seconds of service without load.
    """

    fixed: float
    idle: float

    def marginal(self, load: float, capacity: float) -> float:
        """Return the seconds that one more request costs all clients at this load of the zone."""
        return self.fixed + self.idle / (1.0 - _utilization(load, capacity)) ** 2


UNKNOWN_COST = ZoneCost(math.inf, math.inf)


class CostModel:
    """Estimates the time from a client's request to its response, in each zone.

    It is the sum of the round trip to the zone, the round trip from there to its caches, the
    service time, and a penalty for late responses.
    """

    def __init__(
        self,
        cells: CellEstimates,
        links: Mapping[str, float],
        zones: Mapping[str, ZoneState],
        classes: tuple[str, ...],
        weights: RequestWeights,
    ) -> None:
        """Prepare the service times of each zone.

        Args:
            cells: What is known of regions in zones.
            links: Seconds from a zone to its caches that the measured service time does not
                include; a missing or infinite value is unknown.
            zones: State of each zone.
            classes: Request classes by number, as in `cells`.
            weights: Weights of requests.
        """
        self._cells, self._links, self._zones = cells, links, zones
        self._class_weights = [weights.classes.get(name, 1.0) for name in classes]
        by_zone: dict[str, list[CellEstimate]] = {}
        for (_, zone), cell in sorted(cells.items(), key=lambda item: item[0]):
            by_zone.setdefault(zone, []).append(cell)
        self._youngest_age = {
            zone: min(cell.age for cell in there) for zone, there in by_zone.items()
        }
        self._zone_service = {
            zone: self._service([cell for cell in there if self._is_recent(zone, cell)])
            for zone, there in by_zone.items()
        }

    def class_mix(self, region: str) -> list[float]:
        """Return each class's weighted rate of the region's requests in all zones together."""
        found = [0.0] * len(self._class_weights)
        for zone in sorted(self._zones):
            cell = self._cells.get((region, zone))
            if cell is not None:
                for class_number, (weight, (_, _, share)) in enumerate(
                    zip(self._class_weights, cell.classes, strict=False)
                ):
                    found[class_number] += weight * share * cell.rate
        return found

    def zone_cost(self, region: str, zone: str, class_mix: list[float]) -> ZoneCost:
        """Return the cost of a region in a zone; `UNKNOWN_COST` if any part is unknown."""
        cell, link, state = (
            self._cells.get((region, zone)),
            self._links.get(zone, math.inf),
            self._zones[zone],
        )
        if (
            cell is None
            or not sum(class_mix)
            or cell.num_reporters < min(MIN_REPORTERS, state.num_routers)
        ):
            return UNKNOWN_COST
        has_enough_samples = (
            cell.rate >= MIN_REGION_RATE_PER_ROUTER * state.num_routers
            and self._is_recent(zone, cell)
        )
        own, late = self._service([cell]) if has_enough_samples else self._zone_service[zone]
        general, _ = self._zone_service[zone]
        service = 0.0
        for part, own_seconds, general_seconds in zip(class_mix, own, general, strict=True):
            if part:
                service += (
                    part
                    / sum(class_mix)
                    * (own_seconds if math.isfinite(own_seconds) else general_seconds)
                )
        idle = service * (1.0 - _utilization(state.load, state.capacity))
        fixed = cell.rtt + link + LATE_PENALTY_SECONDS * late
        return ZoneCost(fixed, idle) if math.isfinite(fixed + idle) else UNKNOWN_COST

    def _is_recent(self, zone: str, cell: CellEstimate) -> bool:
        return cell.age <= self._youngest_age[zone] + MAX_AGE_LAG_SECONDS

    def _service(self, cells: list[CellEstimate]) -> tuple[list[float], float]:
        """Return the mean service time by class and the late fraction, as weighted medians."""
        found = []
        for class_number in range(len(self._class_weights)):
            means = [
                (typical + MEAN_POSITION_FRACTION * (tail - typical), cell.rate * share)
                for cell in cells
                for typical, tail, share in cell.classes[class_number : class_number + 1]
                if math.isfinite(typical)
            ]
            found.append(_weighted_median(means))
        return found, _weighted_median([(cell.late, cell.rate) for cell in cells])


def _utilization(load: float, capacity: float) -> float:
    return min(MAX_UTILIZATION, load / capacity) if capacity else MAX_UTILIZATION


def _weighted_median(pairs: list[tuple[float, float]]) -> float:
    """Return the median of (value, weight) pairs; infinite if there are none."""
    left = sum(weight for _, weight in pairs) / 2
    for value, weight in sorted(pairs):
        left -= weight
        if left <= 0.0:
            return value
    return max(pairs)[0] if pairs else math.inf
