"""What servers may be sent that have just started: a budget by what others carry (retries swell demand)."""

from __future__ import annotations

import math
import random

from ironrail.policy import interface as api
from ironrail.policy.state import Server

# Of N, the requests of mean work that the settings allow a cold server in a window. It falls beyond N + 2
# roots of N + 2 from all routers together. Each refills by this share of its own part of N as what the
# others carry tells, so all refill by this share of N, told too high by up to two: by weights that flatter
# (1.3 here), by others that carry more than usual in a surge (1.5). At worst that is m of N, 0.7, and the
# rest of the bound is for chance: sends that come by chance with work that deviates by its mean vary by
# roots of 2 m N. Three such deviations, as one release has hundreds of windows, stay within the bound for
# every N while (3 roots of 2 m - 2) squared is at most 8 (1 - m): up to an m of 0.7, and 0.35 of twice N.
WARM_SPEND = 0.35


class Cold:
    """Budgets of servers that warm up."""

    def __init__(self, settings: api.Settings, draws: random.Random, now: float) -> None:
        self._settings, self._draws, self._began = settings, draws, now
        self._served = 0.0  # work, fading

    def carried(self, fade: float, work: float) -> None:
        """The fleet did some work; what it did before counts for so much less."""
        self._served = self._served * fade + work

    def share(self, now: float, server: Server) -> float:
        """Share of its capacity that a server surely has, from the cold share to all over the ramp."""
        since, ramp = server.entry.since, self._settings.ramp
        if since <= 0 or now - since >= ramp:
            return 1.0
        return 1.0 - (1.0 - self._settings.cold_share) * (1.0 - max(0.0, now - since) / ramp)

    def bears(self, now: float, server: Server, cost: float, points: int, places: int) -> bool:
        """Guards against pushing over a cold server that has so many of the ring's places."""
        share, conf = self.share(now, server), self._settings
        if server.credit_at == -math.inf:  # by chance, as hundreds of routers with one send each are a flood
            server.credit, server.credit_at = self._draws.random() * cost, now
        # a router that has not run for long has served as much in less time
        span = conf.ramp * (1.0 - math.exp((self._began - now) / conf.ramp))
        span = max(span, conf.fall_window)
        fair = share * points / places * self._served / span
        refill = WARM_SPEND * conf.fall_multiple * fair
        most = max(cost, refill * conf.fall_window)
        server.credit = min(most, server.credit + refill * (now - server.credit_at))
        server.credit_at = now
        # guards a cold server that is slow besides: what all routers have out at it may have come in one
        # window, beside what it gets done in it, and the budget alone goes on however little it answers
        if server.load and server.work + cost > WARM_SPEND * fair * conf.fall_window:
            return False
        # with nothing served yet there is no guide: one at a time, whose answer is the first
        return server.credit >= cost or not self._served and not server.load
