"""What witnesses say of regions at halls, whatever order and repeats it came in. Pure.

A join of semilattices as the map of latency has it: of each witness the greatest (start, sequence, values);
of a cell's witnesses the first few by a rank that no word changes. A replaced process's word keeps its place
but is not read. Kept packed, 38 bytes a word, as there are up to 256 x 50 cells.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ironrail.peers.steering.reports import MOST_VALUES, Report, Summary, unpack
from ironrail.peers.steering.histogram import FIFTEENTHS, NOTHING, PARTS, RATES, SECONDS

WITNESSES = 3  # kept of a cell: one liar is outvoted
LEAST_RENEWAL = 120.0  # seconds after which unchanged evidence is told anew
RENEWALS = 4.0  # words a second of all routers together: two thirds of what 400 B/s carry to everybody
HALLS_EACH = 4  # at which most regions' readers arrive; more make evidence grow old, and old is unknown
STALE, EXPIRED = (
    3.0,
    6.0,
)  # renewals missed before another witness takes the place, and before it is forgotten
NEW = 64  # of a change: more than any other
_WORD = struct.Struct(f">HQId{MOST_VALUES}s")  # witness + 1, start, sequence, born, values
_CELL = WITNESSES * _WORD.size
_NOTHING = (NOTHING, NOTHING, 0)
NO_CLASS = (math.inf, math.inf, 0.0)
N = TypeVar("N", int, float)


class Held:
    """A word as it is kept; `born` is its evidence's time on this router's clock."""

    __slots__ = ("born", "sequence", "start", "values", "witness")

    def __init__(self, witness: int, start: int, sequence: int, born: float, values: bytes) -> None:
        self.witness, self.start, self.sequence = witness, start, sequence
        self.born, self.values = born, values

    def order(self) -> tuple[int, int, bytes]:
        return self.start, self.sequence, self.values


@dataclass(frozen=True, slots=True)
class Cell:
    """A region at a hall, by the witnesses' medians; of an unknown figure the worst there is."""

    rtt: float  # seconds of a reader's round trip
    rtt_tail: float
    rate: float  # requests/s at all of the hall's routers
    late: float  # share not answered in its wanted time
    early: float  # share whose client went before: part of those
    classes: tuple[
        tuple[float, float, float], ...
    ]  # by class: seconds of service, its tail, share of requests
    age: float  # seconds since the evidence
    witnesses: int


def rank(witness: int, region: int) -> int:
    """The lower, the sooner a witness is kept: drawn by cell, so that no router speaks for all regions."""
    return zlib.crc32(b"%d %d" % (region, witness))


