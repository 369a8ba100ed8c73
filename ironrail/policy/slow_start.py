"""Slow start: limits the work that is sent to servers which have just started."""

from __future__ import annotations

import math
import random

from ironrail.policy.settings import Settings
from ironrail.policy.state import Server

# Fraction of a warming server's allowed work in a window that the routers send. The rest covers
# random variation, weights that rate a server too high, and surges in the fleet.
BUDGET_FRACTION = 0.35


class SlowStart:
    """Token buckets of work for warming servers, refilled at the rate that the fleet serves."""

    def __init__(self, settings: Settings, draws: random.Random, now: float) -> None:
        self._settings = settings
        self._draws = draws
        self._started_at = now
        self.server_count = 1  # servers on the ring
        self._fleet_work = 0.0  # decayed sum of work served
        self._work_per_server = 0.0  # the same, divided by the number of servers at its time

    def record_work(self, decay: float, work: float) -> None:
        """Add work that the fleet served; what it served before is multiplied by `decay`."""
        self._fleet_work = self._fleet_work * decay + work
        self._work_per_server = self._work_per_server * decay + work / self.server_count

    def capacity_fraction(self, now: float, server: Server) -> float:
        """Return the fraction of its full capacity that a server has at least."""
        started_at = server.endpoint.started_at
        duration = self._settings.slow_start_duration
        if started_at <= 0 or now - started_at >= duration:
            return 1.0
        remaining = 1.0 - max(0.0, now - started_at) / duration
        return 1.0 - (1.0 - self._settings.slow_start_share) * remaining

    def admits(self, now: float, server: Server, cost: float, weight: float) -> bool:
        """Return whether a warming server may be sent work of `cost`.

        Args:
            now: The time in seconds.
            server: A server that is warming up.
            cost: The expected work of the request; 1 is the mean.
            weight: The share of the ring that the server has, in multiples of the mean share.
        """
        conf = self._settings
        fair_rate = self._fair_rate(now, server, weight)
        refill_rate = BUDGET_FRACTION * conf.overload_multiple * fair_rate
        self._refill(now, server, cost, refill_rate)
        # work in flight must not accumulate at a slow server, even if it has tokens
        max_in_flight = BUDGET_FRACTION * fair_rate * conf.overload_window
        if server.in_flight and server.in_flight_work + cost > max_in_flight:
            return False
        if server.slow_start_tokens >= cost:
            return True
        # before the first answer of the fleet there is no rate: one attempt at a time
        return not self._fleet_work and not server.in_flight

    def on_attempt_sent(self, server: Server, cost: float) -> None:
        """Spend the tokens of an attempt; `cost` is its expected work."""
        server.slow_start_tokens -= cost

    def _fair_rate(self, now: float, server: Server, weight: float) -> float:
        """Return the work per second that a server of this weight would get from this router."""
        conf = self._settings
        # a router that started recently has counted for a shorter time
        uptime_fraction = 1.0 - math.exp((self._started_at - now) / conf.slow_start_duration)
        span = max(conf.slow_start_duration * uptime_fraction, conf.overload_window)
        # the smaller of both, as the fleet may have shrunk or grown since the work was counted
        mean_work = min(self._work_per_server, self._fleet_work / self.server_count)
        return self.capacity_fraction(now, server) * weight * mean_work / span

    def _refill(self, now: float, server: Server, cost: float, refill_rate: float) -> None:
        """Add the tokens earned since the last refill, up to those of one overload window."""
        if server.tokens_refilled_at == -math.inf:
            # random, as hundreds of routers with a first attempt each would overload the server
            server.slow_start_tokens = self._draws.random() * cost
            server.tokens_refilled_at = now
        max_tokens = max(cost, refill_rate * self._settings.overload_window)
        earned = refill_rate * (now - server.tokens_refilled_at)
        server.slow_start_tokens = min(max_tokens, server.slow_start_tokens + earned)
        server.tokens_refilled_at = now
