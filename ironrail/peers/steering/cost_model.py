"""How long an answer takes a region's readers at each hall, worth weighed; unknown is infinite. Pure.

What one more request costs at a hall is its own time and what it makes the others there wait. Service is
taken to grow with load as in a queue, as 1 / (1 - load / room), so that cost grows as the square of that.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from ironrail.peers.steering.report_table import Cell

FRESH = 300.0  # seconds by which a region's own figures of service may be older than the hall's youngest
TAIL = 0.125  # of the way from median to tail where the mean lies: 0.10 to 0.16 in lognormals, sigma 0.5 to 1
MISSED = 0.5  # seconds that a request not answered in its wanted time counts as, beyond those it took
LEAST_OWN = 1.0  # requests/s at a router from which on a region's own service is told from chance: 80 samples
MOST_FULL = 0.9  # of a hall's room, beyond which the queue's formula says nothing
LEAST_WITNESSES = 2  # of a hall to which somebody is moved, where it has that many routers

Cells = Mapping[tuple[str, str], Cell]  # by region and hall


class Standing(IntEnum):
    """What may be brought to a hall."""

    OPEN = 0
    COLD = 1  # keeps what it has, gets nothing
    CLOSED = 2  # emptied, cut or lost: what is there must go


@dataclass(frozen=True, slots=True)
class Hall:
    """What is known of a hall now, handed in by whoever counts its servers."""

    room: float  # requests/s that it can do
    load: float  # requests/s that it has, of all regions
    standing: Standing = Standing.OPEN
    routers: int = 1


NOWHERE = Hall(0.0, 0.0, Standing.CLOSED)


@dataclass(frozen=True)
class Worth:
    """What a request is worth: its class's times what the region's readers read, by title. 1 if not named."""

    classes: Mapping[str, float] = field(default_factory=dict)
    titles: Mapping[str, float] = field(default_factory=dict)
    reads: Mapping[str, Mapping[str, float]] = field(default_factory=dict)  # region -> title -> share

    def of(self, region: str) -> float:
        """Of the region's reading against that of one whose titles aren't named."""
        reads = self.reads.get(region, {})
        rest = max(0.0, 1.0 - sum(reads.values()))
        return rest + sum(share * self.titles.get(title, 1.0) for title, share in sorted(reads.items()))


EQUAL = Worth()


class Way(NamedTuple):
    """A region's time at a hall: what stays, and the service that there would be at no load."""

    fixed: float  # seconds
    idle: float  # seconds

    def marginal(self, load: float, room: float) -> float:
        """Seconds that one more request costs all readers, at this load of the hall."""
        return self.fixed + self.idle / (1.0 - _full(load, room)) ** 2


NO_WAY = Way(math.inf, math.inf)


class Expected:
    """Time to the reader: way to the hall, way from there to its caches, service, and what comes late."""

    def __init__(
        self,
        cells: Cells,
        links: Mapping[str, float],
        halls: Mapping[str, Hall],
        classes: tuple[str, ...],
        worth: Worth,
    ) -> None:
        """`links`: seconds from a hall to caches that its measured service does not hold; infinite or absent
        if unknown. `classes`: by number, as in cells."""
        self._cells, self._links, self._halls = cells, links, halls
        self._worths = [worth.classes.get(name, 1.0) for name in classes]
        by_hall: dict[str, list[Cell]] = {}
        for (_, hall), cell in sorted(cells.items(), key=lambda item: item[0]):
            by_hall.setdefault(hall, []).append(cell)
        self._youngest = {hall: min(cell.age for cell in there) for hall, there in by_hall.items()}
        self._general = {
            hall: self._service([cell for cell in there if self._fresh(hall, cell)])
            for hall, there in by_hall.items()
        }

    def mix(self, region: str) -> list[float]:
        """Of the worth of the region's requests each class's part, wherever they are served."""
        found = [0.0] * len(self._worths)
        for hall in sorted(self._halls):
            cell = self._cells.get((region, hall))
            if cell is not None:
                for cls, (worth, (_, _, share)) in enumerate(zip(self._worths, cell.classes, strict=False)):
                    found[cls] += worth * share * cell.rate
        return found

    def way(self, region: str, hall: str, mix: list[float]) -> Way:
        """Infinite where any part is unknown."""
        cell, link, state = (
            self._cells.get((region, hall)),
            self._links.get(hall, math.inf),
            self._halls[hall],
        )
        if cell is None or not sum(mix) or cell.witnesses < min(LEAST_WITNESSES, state.routers):
            return NO_WAY
        much = cell.rate >= LEAST_OWN * state.routers and self._fresh(hall, cell)
        own, late = self._service([cell]) if much else self._general[hall]
        general, _ = self._general[hall]
        service = 0.0
        for part, here, there in zip(mix, own, general, strict=True):
            if part:
                service += part / sum(mix) * (here if math.isfinite(here) else there)
        idle = service * (1.0 - _full(state.load, state.room))
        fixed = cell.rtt + link + MISSED * late
        return Way(fixed, idle) if math.isfinite(fixed + idle) else NO_WAY

    def _fresh(self, hall: str, cell: Cell) -> bool:
        return cell.age <= self._youngest[hall] + FRESH

    def _service(self, cells: list[Cell]) -> tuple[list[float], float]:
        """By class the mean of service, and the share late: the medians of these cells' by their rates."""
        found = []
        for cls in range(len(self._worths)):
            means = [
                (typical + TAIL * (tail - typical), cell.rate * share)
                for cell in cells
                for typical, tail, share in cell.classes[cls : cls + 1]
                if math.isfinite(typical)
            ]
            found.append(_middle(means))
        return found, _middle([(cell.late, cell.rate) for cell in cells])


def _full(load: float, room: float) -> float:
    return min(MOST_FULL, load / room) if room else MOST_FULL


def _middle(pairs: list[tuple[float, float]]) -> float:
    """The weighted median of (value, weight), infinite of nothing."""
    left = sum(weight for _, weight in pairs) / 2
    for value, weight in sorted(pairs):
        left -= weight
        if left <= 0.0:
            return value
    return max(pairs)[0] if pairs else math.inf
