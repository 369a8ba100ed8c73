"""Rows of steering: of each region the shares of halls, changed by little where much is gained. Pure.

The same rows come of the same evidence at every router: everything is gone through in one order. Where a hall
is closed its readers are brought away, as far as there is room; where one has more than it can do, those go
who lose least; then whoever gains most goes to where it is better served. No hall is brought over its room.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

from ironrail.peers.steering.cost_model import NO_WAY, Expected, Hall, Standing
from ironrail.peers.steering.proposal import (
    STEP,
    UNITS,
    USUAL,
    Bounds,
    Proposal,
    Reason,
    Rows,
    Steps,
    size_of,
    units_of,
)
from ironrail.peers.steering.regions import UNKNOWN


class Steering:
    """One proposal's work."""

    def __init__(
        self,
        in_force: Rows,
        expected: Expected,
        rates: Mapping[tuple[str, str], float],
        halls: Mapping[str, Hall],
        worths: Mapping[str, float],
        lately: Steps = (),
        bounds: Bounds = USUAL,
    ) -> None:
        """`rates`: requests/s by region and hall as seen; `worths` by region; `lately`: within the dwell."""
        self._bounds, self._lately = bounds, frozenset(lately)
        self._halls = {name: halls[name] for name in sorted(halls)}
        self._coming = {name: hall.load for name, hall in self._halls.items()}  # once all follow the rows
        self._taken = dict.fromkeys(self._halls, 0.0)
        self._rate, self._units, self._ways, self._worth = {}, {}, {}, {}
        self._left: dict[str, int] = {}
        seen: dict[str, dict[str, float]] = {}
        told = dict.fromkeys(self._halls, 0.0)
        for (region, hall), rate in sorted(rates.items()):
            if hall in told:
                told[hall] += rate
                seen.setdefault(region, {})[hall] = rate
        for region in sorted(set(seen) - {UNKNOWN}):
            # no more than the hall is known to have
            here = {
                h: r * min(1.0, self._halls[h].load / told[h]) for h, r in seen[region].items() if told[h]
            }
            rate = sum(here.values())
            row = in_force.get(region) or {h: r / rate for h, r in here.items() if rate}
            units = {h: n for h, n in units_of(row).items() if h in self._halls}
            if not rate or not units:
                continue
            for hall in self._halls:
                self._coming[hall] += units.get(hall, 0) * rate / UNITS - here.get(hall, 0.0)
            mix = expected.mix(region)
            self._rate[region], self._units[region] = rate / UNITS, units
            self._worth[region] = worths.get(region, 1.0)
            self._ways[region] = {h: expected.way(region, h, mix) for h in self._halls}
            self._left[region] = int(bounds.most_of_region * UNITS)
        self._load = {name: max(hall.load, self._coming[name]) for name, hall in self._halls.items()}
        self._before = {region: dict(units) for region, units in self._units.items()}
        self._in_force = {r: dict(row) for r, row in sorted(in_force.items())}
        self._budget = bounds.most_moved * sum(hall.load for hall in self._halls.values())
        self._pairs: set[tuple[str, str]] = set()
        self._why: set[Reason] = set()
        self._unplaced: dict[str, float] = {}
        self._moved = self._gain = 0.0

    def propose(self) -> Proposal:
        self._leave_closed()
        self._relieve()
        spent = sum(
            self._rate[r] * self._worth[r] * n * cost
            for r, units in self._units.items()
            for h, n in units.items()
            if (cost := self._cost(r, h)) < math.inf
        )
        self._better()
        self._explore()
        if self._why == {Reason.BETTER} and self._gain < self._bounds.least_total * spent:
            return Proposal(None, Reason.LITTLE_GAIN)
        rows = dict(self._in_force)
        for region, units in self._units.items():
            if units != self._before[region]:
                rows[region] = {h: n / UNITS for h, n in sorted(units.items())}
                if not units:
                    del rows[region]  # of a region that has no room at all its fronts dispose
        if rows == self._in_force:
            return Proposal(None, Reason.NO_GAIN, unplaced=self._unplaced)
        reason = next(reason for reason in Reason if reason in self._why)
        return Proposal(dict(sorted(rows.items())), reason, self._moved, self._gain, self._unplaced)

    def _leave_closed(self) -> None:
        """The dearest first, each to the best hall with room: they can't stay, so only room holds them."""
        for region in sorted(self._units, key=lambda r: (-self._worth[r], r)):
            units = self._units[region]
            closed = [h for h in sorted(units) if self._halls[h].standing is Standing.CLOSED]
            away = UNITS - sum(units.values())  # those for whom there was no room before
            if not (away or closed) or not self._fits(region, ""):
                continue
            away += sum(units.pop(hall) for hall in closed)
            for to in sorted(self._halls, key=lambda h: (self._cost(region, h), h)):
                n = min(away, self._room(region, to, free=True))
                if n and self._cost(region, to) < math.inf:
                    away -= n
                    self._bring(region, to, n, Reason.CLOSED)
            if closed:
                self._why.add(Reason.CLOSED)
            self._unplaced |= {region: away / UNITS} if away else {}

    def _relieve(self) -> None:
        for hall, state in self._halls.items():
            if state.standing is Standing.CLOSED or self._coming[hall] <= self._bounds.crowded * state.room:
                continue
            rows = []
            for region, units in self._units.items():
                here = self._ways[region][hall].fixed
                for to, there in self._ways[region].items():
                    if units.get(hall) and to != hall and there is not NO_WAY:
                        loss = self._cost(region, to) - (here if here < math.inf else 0.0)
                        rows.append((self._worth[region] * loss, region, to))
            for _, region, to in sorted(rows):
                over = self._coming[hall] - self._bounds.full * state.room
                if over <= 0.0:
                    break
                n = min(math.ceil(over / self._rate[region]), self._most(region, hall, to))
                if n > 0 and (region, to, -1) not in self._lately:
                    self._move(region, hall, to, n, Reason.CROWDED)

    def _better(self) -> None:
        """A step at a time, as each makes the hall it goes to dearer."""
        rows = []
        for region, units in self._units.items():
            for hall in units:
                gain, _ = self._best(region, hall)
                if gain:
                    rows.append((-gain * self._worth[region], region, hall))
        heapq.heapify(rows)
        while rows:
            _, region, hall = heapq.heappop(rows)
            gain, to = self._best(region, hall)  # of now
            row = (-gain * self._worth[region], region, hall)
            if not gain:
                continue
            later = bool(rows) and row > rows[0]
            n = min(STEP, self._most(region, hall, to))
            if later or self._move(region, hall, to, n, Reason.BETTER):
                heapq.heappush(rows, row)

    def _best(self, region: str, hall: str) -> tuple[float, str]:
        """Seconds gained where most is gained, and where that is; 0 if they are less than the least."""
        here = self._cost(region, hall)
        if here == math.inf or (region, hall, 1) in self._lately:
            return 0.0, hall
        least = here - max(self._bounds.least_seconds, self._bounds.least_gain * here)
        best, found = hall, math.inf
        for to in self._halls:
            cost = self._cost(region, to)
            if cost > least or cost >= found or (region, to, -1) in self._lately:
                continue
            if self._most(region, hall, to) > 0:
                best, found = to, cost
        return (here - found, best) if found < math.inf else (0.0, hall)

    def _cost(self, region: str, hall: str) -> float:
        return self._ways[region][hall].marginal(self._load[hall], self._halls[hall].room)

    def _explore(self) -> None:
        """One unit of each region a period, to the least loaded hall of which it knows nothing."""
        for region, units in self._units.items():
            unknown = [h for h, way in self._ways[region].items() if way is NO_WAY]
            known = [h for h in units if h not in unknown]
            out = sum(units.get(h, 0) for h in unknown)
            if not known or out + 1 > self._bounds.explore * UNITS:
                continue
            hall = max(known, key=lambda h: (units[h], h))
            for to in sorted(unknown, key=lambda h: (self._load[h] / max(self._halls[h].room, 1e-9), h)):
                if not units.get(to) and self._most(region, hall, to) >= 1:
                    self._move(region, hall, to, 1, Reason.EXPLORED)
                    break

    def _room(self, region: str, to: str, free: bool = False) -> int:
        """Units of the region that the hall may still get."""
        hall, bounds = self._halls[to], self._bounds
        if hall.standing is not Standing.OPEN:
            return 0
        room = bounds.full * hall.room - self._load[to]
        if not free:
            room = min(room, bounds.most_taken * hall.room - self._taken[to])
        return max(0, math.floor(room / self._rate[region]))

    def _most(self, region: str, hall: str, to: str) -> int:
        """Units that may go this way within all bounds."""
        if (to, hall) in self._pairs:
            return 0  # a circle: one of the two is better for nobody
        budget = math.floor(self._budget / self._rate[region])
        return min(self._units[region].get(hall, 0), self._room(region, to), budget, self._left[region])

    def _move(self, region: str, hall: str, to: str, n: int, why: Reason) -> bool:
        if not self._fits(region, to):
            return False
        gain = self._cost(region, hall) - self._cost(region, to)
        units, part = self._units[region], n * self._rate[region]
        units[hall] -= n
        if not units[hall]:
            del units[hall]
        self._bring(region, to, n, why)
        self._load[hall] -= part
        self._coming[hall] -= part
        self._budget -= part
        self._left[region] -= n
        if math.isfinite(gain):
            self._gain += part * self._worth[region] * gain
        self._pairs.add((hall, to))
        return True

    def _bring(self, region: str, to: str, n: int, why: Reason) -> None:
        part = n * self._rate[region]
        self._units[region][to] = self._units[region].get(to, 0) + n
        self._load[to] += part
        self._coming[to] += part
        self._taken[to] += part
        self._moved += part
        self._why.add(why)

    def _fits(self, region: str, to: str) -> bool:
        """Whether the document still holds the row with one hall more."""
        rows = {r: u for r, u in self._units.items() if r in self._in_force or u != self._before[r]}
        rows[region] = {**self._units[region], to: 1}
        return sum(size_of(r, u) for r, u in rows.items()) <= self._bounds.most_bytes
