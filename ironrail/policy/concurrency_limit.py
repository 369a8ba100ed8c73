"""How much this router may have out at each server, learned from its answers."""

from __future__ import annotations

import math
from collections import deque

from ironrail.policy.actions import Action, SetTimer
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.hash_ring import CROWD
from ironrail.policy.settings import Settings
from ironrail.policy.state import (
    ANSWERED_STATUSES,
    SMOOTHING_FACTOR,
    AbandonedAttempt,
    Attempt,
    Server,
)
from ironrail.policy.timers import OriginPauseEnded

ORIGIN_CROWD = 32  # routers with a fetch each that the origin bears
# by each good answer till the first cut: a restart under load can't wait for seconds
FIRST_GROWTH = 1.0
LIMIT_LEAST = (
    1 / 4
)  # at the origin where routers are many; they still learn of its return within seconds
# soon enough to empty a crowded server within a few rounds; a tenth took many seconds
LIMIT_CUT = 0.75


class ConcurrencyLimiter:
    """Limits of what is out, and what lingers at servers after it was given up."""

    def __init__(self, settings: Settings) -> None:
        # where few routers share a server each has enough out there to learn by; with many it has one or two
        self.crowd = settings.router_count >= CROWD
        # at the origin, a limit and a step
        self._least = max(LIMIT_LEAST, min(1.0, ORIGIN_CROWD / settings.router_count))
        self._tick = settings.timer_resolution

    def full(self, now: float, server: Server) -> bool:
        """Whether it has all that may be out, with what was given up: it is worked on all the same."""
        while server.abandoned and server.abandoned[0].counted_until <= now:
            server.abandoned.popleft()
        return server.in_flight + len(server.abandoned) >= server.concurrency_limit

    def linger(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Guards servers that go on with what was given up: hundreds of routers kept queues of it full."""
        server = attempt.server
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED):
            counted_until = now + attempt.latency_objective
            server.abandoned.append(AbandonedAttempt(attempt.sent_at, counted_until))
        # it takes them in turn, so what was sent before is done; one that is full answers out of turn
        elif status in ANSWERED_STATUSES and status is not AttemptStatus.BUSY and server.abandoned:
            server.abandoned = deque(
                given_up for given_up in server.abandoned if given_up.sent_at > attempt.sent_at
            )

    def learn(self, now: float, attempt: Attempt, event: AttemptEnded, out: list[Action]) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server, status, latency = attempt.server, event.status, event.latency
        # an origin that stopped refuses at once; behind a cut a connect takes longer to fail
        shut = status is AttemptStatus.CONNECT_FAILED and latency <= 2 * self._tick
        refused = status is AttemptStatus.BUSY or shut and not server.is_cache
        server.mean_latency += (
            0.0 if refused else SMOOTHING_FACTOR * (latency - server.mean_latency)
        )
        # on average, as one heavy request says nothing of a server
        server.slowness += SMOOTHING_FACTOR * (
            max(0.0, latency - attempt.link_delay) / attempt.latency_target - server.slowness
        )
        if refused or server.slowness > 1.0:
            if now - server.limit_cut_at > attempt.latency_target:
                least = (
                    min(1.0, server.concurrency_limit)
                    if server.is_cache or not refused
                    else self._least
                )
                # of a crowd none has many out: a limit far above that bounds nothing, for many cuts
                used = (
                    min(server.concurrency_limit, server.in_flight + 1)
                    if self.crowd and not refused
                    else server.concurrency_limit
                )
                server.concurrency_limit = max(least, used * LIMIT_CUT)
                server.limit_cut_at = now
            if (
                refused or self.crowd and server.is_cache and attempt.unanswered
            ):  # what is out now is what it bears
                server.concurrency_limit = min(server.concurrency_limit, max(1.0, server.in_flight))
        elif (
            status in (AttemptStatus.OK, AttemptStatus.MISS)
            and server.in_flight + 1 >= server.concurrency_limit / 2
        ):
            # of the origin there is one for all routers
            first = FIRST_GROWTH if server.is_cache else FIRST_GROWTH * self._least
            server.concurrency_limit += min(
                server.concurrency_limit,
                1 / server.concurrency_limit if server.limit_cut_at > -math.inf else first,
            )
        if (
            server.concurrency_limit < 1.0
        ):  # hundreds of routers with one fetch each are too many: kept by pauses
            server.paused_until = now + attempt.latency_target * (1 / server.concurrency_limit - 1)
            out.append(SetTimer(server.paused_until - now, OriginPauseEnded()))
