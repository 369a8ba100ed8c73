"""The plain front: spreads clients over the routers of their hall, and notices a dead one late. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class Seen:
    """A router as the front knows it."""

    hall: str
    alive: bool = True
    gone_at: float | None = None  # when it died, if the front has not noticed yet


@dataclass(slots=True)
class Front:
    """Deals out routers in turn. A hot one draws a share of all traffic besides its own."""

    notice: float  # seconds
    routers: dict[str, Seen] = field(default_factory=dict)
    hot: dict[object, tuple[str, float]] = field(default_factory=dict)
    _turn: int = 0

    def died(self, router: str, now: float) -> None:
        self.routers[router].gone_at = now

    def ready(self, router: str) -> None:
        """It answers again, and the front finds out at once."""
        seen = self.routers[router]
        seen.alive, seen.gone_at = True, None

    def choose(self, hall: str, now: float, draws: random.Random) -> str:
        """A router for a client of this hall; another hall's where it has none that is thought alive."""
        for seen in self.routers.values():
            if seen.gone_at is not None and now >= seen.gone_at + self.notice:
                seen.alive = False
        draw = draws.random()  # drawn each time, so that a hot router moves no later draw
        for router, share in self.hot.values():
            if draw < share:
                return router
            draw -= share
        alive = [name for name, seen in self.routers.items() if seen.alive] or list(self.routers)
        own = [name for name in alive if self.routers[name].hall == hall] or alive
        self._turn += 1
        return own[self._turn % len(own)]
