"""What one router sees of the link from its hall to another, and what it makes of it. Pure.

Samples are taken by windows, the quickest of each: ten answers that waited behind one another are one piece
of news. Two questions are asked of each: did anything come back, and if so, much later than usual? Runs of
yes and of no are weighed by sums of log likelihoods (CUSUM, Page 1954) against what is usual here: a link
that always loses half needs a longer run to count as cut, and no longer one to count as slow.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum

from ironrail.peers.zone_latency.histogram import FARTHEST, Fading, code_of, seconds_of

WINDOW = 0.1  # seconds whose quickest sample counts: shorter than any run worth telling, longer than a burst
USUAL = 600.0  # seconds, half-life of what counts as usual: a link slow for as long is usual by then
RECENT = 10.0  # seconds, half-life of what is told as present; cleared when the verdict changes
SHARE = 30.0  # seconds, the same of the share lost, which takes more samples to tell: 85 of 2 a second
TIMES = 3.0  # slower than usual is bad: halls differ by less from hour to hour, a tenfold fault by more
LEAST_LATER = 0.002  # seconds later than usual to be bad: less is the loop of a busy router
EVIDENCE = 8.5  # log of the odds at which a verdict falls: 3 bad windows where 0.05 are, 14 where half are
SECONDED = EVIDENCE * 2 / 3  # where others in the hall suspect the link too: 2 windows, and 9
FEW, MOST = 0.05, 0.6  # bounds on the usual share of bad windows; beyond, no run is worth much
IN_FAULT = 0.95  # share of bad windows of a link that is slow or cut
OWN_TIMES = 2.0  # of what waited in this router is let off: no two samples wait alike
LEAST_WINDOWS = 4  # before any verdict
DWELL = 2.0  # seconds at least that a link stays slow or cut
FLAPPING = 120.0  # seconds in which each verdict of slow or cut doubles the next stay
MOST_DWELL = 64.0  # seconds


class Link(IntEnum):
    """How a link is, worse the higher; nothing is known of UNKNOWN, also not that it is near."""

    UNKNOWN = 0
    WELL = 1
    SLOW = 2
    CUT = 3


class Runs:
    """Two sums on one question: the worse grows with what is bad, the better with what isn't."""

    __slots__ = ("_usual", "better", "worse")

    def __init__(self) -> None:
        self._usual = Fading(USUAL, 2)
        self.worse = self.better = 0.0

    def add(self, now: float, bad: bool) -> None:
        weight = self._usual.weight(now)
        seldom = (self._usual.share(1) * weight + 1.0) / (weight + 2.0)  # Laplace's: a new link may be bad
        seldom = min(MOST, max(FEW, seldom))
        step = math.log(IN_FAULT / seldom) if bad else math.log((1 - IN_FAULT) / (1 - seldom))
        self.worse = min(EVIDENCE, max(0.0, self.worse + step))
        self.better = min(EVIDENCE, max(0.0, self.better - step))
        self._usual.add(now, int(bad))


