"""What is handed to whoever decides: how far the other halls are, told anew only when that matters. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from ironrail.peers.zone_latency.link_tracker import Link
from ironrail.peers.zone_latency.report_table import NOTHING, Estimate

STEP = 1.5  # times longer or shorter than handed out: the scale's own steps are 1.21
LEAST_STEP = 0.0005  # seconds; less decides nothing
LOST_STEP = 0.2  # of round trips, more or fewer
AGE_STEP = 60.0  # seconds by which the evidence is younger than handed out: else ages would mislead
REST = 2.0  # seconds at least between two tables for the sake of figures alone
CALM = 2.0  # seconds that a link must look better before that is told; worse is told at once


@dataclass(frozen=True, slots=True)
class HallLink:
    """The link to a hall. Of an unknown one all figures are the worst there are: it is not near."""

    hall: str
    state: Link = Link.UNKNOWN
    low: float = math.inf  # seconds of a quick round trip at present
    typical: float = math.inf  # seconds, the median
    lost: float = 1.0  # share of round trips
    evidence_at: float = -math.inf  # on the router's own clock
    witnesses: int = 0

    def age(self, now: float) -> float:
        """Seconds since the evidence, infinite where there is none."""
        return now - self.evidence_at


@dataclass(frozen=True, slots=True)
class HallsSeen:
    """An event: from this router's hall to each, in the order of the settings' halls."""

    version: int  # grows by one with each that is handed out
    hall: str  # the router's own
    links: tuple[HallLink, ...]


@dataclass(slots=True)
class Facts:
    """The latest table that was handed out, and what speaks for another."""

    hall: str
    halls: Sequence[str]
    seen: HallsSeen = field(init=False)
    _handed_at: float = -math.inf
    _better_since: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.seen = HallsSeen(0, self.hall, tuple(HallLink(name) for name in self.halls))

    def update(self, now: float, estimates: Sequence[Estimate]) -> HallsSeen | None:
        """A new table if one is due, else None."""
        due = False
        links = list(self.seen.links)
        for number, (link, estimate) in enumerate(zip(self.seen.links, estimates, strict=True)):
            better = Link.UNKNOWN < estimate.state < link.state
            since = self._better_since.setdefault(number, now) if better else now
            if not better:
                self._better_since.pop(number, None)
            if better and now - since < CALM:
                continue  # the figures go with the state that is told
            rested = now - self._handed_at >= REST
            due = due or estimate.state is not link.state or (rested and _matters(link, estimate, now))
            links[number] = HallLink(
                link.hall, estimate.state, estimate.low, estimate.typical, estimate.lost,
                now - estimate.age, estimate.witnesses,
            )  # fmt: skip
        if not due:
            return None
        self._handed_at = now
        self.seen = HallsSeen(self.seen.version + 1, self.hall, tuple(links))
        return self.seen


def _matters(link: HallLink, estimate: Estimate, now: float) -> bool:
    if estimate is NOTHING:
        return False
    pairs = ((link.low, estimate.low), (link.typical, estimate.typical))
    if abs(link.lost - estimate.lost) >= LOST_STEP or link.age(now) - estimate.age >= AGE_STEP:
        return True
    return any(a != b and abs(a - b) >= max(LEAST_STEP, (STEP - 1.0) * min(a, b)) for a, b in pairs)
