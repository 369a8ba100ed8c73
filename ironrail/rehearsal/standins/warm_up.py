"""What a newly started server can do, and when it has been sent too much. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SLACK = 1.05  # of the stated bound: the last bytes of a burst may come late


@dataclass(frozen=True, slots=True)
class Fall:
    """A cold server that was pushed over."""

    at: float
    sent: float  # work within the window
    informed: float  # of that, what came from routers that knew of its start
    allowed: float


class Warmth:
    """Capacity rises evenly from the cold share to all of it; sent too much before that, it falls for good.

    The bound is a budget: all that is sent within any window of the stated length must stay under
    `multiple` times what the server can do at the window's end, times its length.
    """

    def __init__(self, capacity: float, cold: float, ramp: float, multiple: float, window: float) -> None:
        self._capacity, self._cold, self._ramp = capacity, cold, ramp
        self._multiple, self._window = multiple, window
        self._started: float | None = None  # None: long ago
        self._sent: deque[tuple[float, float, float]] = deque()  # when, work, and that of the informed
        self._sum = 0.0
        self._knowing = 0.0
        # of what it bears, the largest part that the informed sent within a window while it was cold
        self.most = 0.0

    def start(self, now: float) -> None:
        """A new process: cold, with nothing sent to it."""
        self._started = now
        self._sent.clear()
        self._sum = self._knowing = self.most = 0.0

    def share(self, now: float) -> float:
        """Of its capacity, what it has now."""
        if self._started is None or now >= self._started + self._ramp:
            return 1.0
        return self._cold + (1.0 - self._cold) * max(0.0, now - self._started) / self._ramp

    def sent(self, now: float, work: float, informed: bool = True) -> Fall | None:
        """It is sent work; answers with the fall that this brings about, if any."""
        share = self.share(now)
        if share >= 1.0:
            return None
        self._sent.append((now, work, work * informed))
        self._sum += work
        self._knowing += work * informed
        while self._sent[0][0] <= now - self._window:
            _, old, known = self._sent.popleft()
            self._sum -= old
            self._knowing -= known
        allowed = self._multiple * self._capacity * share * self._window
        self.most = max(self.most, self._knowing / allowed)
        if len(self._sent) > 1 and self._sum > SLACK * allowed + work:
            return Fall(now, self._sum, self._knowing, allowed)
        return None
