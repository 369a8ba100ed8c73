"""Exponential backoff with jitter, as used for ejected servers and failed polls."""

from __future__ import annotations

import random

MAX_BACKOFF_DOUBLINGS = 1000  # 2.0 ** n overflows above 1023
MIN_JITTER_RATIO = 0.5
MAX_JITTER_RATIO = 1.0


def with_jitter(delay: float, draws: random.Random) -> float:
    """Shorten a delay in seconds at random, so that routers do not act at the same time."""
    return delay * draws.uniform(MIN_JITTER_RATIO, MAX_JITTER_RATIO)
