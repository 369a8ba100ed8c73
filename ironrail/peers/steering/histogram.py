"""Quantized durations, rates and fractions, and histograms whose samples decay with time.

The buckets are logarithmic (as in DDSketch) and the decay is forward decay, as for zone latency.
The scale is a different one: differences below a millisecond don't matter to a client, so 6 bits
reach 4.4 s with an error of 7 %. No I/O.
"""

from __future__ import annotations

import math
from array import array

MIN_DURATION_SECONDS = 0.001
BUCKET_RATIO = 1.145  # upper bound of a bucket divided by that of the bucket before
NUM_BUCKETS = 63
NO_DATA_CODE = 63  # stands for no samples; never decoded to a finite duration
_LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)
_MAX_DURATION_SECONDS = MIN_DURATION_SECONDS * BUCKET_RATIO ** (NUM_BUCKETS - 1)
_MAX_GROWTH_HALF_LIVES = 40.0  # weights grow by 2 to this power before they are scaled down
MIN_RATE_PER_SECOND, _LOG_RATE_RATIO = 0.01, math.log(1.25)  # 64 codes of this ratio reach 10,000/s
MIN_FRACTION, _LOG_FRACTION_RATIO = (
    0.004,
    math.log(1.0 / 0.004) / 14,
)  # the last code stands for 1.0


def duration_code(seconds: float) -> int:
    """Return the bucket of a duration; values outside the scale map to the first or last bucket."""
    if seconds <= MIN_DURATION_SECONDS:
        return 0
    return (
        NUM_BUCKETS - 1
        if seconds >= _MAX_DURATION_SECONDS
        else round(math.log(seconds / MIN_DURATION_SECONDS) / _LOG_BUCKET_RATIO)
    )


def duration_from_code(code: int) -> float:
    """Return the middle of a bucket in seconds."""
    return MIN_DURATION_SECONDS * math.pow(BUCKET_RATIO, code)


def rate_code(rate: float) -> int:
    """Return the code of a rate in requests/s, within 12 % from 0.01 to 10,000."""
    return min(
        63,
        max(
            0,
            round(math.log(max(rate, MIN_RATE_PER_SECOND) / MIN_RATE_PER_SECOND) / _LOG_RATE_RATIO),
        ),
    )


def rate_from_code(code: int) -> float:
    """Return the rate in requests/s that a code stands for."""
    return MIN_RATE_PER_SECOND * math.exp(code * _LOG_RATE_RATIO)


def fraction_code(fraction: float) -> int:
    """Return the 4-bit code of a fraction, within 25 % from 0.4 % up.

    The scale is logarithmic because the difference between 1 % and 4 % of late responses matters.
    """
    return (
        0
        if fraction < MIN_FRACTION / 1.5
        else min(15, 1 + round(math.log(fraction / MIN_FRACTION) / _LOG_FRACTION_RATIO))
    )


def fraction_from_code(code: int) -> float:
    """Return the fraction that a code stands for."""
    return min(1.0, MIN_FRACTION * math.exp((code - 1) * _LOG_FRACTION_RATIO)) if code else 0.0


# Decoded values by code, shared so that tables of many cells don't hold a float object each.
DURATION_BY_CODE = (*(duration_from_code(code) for code in range(NUM_BUCKETS)), math.inf)
RATE_BY_CODE = tuple(rate_from_code(code) for code in range(64))
FRACTION_BY_CODE = tuple(fraction_from_code(code) for code in range(16))
CLASS_SHARE_BY_CODE = tuple(code / 15 for code in range(16))


class DecayingHistogram:
    """Sample counts by bucket, 8 bytes each; a sample's weight halves with every half-life."""

    __slots__ = ("_counts", "_half_life", "_landmark", "_total")

    def __init__(self, half_life: float, size: int = NUM_BUCKETS) -> None:
        """Begin without samples; `half_life` is in seconds."""
        self._half_life = half_life
        self._counts = array("d", bytes(8 * size))
        self._total = self._landmark = 0.0

    def add(self, now: float, bucket: int, times: float = 1.0) -> None:
        """Add `times` samples to a bucket."""
        age = (now - self._landmark) / self._half_life
        if age > _MAX_GROWTH_HALF_LIVES:
            self._scale(2.0 ** -min(age, 1000.0))
            self._landmark, age = now, 0.0
        weight = times * 2.0**age
        self._counts[bucket] += weight
        self._total += weight

    def _scale(self, factor: float) -> None:
        self._counts = array("d", [count * factor for count in self._counts])
        self._total = sum(self._counts)

    def weight(self, now: float) -> float:
        """Return the total weight of all samples, where a sample taken now has weight 1."""
        return self._total * math.pow(2.0, -min(1000.0, (now - self._landmark) / self._half_life))

    def share(self, bucket: int) -> float:
        """Return the bucket's share of the total weight; 0 without samples."""
        return self._counts[bucket] / self._total if self._total else 0.0

    def quantile(self, share: float) -> int:
        """Return the bucket that holds the quantile `share`; NO_DATA_CODE without samples."""
        left = self._total * share
        last = NO_DATA_CODE
        for bucket, count in enumerate(self._counts):
            if count:
                last = bucket
                left -= count
                if left <= 0.0:
                    break
        return last
