"""Adaptive concurrency limit (additive increase, multiplicative decrease) for each server."""

from __future__ import annotations

import math
from collections import deque

from ironrail.policy.actions import Action, SetTimer
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.hash_ring import NUM_ROUTERS_PER_SUBSET
from ironrail.policy.settings import Settings
from ironrail.policy.state import (
    ANSWERED_STATUSES,
    SERVED_STATUSES,
    SMOOTHING_FACTOR,
    AbandonedAttempt,
    Attempt,
    Server,
)
from ironrail.policy.timers import OriginPauseEnded

NUM_ROUTERS_PER_ORIGIN = 32  # routers that the origin can serve with one fetch in flight each
# Increase for each success before the first decrease, so that the limit of a new router reaches
# the load within seconds.
INITIAL_GROWTH_COUNT = 1.0
MIN_ORIGIN_LIMIT = 1 / 4  # keeps attempts frequent enough to notice that the origin recovered
MULTIPLICATIVE_DECREASE_FACTOR = 0.75
# part of the limit that must be in use; otherwise an answer does not show that more is possible
MIN_UTILIZATION_RATIO = 1 / 2
# a stopped process refuses a connect within the timer resolution times this
FAST_REFUSAL_FACTOR = 2


class ConcurrencyLimiter:
    """Limits the attempts in flight at each server, and tracks abandoned ones."""

    def __init__(self, settings: Settings) -> None:
        # with the routers of a whole subset each has one or two attempts at a server, too few to
        # learn from
        self.servers_are_shared = settings.router_count >= NUM_ROUTERS_PER_SUBSET
        # minimum and growth step at the origin, which all routers share
        self._origin_share = max(
            MIN_ORIGIN_LIMIT, min(1.0, NUM_ROUTERS_PER_ORIGIN / settings.router_count)
        )
        self._timer_resolution = settings.timer_resolution

    def is_full(self, now: float, server: Server) -> bool:
        """Return whether a server is at its limit, counting abandoned attempts it works on."""
        while server.abandoned and server.abandoned[0].counted_until <= now:
            server.abandoned.popleft()
        return server.in_flight + len(server.abandoned) >= server.concurrency_limit

    def track_abandoned(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Count an abandoned attempt against the limit until its server has finished it.

        Servers take requests in turn, so an answer shows that all sent before it are done. A
        rejection shows nothing, as it is sent before queued requests are served.
        """
        server = attempt.server
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED):
            counted_until = now + attempt.latency_objective
            server.abandoned.append(AbandonedAttempt(attempt.sent_at, counted_until))
        elif status in ANSWERED_STATUSES and status is not AttemptStatus.BUSY and server.abandoned:
            server.abandoned = deque(
                abandoned for abandoned in server.abandoned if abandoned.sent_at > attempt.sent_at
            )

    def on_attempt_ended(
        self, now: float, attempt: Attempt, event: AttemptEnded, actions: list[Action]
    ) -> None:
        """Adapt a server's limit: down when it is slow or rejects, else up a little."""
        server = attempt.server
        rejected = self._is_rejection(server, event)
        self._update_latency(attempt, event.latency, rejected)
        if rejected or server.slowness > 1.0:
            self._decrease(now, attempt, rejected)
        elif (
            event.status in SERVED_STATUSES
            and server.in_flight + 1 >= server.concurrency_limit * MIN_UTILIZATION_RATIO
        ):
            self._increase(server)
        if server.concurrency_limit < 1.0:
            # less than one attempt at a time is a pause between attempts
            pause = attempt.latency_target * (1 / server.concurrency_limit - 1)
            server.paused_until = now + pause
            actions.append(SetTimer(server.paused_until - now, OriginPauseEnded()))

    def _is_rejection(self, server: Server, event: AttemptEnded) -> bool:
        """Return whether the server turned the attempt away, or is an origin that has stopped.

        A stopped process refuses connects at once; over a cut link they take longer to fail.
        """
        if event.status is AttemptStatus.BUSY:
            return True
        if server.is_cache or event.status is not AttemptStatus.CONNECT_FAILED:
            return False
        return event.latency <= FAST_REFUSAL_FACTOR * self._timer_resolution

    def _update_latency(self, attempt: Attempt, latency: float, rejected: bool) -> None:
        """Smooth the latency in seconds, and its ratio to the latency target."""
        server = attempt.server
        if not rejected:
            server.mean_latency += SMOOTHING_FACTOR * (latency - server.mean_latency)
        ratio = max(0.0, latency - attempt.link_delay) / attempt.latency_target
        server.slowness += SMOOTHING_FACTOR * (ratio - server.slowness)

    def _decrease(self, now: float, attempt: Attempt, rejected: bool) -> None:
        """Reduce the limit, at most once in a latency target."""
        server = attempt.server
        if now - server.limit_decreased_at > attempt.latency_target:
            base = server.concurrency_limit
            if self.servers_are_shared and not rejected:
                # a limit far above the number in flight would need many decreases to have an effect
                base = min(base, server.in_flight + 1)
            minimum = min(1.0, server.concurrency_limit)
            if rejected and not server.is_cache:
                minimum = self._origin_share
            server.concurrency_limit = max(minimum, base * MULTIPLICATIVE_DECREASE_FACTOR)
            server.limit_decreased_at = now
        is_overloaded = self.servers_are_shared and server.is_cache and attempt.unanswered
        if rejected or is_overloaded:
            # the server can handle about as many attempts as are in flight now
            server.concurrency_limit = min(server.concurrency_limit, max(1.0, server.in_flight))

    def _increase(self, server: Server) -> None:
        """Raise the limit: by 1 for each round of answers, faster before the first decrease."""
        if server.limit_decreased_at > -math.inf:
            step = 1 / server.concurrency_limit
        elif server.is_cache:
            step = INITIAL_GROWTH_COUNT
        else:
            step = INITIAL_GROWTH_COUNT * self._origin_share
        server.concurrency_limit += min(server.concurrency_limit, step)
