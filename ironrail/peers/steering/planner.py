"""Plans steering rows: changes regions' shares by zone in small steps, by the largest gain first.

All routers derive the same rows from the same data, as everything is visited in a fixed order.
Clients of closed zones are moved away as far as other zones have capacity; of overloaded zones
those clients leave that lose least; then the clients that gain most move to faster zones. No zone
is loaded above its limit. No I/O.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

from ironrail.peers.steering.cost_model import UNKNOWN_COST, CostModel, ZoneState, ZoneStatus
from ironrail.peers.steering.proposal import (
    DEFAULT_LIMITS,
    STEP_UNITS,
    UNITS_PER_REGION,
    ProposalLimits,
    ProposalReason,
    ShareChanges,
    SteeringProposal,
    SteeringRows,
    row_size_bytes,
    to_units,
)
from ironrail.peers.steering.regions import UNKNOWN_REGION


class SteeringPlanner:
    """Plans one proposal."""

    def __init__(
        self,
        rows_in_force: SteeringRows,
        costs: CostModel,
        rates: Mapping[tuple[str, str], float],
        zones: Mapping[str, ZoneState],
        weights: Mapping[str, float],
        recent_changes: ShareChanges = (),
        limits: ProposalLimits = DEFAULT_LIMITS,
    ) -> None:
        """Compute where clients are now.

        Args:
            rows_in_force: The rows to be replaced.
            costs: Cost of each region in each zone.
            rates: Measured requests/s by region and zone.
            zones: State of each zone.
            weights: Weight of each region's requests.
            recent_changes: Changes of rows within the dwell time.
            limits: Limits of the proposal.
        """
        self._limits, self._recent_changes = limits, frozenset(recent_changes)
        self._zones = {name: zones[name] for name in sorted(zones)}
        # The load once all clients follow the rows.
        self._expected_load = {name: zone.load for name, zone in self._zones.items()}
        self._intake = dict.fromkeys(self._zones, 0.0)
        self._unit_rate, self._units, self._costs, self._weight = {}, {}, {}, {}
        self._movable_units: dict[str, int] = {}
        measured: dict[str, dict[str, float]] = {}
        reported = dict.fromkeys(self._zones, 0.0)
        for (region, zone), rate in sorted(rates.items()):
            if zone in reported:
                reported[zone] += rate
                measured.setdefault(region, {})[zone] = rate
        for region in sorted(set(measured) - {UNKNOWN_REGION}):
            # The rates reported of a zone are scaled down to its load if they add up to more.
            here = {
                z: r * min(1.0, self._zones[z].load / reported[z])
                for z, r in measured[region].items()
                if reported[z]
            }
            rate = sum(here.values())
            row = rows_in_force.get(region) or {z: r / rate for z, r in here.items() if rate}
            units = {z: n for z, n in to_units(row).items() if z in self._zones}
            if not rate or not units:
                continue
            for zone in self._zones:
                self._expected_load[zone] += units.get(
                    zone, 0
                ) * rate / UNITS_PER_REGION - here.get(zone, 0.0)
            class_mix = costs.class_mix(region)
            self._unit_rate[region], self._units[region] = rate / UNITS_PER_REGION, units
            self._weight[region] = weights.get(region, 1.0)
            self._costs[region] = {z: costs.zone_cost(region, z, class_mix) for z in self._zones}
            self._movable_units[region] = int(limits.max_region_ratio * UNITS_PER_REGION)
        self._load = {
            name: max(zone.load, self._expected_load[name]) for name, zone in self._zones.items()
        }
        self._initial_units = {region: dict(units) for region, units in self._units.items()}
        self._rows_in_force = {r: dict(row) for r, row in sorted(rows_in_force.items())}
        self._budget = limits.max_moved_ratio * sum(zone.load for zone in self._zones.values())
        self._moves: set[tuple[str, str]] = set()
        self._reasons: set[ProposalReason] = set()
        self._unplaced: dict[str, float] = {}
        self._moved_rate = self._gain = 0.0

    def propose(self) -> SteeringProposal:
        """Return the proposal."""
        self._evacuate_closed_zones()
        self._relieve_overloaded_zones()
        total_cost = sum(
            self._unit_rate[r] * self._weight[r] * n * cost
            for r, units in self._units.items()
            for z, n in units.items()
            if (cost := self._marginal_cost(r, z)) < math.inf
        )
        self._move_to_faster_zones()
        self._explore()
        if (
            self._reasons == {ProposalReason.FASTER_ZONE}
            and self._gain < self._limits.min_total_gain_ratio * total_cost
        ):
            return SteeringProposal(None, ProposalReason.GAIN_TOO_SMALL)
        rows = dict(self._rows_in_force)
        for region, units in self._units.items():
            if units != self._initial_units[region]:
                rows[region] = {z: n / UNITS_PER_REGION for z, n in sorted(units.items())}
                if not units:
                    # No zone has capacity: the region's front ends choose by themselves.
                    del rows[region]
        if rows == self._rows_in_force:
            return SteeringProposal(None, ProposalReason.NO_GAIN, unplaced=self._unplaced)
        reason = next(reason for reason in ProposalReason if reason in self._reasons)
        return SteeringProposal(
            dict(sorted(rows.items())), reason, self._moved_rate, self._gain, self._unplaced
        )

    def _evacuate_closed_zones(self) -> None:
        """Move clients from closed zones to the best zones with capacity, by weight of region.

        As they can't stay, only the capacity of the other zones limits the move.
        """
        for region in sorted(self._units, key=lambda r: (-self._weight[r], r)):
            units = self._units[region]
            closed = [z for z in sorted(units) if self._zones[z].status is ZoneStatus.CLOSED]
            # Not assigned so far for lack of capacity.
            unassigned = UNITS_PER_REGION - sum(units.values())
            if not (unassigned or closed) or not self._fits_document(region, ""):
                continue
            unassigned += sum(units.pop(zone) for zone in closed)
            for target in sorted(self._zones, key=lambda z: (self._marginal_cost(region, z), z)):
                n = min(unassigned, self._free_units(region, target, ignores_intake=True))
                if n and self._marginal_cost(region, target) < math.inf:
                    unassigned -= n
                    self._add(region, target, n, ProposalReason.ZONE_CLOSED)
            if closed:
                self._reasons.add(ProposalReason.ZONE_CLOSED)
            self._unplaced |= {region: unassigned / UNITS_PER_REGION} if unassigned else {}

    def _relieve_overloaded_zones(self) -> None:
        for zone, state in self._zones.items():
            if (
                state.status is ZoneStatus.CLOSED
                or self._expected_load[zone] <= self._limits.overload_utilization * state.capacity
            ):
                continue
            candidates = []
            for region, units in self._units.items():
                here = self._costs[region][zone].fixed
                for target, cost in self._costs[region].items():
                    if units.get(zone) and target != zone and cost is not UNKNOWN_COST:
                        loss = self._marginal_cost(region, target) - (
                            here if here < math.inf else 0.0
                        )
                        candidates.append((self._weight[region] * loss, region, target))
            for _, region, target in sorted(candidates):
                excess = (
                    self._expected_load[zone] - self._limits.target_utilization * state.capacity
                )
                if excess <= 0.0:
                    break
                n = min(
                    math.ceil(excess / self._unit_rate[region]),
                    self._max_units(region, zone, target),
                )
                if n > 0 and (region, target, -1) not in self._recent_changes:
                    self._move(region, zone, target, n, ProposalReason.ZONE_OVERLOADED)

    def _move_to_faster_zones(self) -> None:
        """Move a few units at a time, as each step raises the cost of the zone that gets them."""
        candidates = []
        for region, units in self._units.items():
            for zone in units:
                gain, _ = self._best_target(region, zone)
                if gain:
                    candidates.append((-gain * self._weight[region], region, zone))
        heapq.heapify(candidates)
        while candidates:
            _, region, zone = heapq.heappop(candidates)
            gain, target = self._best_target(region, zone)  # after the steps so far
            candidate = (-gain * self._weight[region], region, zone)
            if not gain:
                continue
            is_outdated = bool(candidates) and candidate > candidates[0]
            n = min(STEP_UNITS, self._max_units(region, zone, target))
            if is_outdated or self._move(region, zone, target, n, ProposalReason.FASTER_ZONE):
                heapq.heappush(candidates, candidate)

    def _best_target(self, region: str, zone: str) -> tuple[float, str]:
        """Return the largest gain in seconds and its zone; 0 if it is below the minimum."""
        here = self._marginal_cost(region, zone)
        if here == math.inf or (region, zone, 1) in self._recent_changes:
            return 0.0, zone
        highest = here - max(self._limits.min_gain_seconds, self._limits.min_gain_ratio * here)
        best, lowest = zone, math.inf
        for target in self._zones:
            cost = self._marginal_cost(region, target)
            if cost > highest or cost >= lowest or (region, target, -1) in self._recent_changes:
                continue
            if self._max_units(region, zone, target) > 0:
                best, lowest = target, cost
        return (here - lowest, best) if lowest < math.inf else (0.0, zone)

    def _marginal_cost(self, region: str, zone: str) -> float:
        return self._costs[region][zone].marginal(self._load[zone], self._zones[zone].capacity)

    def _explore(self) -> None:
        """Move one unit of each region to the least loaded of the zones with unknown cost."""
        for region, units in self._units.items():
            unknown = [z for z, cost in self._costs[region].items() if cost is UNKNOWN_COST]
            known = [z for z in units if z not in unknown]
            exploring = sum(units.get(z, 0) for z in unknown)
            if not known or exploring + 1 > self._limits.exploration_ratio * UNITS_PER_REGION:
                continue
            zone = max(known, key=lambda z: (units[z], z))
            for target in sorted(
                unknown, key=lambda z: (self._load[z] / max(self._zones[z].capacity, 1e-9), z)
            ):
                if not units.get(target) and self._max_units(region, zone, target) >= 1:
                    self._move(region, zone, target, 1, ProposalReason.EXPLORATION)
                    break

    def _free_units(self, region: str, target: str, ignores_intake: bool = False) -> int:
        """Return how many units of the region the zone may still get.

        Args:
            region: The region.
            target: The zone.
            ignores_intake: Whether only the zone's utilization limits them, and not its intake.
        """
        zone, limits = self._zones[target], self._limits
        if zone.status is not ZoneStatus.OPEN:
            return 0
        free = limits.target_utilization * zone.capacity - self._load[target]
        if not ignores_intake:
            free = min(free, limits.max_intake_ratio * zone.capacity - self._intake[target])
        return max(0, math.floor(free / self._unit_rate[region]))

    def _max_units(self, region: str, zone: str, target: str) -> int:
        """Return how many units may move from one zone to the other within all limits."""
        if (target, zone) in self._moves:
            return 0  # moves in both directions can't both be a gain
        budget = math.floor(self._budget / self._unit_rate[region])
        return min(
            self._units[region].get(zone, 0),
            self._free_units(region, target),
            budget,
            self._movable_units[region],
        )

    def _move(self, region: str, zone: str, target: str, n: int, reason: ProposalReason) -> bool:
        if not self._fits_document(region, target):
            return False
        gain = self._marginal_cost(region, zone) - self._marginal_cost(region, target)
        units, rate = self._units[region], n * self._unit_rate[region]
        units[zone] -= n
        if not units[zone]:
            del units[zone]
        self._add(region, target, n, reason)
        self._load[zone] -= rate
        self._expected_load[zone] -= rate
        self._budget -= rate
        self._movable_units[region] -= n
        if math.isfinite(gain):
            self._gain += rate * self._weight[region] * gain
        self._moves.add((zone, target))
        return True

    def _add(self, region: str, target: str, n: int, reason: ProposalReason) -> None:
        rate = n * self._unit_rate[region]
        self._units[region][target] = self._units[region].get(target, 0) + n
        self._load[target] += rate
        self._expected_load[target] += rate
        self._intake[target] += rate
        self._moved_rate += rate
        self._reasons.add(reason)

    def _fits_document(self, region: str, target: str) -> bool:
        """Whether the document can hold the region's row with one more zone."""
        rows = {
            r: u
            for r, u in self._units.items()
            if r in self._rows_in_force or u != self._initial_units[r]
        }
        rows[region] = {**self._units[region], target: 1}
        return sum(row_size_bytes(r, u) for r, u in rows.items()) <= self._limits.max_rows_bytes
