"""When first tries come: a Poisson stream whose rate follows the load's shape. Pure."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from ironrail.rehearsal.scenario.model import Load

WAVE = 6.0  # seconds of a burst and the lull after it


def rate_at(load: Load, at: float, length: float) -> float:
    """First tries a second at this moment; its mean over whole waves, or the whole length, is `load.rate`."""
    match load.shape:
        case "bursty":
            return load.rate * (1 + load.swing * math.sin(2 * math.pi * at / WAVE))
        case "ramp":
            return load.rate * (1 + load.swing * (2 * at / length - 1)) if length > 0 else load.rate
    return load.rate


def arrivals(load: Load, length: float, draws: random.Random) -> Iterator[float]:
    """Times of arrival within the length, by thinning (Lewis and Shedler 1979)."""
    highest = load.rate * (1 + load.swing)
    at = 0.0
    while True:
        at += draws.expovariate(highest)
        kept = draws.random()  # drawn for each, so that the shape moves no later draw
        if at >= length:
            return
        if kept * highest < rate_at(load, at, length):
            yield at
