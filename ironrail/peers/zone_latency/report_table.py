"""The map: of each link the latest words of a few witnesses, whatever order and repeats they came in. Pure.

A join of semilattices (Shapiro, Preguica, Baquero, Zawirski, SSS 2011): of each witness the greatest (start,
sequence, values), of equal ones the older evidence; of the witnesses of a link the first few by a rank that
all routers share. What can only grow may be cut to its first few without spoiling the laws, which is why the
rank does not depend on what a witness says, and a replaced process's word keeps its place but is not read.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum

from ironrail.peers.zone_latency.histogram import FARTHEST, seconds_of
from ironrail.peers.zone_latency.reports import Report, differ, unpack
from ironrail.peers.zone_latency.link_tracker import Link

WITNESSES = 5  # kept of a link: two liars or sick ones are outvoted
ILL = 2  # witnesses that must call a link slow or cut: one liar invents no ill, and one of five hides none
LEAST_RENEWAL = 20.0  # seconds after which unchanged evidence is told anew
RENEWALS = 40.0  # a second, of all links and witnesses together: half of what 2 kB/s carry to everybody
LATELY = 5.0  # seconds for which a suspicion makes others in its hall quicker to share it
STALE, EXPIRED = 3.0, 6.0  # renewals missed before others take a witness's place, and before it is forgotten


class Change(IntEnum):
    """What a report changed in the map, the more urgent to pass on the higher."""

    NONE = 0
    RENEWED = 1
    VALUES = 2
    STATE = 3


@dataclass(frozen=True, slots=True)
class Estimate:
    """What the witnesses of a link say together: the median of each figure."""

    state: Link
    low: float  # seconds, infinite where nothing is answered
    typical: float  # seconds, likewise
    lost: float  # share of round trips
    age: float  # seconds since the evidence, of those who say this state
    witnesses: int


NOTHING = Estimate(Link.UNKNOWN, math.inf, math.inf, 1.0, math.inf, 0)


class Held:
    """A witness's word on one link, as it is kept."""

    __slots__ = ("born", "sequence", "start", "values")

    def __init__(self, start: int, sequence: int, values: int, born: float) -> None:
        self.start, self.sequence, self.values = start, sequence, values
        self.born = born  # the evidence, on this router's clock

    def newer(self, other: Held) -> bool:
        """Whether it replaces the other; equal words differ by how much of their age was lost on the way."""
        mine, its = (self.start, self.sequence, self.values), (other.start, other.sequence, other.values)
        return mine > its or (mine == its and self.born < other.born)


def rank(witness: int, to: int) -> int:
    """The lower, the sooner a witness is kept: drawn by link, so that no router speaks for all of them."""
    return zlib.crc32(b"%d %d" % (to, witness))


def agreed(values: list[float]) -> float:
    """The median, of an even number the worse one; of two the better one.

    Whatever one of three or more says, this is a figure among what the others say. Of two neither can be told
    to be wrong: one can hide an ill, but not invent it.
    """
    return sorted(values)[len(values) // 2 if len(values) > 2 else 0]


class Table:
    """What witnesses say, for routers that stand in the halls `hall_of` tells by number."""

    def __init__(self, hall_of: Sequence[int], halls: int, witnesses: int = WITNESSES) -> None:
        self.hall_of, self.halls, self.witnesses = hall_of, halls, witnesses
        self.starts: dict[int, int] = {}  # the latest of each witness; words of others are not read
        self.links: dict[tuple[int, int], dict[int, Held]] = {}
        standing = [0] * halls
        for hall in hall_of:
            standing[hall] += 1
        most = halls * sum(min(witnesses, routers) for routers in standing)
        self.renewal = max(LEAST_RENEWAL, most / RENEWALS)  # seconds, the same at all routers

    def merge(self, now: float, report: Report) -> Change:
        """Take a report, whoever passed it on and however often."""
        witness, to = report.witness, report.to
        if report.age > EXPIRED * self.renewal:
            return Change.NONE
        if report.start > self.starts.get(witness, -1):
            self.starts[witness] = report.start
        new = Held(report.start, report.sequence, report.values, now - report.age)
        link = self.links.setdefault((self.hall_of[witness], to), {})
        old = link.get(witness)
        if old is not None and not new.newer(old):
            return Change.NONE
        link[witness] = new
        if old is None:
            if len(link) > self.witnesses:
                last = max(link, key=lambda w: (self._stale(now, link[w]), rank(w, to), w))
                del link[last]
                if last == witness:
                    return Change.NONE
            return Change.STATE if unpack(new.values)[0] > Link.WELL else Change.RENEWED
        if old.values >> 16 != new.values >> 16:
            return Change.STATE
        return Change.VALUES if differ(old.values, new.values) else Change.RENEWED

    def _stale(self, now: float, held: Held) -> bool:
        return now - held.born > STALE * self.renewal

    def held(self, witness: int, to: int) -> Held | None:
        return self.links.get((self.hall_of[witness], to), {}).get(witness)

    def report(self, now: float, witness: int, to: int) -> Report | None:
        """What to tell others of this word, None if it is gone, replaced or too old."""
        held = self.held(witness, to)
        if held is None or not self._counts(now, witness, held):
            return None
        return Report(witness, held.start, to, held.sequence, held.values, max(0.0, now - held.born))

    def _counts(self, now: float, witness: int, held: Held) -> bool:
        return held.start >= self.starts[witness] and now - held.born <= EXPIRED * self.renewal

    def estimate(self, now: float, hall: int, to: int) -> Estimate:
        """What is known of a link; NOTHING where no witness's word counts."""
        words = [h for w, h in self.links.get((hall, to), {}).items() if self._counts(now, w, h)]
        words = [h for h in words if not self._stale(now, h)] or words
        if not words:
            return NOTHING
        states, lows, typicals, losses = zip(*(unpack(h.values) for h in words), strict=True)
        low, typical = int(agreed(list(lows))), int(agreed(list(typicals)))
        state = Link(sorted(states)[max(0, len(states) - ILL)])
        ages = [now - h.born for h in words if h.values >> 16 == state]
        return Estimate(
            state,
            math.inf if low == FARTHEST else seconds_of(low),
            math.inf if typical == FARTHEST else seconds_of(typical),
            agreed(list(losses)),
            max(0.0, agreed(ages)),
            len(words),
        )

    def suspected(self, now: float, hall: int, to: int, but: int) -> bool:
        """Whether a witness other than `but` lately said that the link is slow or cut."""
        return any(
            h.values >> 16 > Link.WELL and now - h.born <= LATELY and self._counts(now, w, h)
            for w, h in self.links.get((hall, to), {}).items()
            if w != but
        )

    def sweep(self, now: float) -> None:
        """Let go of what expired; it can't come back, for it is as old wherever else it is kept."""
        for place in list(self.links):
            link = self.links[place]
            for witness in [w for w, h in link.items() if now - h.born > 2 * EXPIRED * self.renewal]:
                del link[witness]
            if not link:
                del self.links[place]

    def keys(self) -> Iterator[tuple[int, int]]:
        """All words that are kept, as (witness, to)."""
        return ((witness, to) for (_, to), link in self.links.items() for witness in link)

    def __len__(self) -> int:
        return sum(map(len, self.links.values()))
