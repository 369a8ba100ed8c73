"""Logarithmic buckets for durations, and histograms whose counts decay with time.

The bucket scale is that of DDSketch (Masson, Rim, Lee, VLDB 2019), limited to 64 buckets so that a
bucket number fits in 6 bits. The histogram uses forward decay (Cormode, Shkapenyuk, Srivastava,
Xu, ICDE 2009): new samples weigh more, counted from a landmark time, so that stored counts need no
update as time passes. The weights depend on this router's clock; a histogram is never sent to
another router. Does no I/O and reads no clock.
"""

from __future__ import annotations

import math

MIN_DURATION_SECONDS = 50e-6  # half of what a datagram takes within a zone
BUCKET_RATIO = 1.21  # of a bucket to the one before; 64 of them reach 8.2 s with an error of 10%
NUM_BUCKETS = 64
LAST_BUCKET = NUM_BUCKETS - 1  # also stands for "no answer", so that such a link never looks near
_LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)
_LAST_BUCKET_SECONDS = MIN_DURATION_SECONDS * BUCKET_RATIO**LAST_BUCKET
_MAX_GROWTH_HALF_LIVES = 40.0  # then weights are scaled down; a double holds 2**1023


def bucket_of(seconds: float) -> int:
    """Return the bucket of a duration; the first or the last one for values outside the scale."""
    if seconds <= MIN_DURATION_SECONDS:
        return 0
    return (
        LAST_BUCKET
        if seconds >= _LAST_BUCKET_SECONDS
        else round(math.log(seconds / MIN_DURATION_SECONDS) / _LOG_BUCKET_RATIO)
    )


def bucket_seconds(bucket: int) -> float:
    """Return the middle of a bucket in seconds, within 10% of each duration in it."""
    return MIN_DURATION_SECONDS * math.pow(BUCKET_RATIO, bucket)


class DecayingHistogram:
    """Counts by bucket; a sample's weight halves with every half-life."""

    __slots__ = ("_counts", "_half_life", "_landmark", "_total")

    def __init__(self, half_life: float, size: int = NUM_BUCKETS) -> None:
        """Initialize an empty histogram.

        Args:
            half_life: Seconds after which a sample counts half.
            size: Number of buckets.
        """
        self._half_life = half_life
        self._counts = [0.0] * size
        self._total = 0.0
        self._landmark = 0.0

    def add(self, now: float, bucket: int) -> None:
        """Count one sample."""
        age = (now - self._landmark) / self._half_life
        if age > _MAX_GROWTH_HALF_LIVES:
            scale = 2.0**-age if self._total else 0.0
            self._counts = [count * scale for count in self._counts]
            self._total *= scale
            self._landmark, age = now, 0.0
        weight = 2.0**age
        self._counts[bucket] += weight
        self._total += weight

    def clear(self) -> None:
        """Remove all samples."""
        self._counts = [0.0] * len(self._counts)
        self._total = 0.0

    def total_weight(self, now: float) -> float:
        """Return the weight of all samples; a sample taken now weighs 1."""
        return self._total * math.pow(2.0, -min(1000.0, (now - self._landmark) / self._half_life))

    def fraction(self, bucket: int) -> float:
        """Return the fraction of the weight that is in this bucket, 0 for an empty histogram."""
        return self._counts[bucket] / self._total if self._total else 0.0

    def quantile(self, fraction: float) -> int | None:
        """Return the bucket of a quantile, None for an empty histogram."""
        if not self._total:
            return None
        remaining = self._total * fraction
        last = 0
        for bucket, count in enumerate(self._counts):
            if count:
                last = bucket
                remaining -= count
                if remaining <= 0.0:
                    break
        return last