class Sight:
    """Evidence of one link."""

    def __init__(self) -> None:
        self.state = Link.UNKNOWN
        self.at = -math.inf  # of the latest evidence
        self.excess = 0.0  # seconds that the latest window's quickest took beyond the usual
        self.answered_at = self.lost_at = -math.inf
        self.heard_at = -math.inf  # of whatever came back, timed or not
        self.window_at = math.inf  # when the open window ends; infinite if none is open
        self._quickest, self._heard = math.inf, False  # of the open window
        self._usual = Fading(USUAL)
        self._gone, self._late = Runs(), Runs()  # no answer; an answer that came late
        self._recent, self._lost = Fading(RECENT), Fading(SHARE, 2)
        self._tail: deque[int | None] = deque(maxlen=3)  # the latest windows, by which a verdict falls
        self._windows = 0
        self._changed_at = -math.inf
        self._falls: deque[float] = deque(maxlen=8)

    @property
    def usual(self) -> float:
        """Seconds; infinite where nothing was ever answered."""
        code = self._usual.quantile(0.5)
        return math.inf if code is None else seconds_of(code)

    @property
    def close_to_verdict(self) -> bool:
        """Whether the next window may bring it, if others suspect the link too."""
        return self.state < Link.CUT and self._gone.worse + self._late.worse > 0.0

    def answered(self, now: float, seconds: float) -> None:
        self._open(now)
        self.answered_at = self.heard_at = now
        self._quickest = min(self._quickest, seconds)
        self._recent.add(now, code_of(seconds))
        self._lost.add(now, 0)

    def heard(self, now: float) -> None:
        """Something came back; how long the way was is not known."""
        self._open(now)
        self.heard_at = now
        if not self._heard:
            self._heard = True
            self._lost.add(now, 0)

    def lost(self, now: float) -> None:
        self._open(now)
        self.lost_at = now
        self._lost.add(now, 1)

    def _open(self, now: float) -> None:
        if self.window_at == math.inf:
            self.window_at, self._quickest, self._heard = now + WINDOW, math.inf, False

    def close(self, now: float, own: float, deaf: bool, suspected: bool = False) -> None:
        """The window is over.

        `own`: seconds of it that are this router's, as far as others tell; `deaf`: nobody answered it at all;
        `suspected`: others in this hall lately called the link slow or cut.
        """
        self.window_at = math.inf
        untimed = self._quickest == math.inf
        gone = untimed and not self._heard
        if gone and deaf:
            return
        self.at = now
        self._gone.add(now, gone)
        if not untimed:
            usual = self.usual
            self.excess = self._quickest - usual if usual < math.inf else 0.0
            self._late.add(now, self.excess > max((TIMES - 1.0) * usual, LEAST_LATER) + OWN_TIMES * own)
            if own <= LEAST_LATER:
                self._usual.add(now, code_of(self._quickest))
        if gone or not untimed:
            self._tail.append(None if gone else code_of(self._quickest))
        self._windows += 1
        if self._windows >= LEAST_WINDOWS:
            self._judge(now, SECONDED if suspected else EVIDENCE)

    def _judge(self, now: float, needed: float) -> None:
        if self._gone.worse >= needed:
            worst = Link.CUT
        elif self._late.worse >= needed:
            worst = Link.SLOW
        else:
            worst = Link.WELL if self.usual < math.inf else Link.UNKNOWN
        if worst > self.state:
            if worst > Link.WELL:
                self._falls.append(now)
            self._turn(now, worst)
        elif worst < self.state and now - self._changed_at >= self.dwell(now):
            runs = self._gone if self.state is Link.CUT else self._late
            if runs.better >= EVIDENCE:
                self._turn(now, worst)

    def dwell(self, now: float) -> float:
        """Seconds that the present stay in slow or cut lasts at least: doubled by each lately before it."""
        lately = sum(now - at <= FLAPPING for at in self._falls)
        return min(MOST_DWELL, DWELL * 2.0 ** max(0, lately - 1))

    def _turn(self, now: float, state: Link) -> None:
        """What was seen before the turn is of another link, in effect: the present starts with the run."""
        if state is not Link.WELL or self.state is not Link.UNKNOWN:
            self._recent.clear()
            self._lost.clear()
            for code in self._tail:
                self._lost.add(now, int(code is None))
                if code is not None:
                    self._recent.add(now, code)
        self.state, self._changed_at = state, now

    def told(self) -> tuple[int, int, float]:
        """Buckets of the low and the typical round trip at present, and the share lost.

        Both buckets are the last one where nothing was answered since the verdict: far, never near.
        """
        low, typical = self._recent.quantile(0.1), self._recent.quantile(0.5)
        return (
            FARTHEST if low is None else low,
            FARTHEST if typical is None else typical,
            self._lost.share(1),
        )
