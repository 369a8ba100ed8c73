"""All that one router sees itself, and what of it is its own doing rather than a link's. Pure.

Round trips that are late everywhere at once waited in this router: the least excess among the halls
heard from within a second is taken off every sample. Losses count only while somebody answers.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.peers.zone_latency.link_tracker import Link, Sight

TOGETHER = 1.0  # seconds in which samples of several halls tell of the same state of this router
OTHERS = 2  # halls that must be late with one to lay it to this router; its own hall is proof alone
HEARING = 0.25  # seconds in which somebody's answer shows that a loss is the link's
SILENT = 0.4  # seconds besides the way: most servers answer sooner, or answer another meanwhile


class Evidence:
    """Sights of a router in hall `own`, by the number of the other hall."""

    def __init__(self, own: int, suspected: Callable[[float, int], bool] = lambda now, hall: False) -> None:
        """`suspected`: whether others in this hall lately called the link to that one slow or cut."""
        self._own, self._suspected = own, suspected
        self.sights: dict[int, Sight] = {}
        self.unusable = 0  # durations that are none

    def observe(self, now: float, hall: int, seconds: float) -> int | None:
        """A round trip of so many seconds. Returns the hall if a window of its closed."""
        if not 0.0 < seconds < math.inf:
            self.unusable += 1
            return None
        closed = self._close_if_due(now, hall)
        self.sights[hall].answered(now, seconds)
        return closed

    def lost(self, now: float, hall: int) -> int | None:
        """One that never came back. Returns the hall if a window of its closed."""
        closed = self._close_if_due(now, hall)
        self.sights[hall].lost(now)
        return closed

    def heard(self, now: float, hall: int) -> int | None:
        """Something came back, who knows how quickly. Returns the hall if a window of its closed."""
        closed = self._close_if_due(now, hall)
        self.sights[hall].heard(now)
        return closed

    def silent(self, now: float, hall: int, seconds: float) -> int | None:
        """Somebody waited so long and nothing came: lost, if way and work take less."""
        usual = self.sights[hall].usual if hall in self.sights else math.inf
        return self.lost(now, hall) if seconds >= SILENT + (usual if usual < math.inf else 0.0) else None

    def close_due(self, now: float) -> list[int]:
        """End the windows that are over; the halls they were of."""
        due = [hall for hall, sight in self.sights.items() if sight.window_at <= now]
        return [hall for hall in due if self._close_if_due(now, hall) is not None]

    def due(self) -> float:
        """When the next window ends, infinite if none is open."""
        return min((sight.window_at for sight in self.sights.values()), default=math.inf)

    def state(self, hall: int) -> Link:
        return self.sights[hall].state if hall in self.sights else Link.UNKNOWN

    def _close_if_due(self, now: float, hall: int) -> int | None:
        sight = self.sights.get(hall)
        if sight is None:
            sight = self.sights[hall] = Sight()
        if now < sight.window_at:
            return None
        suspected = sight.close_to_verdict and self._suspected(now, hall)
        sight.close(now, self._own_share(now, hall), self._deaf(now, hall), suspected)
        return hall

    def _own_share(self, now: float, hall: int) -> float:
        late = {h: s.excess for h, s in self.sights.items() if h != hall and now - s.answered_at <= TOGETHER}
        if len(late) >= OTHERS or self._own in late:
            return max(0.0, min(late.values()))
        return 0.0

    def _deaf(self, now: float, hall: int) -> bool:
        """Whether what is lost is lost everywhere: so it is when this router itself is cut off."""
        others = [(h, s) for h, s in self.sights.items() if h != hall]
        heard = max((s.heard_at for _, s in others), default=-math.inf)
        if now - heard <= HEARING:
            return False
        silent = [h for h, s in others if s.lost_at > heard]
        return len(silent) >= OTHERS or self._own in silent
