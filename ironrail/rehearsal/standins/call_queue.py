"""The service that tells all routers the list, where they have to ask: calls in turn. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Desk:
    """Works through calls one after another, those included that it refused meanwhile."""

    rate: float  # calls a second
    patience: float  # seconds that a call waits for its turn
    slower: float = 1.0  # times, while others crowd it
    _free_at: float = 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """When a call that comes now ends, and whether with an answer."""
        begins = max(now, self._free_at)
        self._free_at = begins + self.slower / self.rate
        if begins - now > self.patience:
            return now + self.patience, False
        return self._free_at, True