def agreed(values: Sequence[N]) -> N:
    """The median, of an even number the worse: whatever one of three says, it's among the others'."""
    return sorted(values)[len(values) // 2]


class Table:
    """What is known, for routers that stand in the halls that `hall_of` tells by number."""

    def __init__(self, hall_of: Sequence[int], halls: int, regions: int) -> None:
        self.hall_of, self.halls, self.regions = hall_of, halls, regions
        self.standing = [hall_of.count(hall) for hall in range(halls)]
        self.starts: dict[int, int] = {}
        self._words: dict[int, bytearray] = {}  # by hall, once something is heard of it
        most = regions * min(halls, HALLS_EACH) * min(WITNESSES, max(self.standing))
        self.renewal = max(LEAST_RENEWAL, most / RENEWALS)  # seconds, the same at all routers

    def merge(self, now: float, report: Report) -> int:
        """Take a word, whoever passed it on and however often; how much it changed, -1 if nothing."""
        if report.age > EXPIRED * self.renewal:
            return -1
        witness, region = report.witness, report.region
        if report.start > self.starts.get(witness, -1):
            self.starts[witness] = report.start
        hall = self.hall_of[witness]
        new = Held(witness, report.start, report.sequence, now - report.age, report.values)
        cell = self._cell(hall, region)
        for place, old in enumerate(cell):
            if old.witness == witness:
                if new.order() <= old.order():
                    return -1  # an echo does not make its evidence younger
                self._put(hall, region, place, new)
                return unpack(new.values).differs(unpack(old.values))
        place = len(cell)
        if place == WITNESSES:
            cell.append(new)
            last = max(cell, key=lambda h: (self._stale(now, h), rank(h.witness, region), h.witness))
            if last is new:
                return -1
            place = cell.index(last)
        self._put(hall, region, place, new)
        return NEW

    def may_speak(self, now: float, witness: int, region: int) -> bool:
        """Whether a word of this witness would be kept."""
        better = [
            h for h in self._cell(self.hall_of[witness], region)
            if h.witness != witness and not self._stale(now, h)
            and (rank(h.witness, region), h.witness) < (rank(witness, region), witness)
        ]  # fmt: skip
        return len(better) < WITNESSES

    def held(self, witness: int, region: int) -> Held | None:
        return next((h for h in self._cell(self.hall_of[witness], region) if h.witness == witness), None)

    def report(self, now: float, witness: int, region: int) -> Report | None:
        """What to tell others of this word, None if it is gone, replaced or too old."""
        held = self.held(witness, region)
        if held is None or not self._counts(now, held):
            return None
        return Report(witness, held.start, region, held.sequence, held.values, max(0.0, now - held.born))

    def estimate(self, now: float, hall: int, region: int) -> Cell | None:
        """What the witnesses say together; None where no word counts: unknown."""
        words = [h for h in self._cell(hall, region) if self._counts(now, h)]
        words = [h for h in words if not self._stale(now, h)] or words
        if not words:
            return None
        said = [unpack(h.values) for h in words]
        return Cell(
            SECONDS[agreed([s.rtt for s in said])],
            SECONDS[agreed([s.rtt_tail for s in said])],
            RATES[agreed([s.rate for s in said])] * self.standing[hall],
            PARTS[agreed([s.late for s in said])],
            PARTS[agreed([s.early for s in said])],
            _classes(said),
            max(0.0, agreed([now - h.born for h in words])),
            len(words),
        )

    def cells(self, now: float) -> Iterator[tuple[int, int, Cell]]:
        """All that is known: region, hall, cell."""
        for hall in sorted(self._words):
            for region in range(self.regions):
                cell = self.estimate(now, hall, region)
                if cell is not None:
                    yield region, hall, cell

    def words(self) -> Iterator[tuple[int, int]]:
        """All words that are kept, as (witness, region)."""
        for hall in self._words:
            for region in range(self.regions):
                yield from ((held.witness, region) for held in self._cell(hall, region))

    def _counts(self, now: float, held: Held) -> bool:
        return held.start >= self.starts[held.witness] and now - held.born <= EXPIRED * self.renewal

    def _stale(self, now: float, held: Held) -> bool:
        return now - held.born > STALE * self.renewal

    def _cell(self, hall: int, region: int) -> list[Held]:
        words = self._words.get(hall)
        found: list[Held] = []
        if words is not None:
            for at in range(region * _CELL, (region + 1) * _CELL, _WORD.size):
                witness, start, sequence, born, values = _WORD.unpack_from(words, at)
                if not witness:
                    break
                size = 4 + 2 * (values[3] & 63).bit_count()
                found.append(Held(witness - 1, start, sequence, born, values[:size]))
        return found

    def _put(self, hall: int, region: int, place: int, new: Held) -> None:
        words = self._words.get(hall)
        if words is None:
            words = self._words[hall] = bytearray(_CELL * self.regions)
        at = region * _CELL + place * _WORD.size
        _WORD.pack_into(words, at, new.witness + 1, new.start, new.sequence, new.born, new.values)


def _classes(said: Sequence[Summary]) -> tuple[tuple[float, float, float], ...]:
    rows = [{cls: row for cls, *row in s.classes} for s in said]
    found = []
    for cls in range(max((max(row) + 1 for row in rows if row), default=0)):
        typical, tail, share = (agreed([row.get(cls, _NOTHING)[n] for row in rows]) for n in range(3))
        found.append(NO_CLASS if typical == NOTHING else (SECONDS[typical], SECONDS[tail], FIFTEENTHS[share]))
    return tuple(found)
