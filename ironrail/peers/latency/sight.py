"""What one router sees of the link from its hall to another, and what it makes of it. Pure.

Samples are taken by windows, the quickest of each: ten answers that waited behind one another are one piece
of news. A window is bad if nothing came back or if it came much later than usual. Two sums of log likelihoods
(CUSUM, Page 1954) weigh runs of bad and of good windows against the share of bad ones that is usual here, so
that a link that always loses half needs a longer run than one that never does.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum

from ironrail.peers.latency.buckets import FARTHEST, Fading, code_of, seconds_of

WINDOW = 0.1  # seconds whose quickest sample counts: shorter than any run worth telling, longer than a burst
USUAL = 600.0  # seconds, half-life of what counts as usual: a link slow for as long is usual by then
RECENT = 10.0  # seconds, half-life of what is told as present; cleared when the verdict changes
TIMES = 3.0  # slower than usual is bad: halls differ by less from hour to hour, a tenfold fault by more
LEAST_LATER = 0.002  # seconds later than usual to be bad: less is the loop of a busy router
EVIDENCE = 8.5  # log of the odds at which a verdict falls: 3 bad windows where 0.05 are, 14 where half are
FEW, MOST = 0.05, 0.6  # bounds on the usual share of bad windows; beyond, a run is no evidence
IN_FAULT = 0.95  # share of bad windows of a link that is slow or cut
LEAST_WINDOWS = 4  # before any verdict
DWELL = 2.0  # seconds at least that a link stays slow or cut
FLAPPING = 120.0  # seconds in which each verdict of slow or cut doubles the next stay
MOST_DWELL = 64.0  # seconds
GONE, ANSWERS = 0.9, 0.7  # share of windows without an answer: above, cut; below, slow again


class Link(IntEnum):
    """How a link is, worse the higher; nothing is known of UNKNOWN, also not that it is near."""

    UNKNOWN = 0
    WELL = 1
    SLOW = 2
    CUT = 3


class Sight:
    """Evidence of one link."""

    def __init__(self) -> None:
        self.state = Link.UNKNOWN
        self.at = -math.inf  # of the latest evidence
        self.excess = 0.0  # seconds that the latest window's quickest took beyond the usual
        self.answered_at = self.lost_at = -math.inf
        self.window_at = math.inf  # when the open window ends; infinite if none is open
        self._quickest = math.inf
        self._usual, self._bad = Fading(USUAL), Fading(USUAL, 2)
        self._recent, self._lost, self._gone = Fading(RECENT), Fading(RECENT, 2), Fading(RECENT, 2)
        self._worse, self._better = 0.0, 0.0  # the two sums
        self._tail: deque[tuple[int | None, bool]] = deque(maxlen=3)  # windows that a verdict falls by
        self._windows = 0
        self._changed_at = -math.inf
        self._falls: deque[float] = deque(maxlen=8)

    @property
    def usual(self) -> float:
        """Seconds; infinite where nothing was ever answered."""
        code = self._usual.quantile(0.5)
        return math.inf if code is None else seconds_of(code)

    def answered(self, now: float, seconds: float) -> None:
        self._open(now)
        self.answered_at = now
        self._quickest = min(self._quickest, seconds)
        self._recent.add(now, code_of(seconds))
        self._lost.add(now, 0)

    def lost(self, now: float) -> None:
        self._open(now)
        self.lost_at = now
        self._lost.add(now, 1)

    def _open(self, now: float) -> None:
        if self.window_at == math.inf:
            self.window_at, self._quickest = now + WINDOW, math.inf

    def close(self, now: float, own: float, deaf: bool) -> None:
        """The window is over. `own`: seconds of it that are this router's; `deaf`: nobody answered it."""
        self.window_at = math.inf
        gone = self._quickest == math.inf
        if gone and deaf:
            return
        self.at = now
        usual = self.usual
        bad, code = gone, None
        if not gone:
            net = max(0.0, self._quickest - own)
            bad = usual < math.inf and net > max(TIMES * usual, usual + LEAST_LATER)
            code = code_of(net)
            self.excess = self._quickest - usual if usual < math.inf else 0.0
            self._usual.add(now, code)
        self._weigh(now, bad)
        self._gone.add(now, int(gone))
        self._tail.append((code, gone))
        self._judge(now)

    def _weigh(self, now: float, bad: bool) -> None:
        weight = self._bad.weight(now)
        seldom = (self._bad.share(1) * weight + 1.0) / (
            weight + 2.0
        )  # Laplace's: a new link may be a bad one
        seldom = min(MOST, max(FEW, seldom))
        step = math.log(IN_FAULT / seldom) if bad else math.log((1 - IN_FAULT) / (1 - seldom))
        self._worse = min(EVIDENCE, max(0.0, self._worse + step))
        self._better = min(EVIDENCE, max(0.0, self._better - step))
        self._bad.add(now, int(bad))
        self._windows += 1

    def _judge(self, now: float) -> None:
        if self._windows < LEAST_WINDOWS:
            return
        if self.state <= Link.WELL:
            if self._worse >= EVIDENCE:
                self._falls.append(now)
                lost = sum(gone for _, gone in self._tail)
                self._turn(now, Link.CUT if lost > len(self._tail) / 2 else Link.SLOW)
            elif self.usual < math.inf:
                self.state = Link.WELL
        elif self._better >= EVIDENCE:
            if now - self._changed_at >= self.dwell(now):
                self._turn(now, Link.WELL)
        elif now - self._changed_at >= DWELL:
            gone = self._gone.share(1)
            if self.state is Link.SLOW and gone >= GONE and self._gone.weight(now) >= len(self._tail):
                self._turn(now, Link.CUT)
            elif self.state is Link.CUT and gone <= ANSWERS:
                self._turn(now, Link.SLOW)

    def dwell(self, now: float) -> float:
        """Seconds that the present stay in slow or cut lasts at least: doubled by each lately before it."""
        lately = sum(now - at <= FLAPPING for at in self._falls)
        return min(MOST_DWELL, DWELL * 2.0 ** max(0, lately - 1))

    def _turn(self, now: float, state: Link) -> None:
        """What was seen before the turn is of another link, in effect: the present starts with the run."""
        self.state, self._changed_at = state, now
        for faded in (self._recent, self._lost, self._gone):
            faded.clear()
        for code, gone in self._tail:
            self._gone.add(now, int(gone))
            self._lost.add(now, int(gone))
            if code is not None:
                self._recent.add(now, code)

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
