"""The plain front: spreads clients over the routers of their hall, and notices a dead one late. Pure."""

from __future__ import annotations

import math
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
    told: dict[str, None] = field(default_factory=dict)  # routers that were told to end, until they are back
    hot: dict[object, tuple[str, float]] = field(default_factory=dict)
    _turn: int = 0
    _noticed_at: float = -math.inf  # when the next death is noticed; not before anything else changes
    _choices: dict[str, list[str]] = field(default_factory=dict)  # by hall, until then

    def died(self, router: str, now: float) -> None:
        self.routers[router].gone_at = now
        self._changed()

    def ending(self, router: str, until: float) -> None:
        """It was told to end: until then new clients are sent there, as others have yet to hear of it."""
        self.told[router] = None
        self.died(router, until - self.notice)

    def ready(self, router: str) -> None:
        """It answers again, and the front finds out at once."""
        self.told.pop(router, None)
        seen = self.routers[router]
        seen.alive, seen.gone_at = True, None
        self._changed()

    def _changed(self) -> None:
        self._noticed_at = -math.inf

    def choose(self, hall: str, now: float, draws: random.Random) -> str:
        """A router for a client of this hall; another hall's where it has none that is thought alive."""
        if now >= self._noticed_at:
            self._notice(now)
        draw = draws.random()  # drawn each time, so that a hot router moves no later draw
        for router, share in self.hot.values():
            if draw < share:
                return router
            draw -= share
        own = self._choices.get(hall)
        if own is None:  # kept, as looking through a thousand routers for each request would be most of a run
            alive = [name for name, seen in self.routers.items() if seen.alive] or list(self.routers)
            own = [name for name in alive if self.routers[name].hall == hall] or alive
            self._choices[hall] = own
        self._turn += 1
        return own[self._turn % len(own)]

    def _notice(self, now: float) -> None:
        """Find out who is dead by now, and when the next one is found out."""
        self._choices.clear()
        self._noticed_at = math.inf
        for seen in self.routers.values():
            if seen.gone_at is None or not seen.alive:
                continue
            if now >= seen.gone_at + self.notice:
                seen.alive = False
            else:
                self._noticed_at = min(self._noticed_at, seen.gone_at + self.notice)
