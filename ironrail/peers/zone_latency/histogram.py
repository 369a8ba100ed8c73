"""Durations on a logarithmic scale, and distributions of them that fade with time. Pure.

The scale is that of DDSketch (Masson, Rim, Lee, VLDB 2019), cut to 64 buckets so that one fits 6 bits; the
fading is forward decay (Cormode, Shkapenyuk, Srivastava, Xu, ICDE 2009): weights grow from a landmark on, so
that nothing stored has to be touched as time passes. It takes one clock, so it never leaves the router.
"""

from __future__ import annotations

import math

LEAST = 50e-6  # seconds: half of what a datagram takes within a hall
RATIO = 1.21  # of a bucket to the one before: 64 of them reach 8.2 s at an error of a tenth
BUCKETS = 64
FARTHEST = BUCKETS - 1  # also told where nothing is answered: far, never near
_LOG_RATIO = math.log(RATIO)
_TOP = LEAST * RATIO**FARTHEST
_MOST_GROWTH = 40.0  # half-lives that weights may grow before they are scaled down; doubles hold 2**1023


def code_of(seconds: float) -> int:
    """The bucket of a duration; below and beyond the scale the first and the last."""
    if seconds <= LEAST:
        return 0
    return FARTHEST if seconds >= _TOP else round(math.log(seconds / LEAST) / _LOG_RATIO)


def seconds_of(code: int) -> float:
    """The middle of a bucket, in seconds: within a tenth of each duration in it."""
    return LEAST * math.pow(RATIO, code)


class Fading:
    """Counts by bucket, each worth half as much after every half-life."""

    __slots__ = ("_counts", "_half_life", "_landmark", "_total")

    def __init__(self, half_life: float, size: int = BUCKETS) -> None:
        """`half_life` in seconds."""
        self._half_life = half_life
        self._counts = [0.0] * size
        self._total = 0.0
        self._landmark = 0.0

    def add(self, now: float, bucket: int) -> None:
        age = (now - self._landmark) / self._half_life
        if age > _MOST_GROWTH:
            shrink = 2.0**-age if self._total else 0.0
            self._counts = [count * shrink for count in self._counts]
            self._total *= shrink
            self._landmark, age = now, 0.0
        weight = 2.0**age
        self._counts[bucket] += weight
        self._total += weight

    def clear(self) -> None:
        self._counts = [0.0] * len(self._counts)
        self._total = 0.0

    def weight(self, now: float) -> float:
        """How many samples of this moment what is left is worth."""
        return self._total * math.pow(2.0, -min(1000.0, (now - self._landmark) / self._half_life))

    def share(self, bucket: int) -> float:
        """Of this bucket in all, 0 where nothing was counted."""
        return self._counts[bucket] / self._total if self._total else 0.0

    def quantile(self, share: float) -> int | None:
        """The bucket below or in which this share lies; None where nothing was counted."""
        if not self._total:
            return None
        left = self._total * share
        last = 0
        for bucket, count in enumerate(self._counts):
            if count:
                last = bucket
                left -= count
                if left <= 0.0:
                    break
        return last
