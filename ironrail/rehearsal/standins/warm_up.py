"""The capacity of a newly started server, and whether it is sent too much for it. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

BURST_TOLERANCE_FACTOR = 1.05  # on the stated bound: the end of a burst may arrive late


@dataclass(frozen=True, slots=True)
class Overload:
    """A cold server was sent more work than it can bear. Work is in seconds of one core."""

    at: float
    sent: float  # work within the window
    informed: float  # the part of it from routers that knew of the server's start
    allowed: float


class WarmUp:
    """A server whose capacity rises linearly from a cold fraction; overload makes it collapse.

    The bound is a budget: the work sent within any window of the stated length must stay below
    `multiple` times the capacity at the window's end, times the window's length.
    """

    def __init__(self, capacity: float, cold: float, ramp: float, multiple: float, window: float) -> None:
        """Creates a server that started long ago.

        Args:
            capacity: Seconds of work per second, once warm.
            cold: Fraction of the capacity at the start.
            ramp: Seconds until the server is warm.
            multiple: Factor on the capacity that a cold server bears.
            window: Seconds over which work is summed.
        """
        self._capacity, self._cold, self._ramp = capacity, cold, ramp
        self._multiple, self._window = multiple, window
        self._started: float | None = None  # None: long ago
        self._sent: deque[tuple[float, float, float]] = deque()  # time, work, work of informed routers
        self._sum = 0.0
        self._informed_sum = 0.0
        # while cold: largest ratio of informed routers' work within a window to what was allowed
        self.max_load_ratio = 0.0

    def start(self, now: float) -> None:
        """Starts a new process: cold, with nothing sent to it."""
        self._started = now
        self._sent.clear()
        self._sum = self._informed_sum = self.max_load_ratio = 0.0

    def capacity_fraction(self, now: float) -> float:
        """The fraction of its capacity that the server has now."""
        if self._started is None or now >= self._started + self._ramp:
            return 1.0
        return self._cold + (1.0 - self._cold) * max(0.0, now - self._started) / self._ramp

    def record_work(self, now: float, work: float, informed: bool = True) -> Overload | None:
        """Adds work that the server is sent; returns the overload that it causes, if any."""
        fraction = self.capacity_fraction(now)
        if fraction >= 1.0:
            return None
        self._sent.append((now, work, work * informed))
        self._sum += work
        self._informed_sum += work * informed
        while self._sent[0][0] <= now - self._window:
            _, old, old_informed = self._sent.popleft()
            self._sum -= old
            self._informed_sum -= old_informed
        allowed = self._multiple * self._capacity * fraction * self._window
        self.max_load_ratio = max(self.max_load_ratio, self._informed_sum / allowed)
        if len(self._sent) > 1 and self._sum > BURST_TOLERANCE_FACTOR * allowed + work:
            return Overload(now, self._sum, self._informed_sum, allowed)
        return None
