"""What the fleet answers in time, and which servers and connections lose what is sent."""

from __future__ import annotations

import math
import random

from ironrail.policy.actions import Action, CloseIdleConnections
from ironrail.policy.discovery_freshness import MOST_DOUBLINGS
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.settings import Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import ANSWERED_STATUSES, SMOOTHING_FACTOR, Attempt, Server

CALM = 1 / 4  # of the aim: with a usual latency above, being late means a crowd rather than a loss
CROWDED = 1.5  # sends for each answer in good time; more are shed before they cost anything
MOST_SHED = 0.9  # of new reads: a tenth still shows what the fleet bears
# of the idle time after which a connection failed: two failures get below any we know of
STALE_CUT = 0.25
SIGN = 0.15  # share of failures, or more than elsewhere, that is no chance: two in ten


class OutlierDetection:
    """Answers of the fleet, losses of servers, and signs of what connections bear."""

    def __init__(
        self,
        settings: Settings,
        draws: random.Random,
        now: float,
        cold: SlowStart,
        guide: PolicyOverrides,
    ) -> None:
        self._settings, self._draws, self._cold, self._guide = settings, draws, cold, guide
        self._shortest_aim = min(c.latency_objective for c in settings.classes.values())
        self.heard, self._good, self._heard_at = 0.0, 0.0, now  # answers, those in time, fading
        self.latency = 0.0  # usual, of caches
        self.keep, self._keep_at = (
            math.inf,
            now,
        )  # idle time that connections survive, as last learned
        self.signs = dict.fromkeys(
            ("idle", "other", "shut", "vain"), 0.0
        )  # shares lost, connects failed

    def sheds(self, request_class: str) -> bool:
        """Guards against a crowd at every server: the more a fleet is asked, the fewer it answers in time."""
        excess = min(
            MOST_SHED, max(0.0, self.heard - CROWDED * self._good - 1.0) / (self.heard + 1.0)
        )
        drawn = self._draws.random() < excess
        guided = self._guide.sheds(request_class, excess)
        shed = drawn if guided is None else guided
        self.heard += (
            shed  # counts as asked, or the fleet would have to stay slow for shedding to go on
        )
        return shed

    def calm(self, aim: float) -> bool:
        """Whether being late for such an aim means a loss rather than a crowd."""
        return self.latency <= CALM * aim

    def linked(self, now: float, server: Server) -> bool:
        """Whether a send goes over a connection that should still work."""
        if server.in_flight > 0:
            return True
        conf = self._settings
        survives: float = self.keep * 2.0 ** min(
            (now - self._keep_at) / conf.slow_start_duration, MOST_DOUBLINGS
        )
        return now - server.last_used_at <= min(conf.connection_idle_timeout, survives)

    def learn(self, now: float, attempt: Attempt, event: AttemptEnded, out: list[Action]) -> None:
        """From the end of an attempt, which is no longer counted as out."""
        server, answered = attempt.server, event.status in ANSWERED_STATUSES
        if answered and server.is_cache:
            self._hear(now, attempt, event)
        # what a cold server does not answer still weighs on it, however crowded the others are
        cold = not answered and self._cold.share(now, server) < 1.0
        unheard = attempt.unanswered and (cold or self.calm(attempt.latency_objective))
        lost, failed = (
            event.status is AttemptStatus.RESET or unheard,
            event.status is AttemptStatus.CONNECT_FAILED,
        )
        if answered:
            server.last_used_at, server.consecutive_losses = now, 0
        elif (
            unheard or failed
        ):  # guards against dead servers, which reset nothing twice: a growing pause
            server.consecutive_losses = min(
                server.consecutive_losses + server.is_cache, MOST_DOUBLINGS
            )
            server.connect_failed_at = now if failed else server.connect_failed_at
            # a cold one has to get it done before the window in which it is counted has passed
            least = self._settings.overload_window if cold else self._shortest_aim / 2
            pause = min(
                self._settings.slow_start_duration, least * 2.0 ** (server.consecutive_losses - 1)
            )
            server.ejected_until = now + pause * self._draws.uniform(0.5, 1.0)
        if (
            not server.in_flight
            and server.last_used_at > -math.inf
            and (lost or failed or self.signs["shut"] > SIGN)
        ):
            out.append(CloseIdleConnections(server.endpoint.name))
            server.last_used_at = -math.inf
        slow, idle = (
            event.latency > self._settings.connect_timeout / 2,
            attempt.latency_objective < attempt.connection_idle < math.inf,
        )
        if attempt.connection_idle == math.inf:
            # a table that was full only if it answers afterwards: a process that is gone refuses as quickly
            server.connect_refused |= failed and not slow
            if answered:
                self._note("shut", server.connect_refused)
                server.connect_refused = False
            self._note("vain", failed and slow)
        self._note("idle" if idle else "other", lost)
        if lost and idle and self.signs["idle"] > self.signs["other"] + SIGN:
            self.keep, self._keep_at = min(self.keep, STALE_CUT * attempt.connection_idle), now

    def _hear(self, now: float, attempt: Attempt, event: AttemptEnded) -> None:
        """What the fleet answers in time."""
        full = event.status is AttemptStatus.BUSY
        fade = math.exp((self._heard_at - now) / self._settings.slow_start_duration)
        self.heard, self._heard_at = self.heard * fade + 1, now
        self._good = self._good * fade + (not full and event.latency <= attempt.latency_objective)
        # misses too: where most of the fleet is new, hits alone tell a small part of what it carries
        carried = event.status in (AttemptStatus.OK, AttemptStatus.MISS)
        if carried:
            attempt.server.proven_at = max(attempt.server.proven_at, attempt.sent_at)
        self._cold.carried(fade, attempt.cost if carried else 0.0)
        took = max(0.0, event.latency - attempt.link_delay)
        self.latency += 0.0 if full else SMOOTHING_FACTOR / 4 * (took - self.latency)

    def _note(self, sign: str, seen: bool) -> None:
        self.signs[sign] += SMOOTHING_FACTOR / 2 * (seen - self.signs[sign])
