"""The form of what a run must keep."""

from __future__ import annotations

from ironrail.rehearsal.scenario.base import Share, Table
from ironrail.rehearsal.scenario.units import Bytes, Seconds


class Bounds(Table):
    """What a run must keep. What is left out is not judged, broken rules always are."""

    service: Share | None = None  # worth answered in time over worth asked for, at the least
    worst_window: Share | None = None  # the same in the worst 5 s
    worst_class: Share | None = None  # of those with a twentieth of it, or that may not simply be repeated
    worst_title: Share | None = None  # of those with a twentieth of the worth asked for inside shares
    archive_fetches: float | None = None  # for each first try, at the most
    connections: float | None = None  # to one cache, mean over time, at the most
    kept_back: int = 0  # answers given up and held back all the same, at the most
    untimed: int = 0  # refusals that name no time, at the most
    memory: Bytes | None = None  # of the largest router, at the most; its limit where left out
    descriptors: int | None = None  # of the router with most of them; its limit where left out
    log: Bytes = 4 * 1024**2  # of one router, at the most
    stop: Seconds = 4.5  # from SIGTERM to its end, at the most
