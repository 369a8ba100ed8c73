"""How much this router may have out at each server, learned from its answers."""

from __future__ import annotations

import math
from collections import deque

from ironrail.policy import interface as api
from ironrail.policy.ring import CROWD
from ironrail.policy.state import ANSWERED, SMOOTHING, Attempt, Server

ORIGIN_CROWD = 32  # routers with a fetch each that the origin bears
FIRST_GROWTH = 1.0  # by each good answer till the first cut: a restart under load can't wait for seconds
LIMIT_LEAST = 1 / 4  # at the origin where routers are many; they still learn of its return within seconds
LIMIT_CUT = 0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds


class Limits:
    """Limits of what is out, and what lingers at servers after it was given up."""

    def __init__(self, settings: api.Settings) -> None:
        # where few routers share a server each has enough out there to learn by; with many it has one or two
        self.crowd = settings.routers >= CROWD
        # at the origin, a limit and a step
        self._least = max(LIMIT_LEAST, min(1.0, ORIGIN_CROWD / settings.routers))
        self._tick = settings.tick

    def full(self, now: float, server: Server) -> bool:
        """Whether it has all that may be out, with what was given up: it is worked on all the same."""
        while server.lingering and server.lingering[0][1] <= now:
            server.lingering.popleft()
        return server.load + len(server.lingering) >= server.limit

    def linger(self, now: float, attempt: Attempt, status: api.Status) -> None:
        """Guards servers that go on with what was given up: hundreds of routers kept queues of it full."""
        server = attempt.server
        if status in (api.Status.TIMEOUT, api.Status.CANCELLED):
            server.lingering.append((attempt.sent_at, now + attempt.aim))
        # it takes them in turn, so what was sent before is done; one that is full answers out of turn
        elif status in ANSWERED and status is not api.Status.FULL and server.lingering:
            server.lingering = deque(x for x in server.lingering if x[0] > attempt.sent_at)

    def learn(self, now: float, attempt: Attempt, event: api.Outcome, out: list[api.Action]) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server, status, latency = attempt.server, event.status, event.latency
        # an origin that stopped refuses at once; behind a cut a connect takes longer to fail
        shut = status is api.Status.CONNECT_FAILED and latency <= 2 * self._tick
        refused = status is api.Status.FULL or shut and not server.cache
        server.latency += 0.0 if refused else SMOOTHING * (latency - server.latency)
        # on average, as one heavy request says nothing of a server
        server.slowness += SMOOTHING * (max(0.0, latency - attempt.link) / attempt.target - server.slowness)
        if refused or server.slowness > 1.0:
            if now - server.cut_at > attempt.target:
                least = min(1.0, server.limit) if server.cache or not refused else self._least
                # of a crowd none has many out: a limit far above that bounds nothing, for many cuts
                used = min(server.limit, server.load + 1) if self.crowd and not refused else server.limit
                server.limit = max(least, used * LIMIT_CUT)
                server.cut_at = now
            if refused or self.crowd and server.cache and attempt.unheard:  # what is out now is what it bears
                server.limit = min(server.limit, max(1.0, server.load))
        elif status in (api.Status.OK, api.Status.MISS) and server.load + 1 >= server.limit / 2:
            # of the origin there is one for all routers
            first = FIRST_GROWTH if server.cache else FIRST_GROWTH * self._least
            server.limit += min(server.limit, 1 / server.limit if server.cut_at > -math.inf else first)
        if server.limit < 1.0:  # hundreds of routers with one fetch each are too many: kept by pauses
            server.rest_until = now + attempt.target * (1 / server.limit - 1)
            out.append(api.SetTimer(server.rest_until - now, "origin"))
