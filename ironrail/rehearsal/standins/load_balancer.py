"""The load balancer: spreads clients over their zone's routers, notices deaths late. No I/O."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class RouterState:
    """A router as the load balancer knows it."""

    zone: str
    alive: bool = True
    died_at: float | None = None  # if the load balancer has not noticed yet


@dataclass(slots=True)
class LoadBalancer:
    """Round robin over routers. A hot router receives a share of all traffic besides its own."""

    notice: float  # seconds until a dead router is noticed
    routers: dict[str, RouterState] = field(default_factory=dict)
    # routers that were told to terminate, until they are back
    terminating: dict[str, None] = field(default_factory=dict)
    # by cause: a router and its share of all traffic
    hot: dict[object, tuple[str, float]] = field(default_factory=dict)
    _turn: int = 0
    _next_notice_at: float = -math.inf  # when the next death is noticed, if nothing else changes before
    _choices: dict[str, list[str]] = field(default_factory=dict)  # by zone, until then

    def mark_dead(self, router: str, now: float) -> None:
        """The router has died; clients are sent there until that is noticed."""
        self.routers[router].died_at = now
        self._invalidate()

    def mark_terminating(self, router: str, until: float) -> None:
        """The router was told to terminate; new clients are sent there until this time.

        A real load balancer, too, learns of a termination later than the router.
        """
        self.terminating[router] = None
        self.mark_dead(router, until - self.notice)

    def mark_ready(self, router: str) -> None:
        """The router answers again, which is noticed at once."""
        self.terminating.pop(router, None)
        state = self.routers[router]
        state.alive, state.died_at = True, None
        self._invalidate()

    def _invalidate(self) -> None:
        self._next_notice_at = -math.inf

    def choose(self, zone: str, now: float, draws: random.Random) -> str:
        """Returns a router for a client of this zone; another zone's if all there seem dead."""
        if now >= self._next_notice_at:
            self._update_choices(now)
        draw = draws.random()  # drawn each time, so that a hot router doesn't shift later draws
        for router, share in self.hot.values():
            if draw < share:
                return router
            draw -= share
        own = self._choices.get(zone)
        if own is None:  # cached: a scan of a thousand routers per request would dominate a run
            alive = [name for name, state in self.routers.items() if state.alive] or list(self.routers)
            own = [name for name in alive if self.routers[name].zone == zone] or alive
            self._choices[zone] = own
        self._turn += 1
        return own[self._turn % len(own)]

    def _update_choices(self, now: float) -> None:
        """Updates which routers are thought alive, and when that changes next."""
        self._choices.clear()
        self._next_notice_at = math.inf
        for state in self.routers.values():
            if state.died_at is None or not state.alive:
                continue
            if now >= state.died_at + self.notice:
                state.alive = False
            else:
                self._next_notice_at = min(self._next_notice_at, state.died_at + self.notice)
