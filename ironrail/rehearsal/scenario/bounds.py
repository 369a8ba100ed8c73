"""The bounds that a run is judged by."""

from __future__ import annotations

from ironrail.rehearsal.scenario.base import Share, Table
from ironrail.rehearsal.scenario.units import Bytes, Seconds


class Bounds(Table):
    """The bounds of a run. A bound that is left out is not judged; rule violations always are."""

    service: Share | None = None  # minimum of the worth answered in time over the worth requested
    worst_window: Share | None = None  # minimum of the same in the worst 5 s
    worst_class: Share | None = None  # of classes with a twentieth of it, or not simply repeatable
    worst_title: Share | None = None  # of titles with a twentieth of the worth inside the shares
    archive_fetches: float | None = None  # maximum per first try
    connections: float | None = None  # maximum to one cache, mean over time
    kept_back: int = 0  # maximum number of failure answers that were held back without reason
    untimed: int = 0  # maximum number of refusals without a retry time
    memory: Bytes | None = None  # maximum of any router; by default its memory limit
    descriptors: int | None = None  # maximum of any router; by default its descriptor limit
    log: Bytes = 4 * 1024**2  # maximum of one router
    stop: Seconds = 4.5  # maximum from SIGTERM to the end of a router
