"""How long an answer takes a region's readers at each hall, worth weighed; unknown is infinite. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from ironrail.peers.regions.table import Cell, agreed

FRESH = 300.0  # seconds by which a region's own figures of service may be older than the hall's youngest
TAIL = 0.125  # of the way from median to tail where the mean lies: 0.10 to 0.16 in lognormals, sigma 0.5 to 1
MISSED = 0.5  # seconds that a request not answered in its wanted time counts as, beyond those it took
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


class Expected:
    """Seconds to the reader: way to the hall, way from there to its caches, service, and what comes late."""

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
        self._by_hall: dict[str, list[Cell]] = {}
        for (_, hall), cell in sorted(cells.items()):
            self._by_hall.setdefault(hall, []).append(cell)
        for hall, there in self._by_hall.items():
            youngest = min(cell.age for cell in there)
            self._by_hall[hall] = [cell for cell in there if cell.age <= youngest + FRESH]
        self._general = {hall: self._service(there) for hall, there in self._by_hall.items()}
        self._late = {hall: agreed([cell.late for cell in there]) for hall, there in self._by_hall.items()}

    def mix(self, region: str) -> list[float]:
        """Of the worth of the region's requests each class's part, wherever they are served."""
        found = [0.0] * len(self._worths)
        for hall in sorted(self._halls):
            cell = self._cells.get((region, hall))
            if cell is not None:
                for cls, (worth, (_, _, share)) in enumerate(zip(self._worths, cell.classes, strict=False)):
                    found[cls] += worth * share * cell.rate
        return found

    def seconds(self, region: str, hall: str, mix: list[float]) -> float:
        """Infinite where any part is unknown."""
        cell, link = self._cells.get((region, hall)), self._links.get(hall, math.inf)
        if cell is None or not sum(mix):
            return math.inf
        if cell.witnesses < min(LEAST_WITNESSES, self._halls[hall].routers):
            return math.inf
        fresh = any(cell is other for other in self._by_hall[hall])
        own = self._service([cell] if fresh else [])
        general = self._general[hall]
        service = sum(
            part * (own[cls] if math.isfinite(own[cls]) else general[cls])
            for cls, part in enumerate(mix)
            if part
        )
        late = cell.late if fresh else self._late[hall]
        return cell.rtt + link + service / sum(mix) + MISSED * late

    def _service(self, cells: list[Cell]) -> list[float]:
        """By class the mean of service, the median of these cells'."""
        found = []
        for cls in range(len(self._worths)):
            means = [
                typical + TAIL * (tail - typical)
                for typical, tail, _ in (cell.classes[cls] for cell in cells if cls < len(cell.classes))
                if math.isfinite(typical)
            ]
            found.append(agreed(means) if means else math.inf)
        return found
