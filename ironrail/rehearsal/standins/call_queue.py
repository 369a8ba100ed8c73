"""The queue of a discovery service that routers poll: one call at a time. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CallQueue:
    """Handles calls one after another, including those that were refused while they waited."""

    rate: float  # calls per second
    patience: float  # seconds that a call waits before it is refused
    slowdown: float = 1.0  # factor on the duration of a call while other users load the service
    _free_at: float = 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """Returns when a call that arrives now ends, and whether it is answered."""
        begins = max(now, self._free_at)
        self._free_at = begins + self.slowdown / self.rate
        if begins - now > self.patience:
            return now + self.patience, False
        return self._free_at, True
