"""Durations at the reader on a logarithmic scale, and distributions of them that fade with time. Pure.

As the map of latency has it (DDSketch's buckets, forward decay), on a scale of its own: to a reader less than
a millisecond decides nothing, so 6 bits reach 4.4 s at an error of 7 %.
"""

from __future__ import annotations

import math
from array import array

LEAST = 0.001  # seconds
RATIO = 1.145  # of a bucket to the one before
BUCKETS = 63
NOTHING = 63  # the code of no evidence: never read as a duration
_LOG_RATIO = math.log(RATIO)
_TOP = LEAST * RATIO ** (BUCKETS - 1)
_MOST_GROWTH = 40.0  # half-lives that weights may grow before they are scaled down
RATE_LEAST, _LOG_RATE = 0.01, math.log(1.25)  # requests/s and the ratio of their codes: up to 10,000/s
PART_LEAST, _LOG_PART = 0.004, math.log(1.0 / 0.004) / 14  # the last code is all


def code_of(seconds: float) -> int:
    """The bucket of a duration; below and beyond the scale the first and the last."""
    if seconds <= LEAST:
        return 0
    return BUCKETS - 1 if seconds >= _TOP else round(math.log(seconds / LEAST) / _LOG_RATIO)


def seconds_of(code: int) -> float:
    """The middle of a bucket, in seconds."""
    return LEAST * math.pow(RATIO, code)


def rate_code(rate: float) -> int:
    """Of requests/s: within 12 % from 0.01 to 10,000."""
    return min(63, max(0, round(math.log(max(rate, RATE_LEAST) / RATE_LEAST) / _LOG_RATE)))


def rate_of(code: int) -> float:
    return RATE_LEAST * math.exp(code * _LOG_RATE)


def part_code(share: float) -> int:
    """Of a share: 4 bits, within a quarter from 0.4 % up, as it matters whether 1 or 4 of 100 are late."""
    return 0 if share < PART_LEAST / 1.5 else min(15, 1 + round(math.log(share / PART_LEAST) / _LOG_PART))


def part_of(code: int) -> float:
    return min(1.0, PART_LEAST * math.exp((code - 1) * _LOG_PART)) if code else 0.0


# of all codes, as one number each: tables of cells hold many
SECONDS = (*(seconds_of(code) for code in range(BUCKETS)), math.inf)
RATES = tuple(rate_of(code) for code in range(64))
PARTS = tuple(part_of(code) for code in range(16))
FIFTEENTHS = tuple(code / 15 for code in range(16))


class Fading:
    """Counts by bucket, each worth half as much after every half-life. 8 bytes a bucket."""

    __slots__ = ("_counts", "_half_life", "_landmark", "_total")

    def __init__(self, half_life: float, size: int = BUCKETS) -> None:
        """`half_life` in seconds."""
        self._half_life = half_life
        self._counts = array("d", bytes(8 * size))
        self._total = self._landmark = 0.0

    def add(self, now: float, bucket: int, times: float = 1.0) -> None:
        age = (now - self._landmark) / self._half_life
        if age > _MOST_GROWTH:
            self._scale(2.0 ** -min(age, 1000.0))
            self._landmark, age = now, 0.0
        weight = times * 2.0**age
        self._counts[bucket] += weight
        self._total += weight

    def _scale(self, by: float) -> None:
        self._counts = array("d", [count * by for count in self._counts])
        self._total = sum(self._counts)

    def weight(self, now: float) -> float:
        """How many samples of this moment what is left is worth."""
        return self._total * math.pow(2.0, -min(1000.0, (now - self._landmark) / self._half_life))

    def share(self, bucket: int) -> float:
        """Of this bucket in all, 0 where nothing was counted."""
        return self._counts[bucket] / self._total if self._total else 0.0

    def quantile(self, share: float) -> int:
        """The bucket in which this share lies; NOTHING where nothing was counted."""
        left = self._total * share
        last = NOTHING
        for bucket, count in enumerate(self._counts):
            if count:
                last = bucket
                left -= count
                if left <= 0.0:
                    break
        return last
