"""Learns the idle time that connections survive, full accept queues, and connect timeouts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ironrail.policy.actions import Action, CloseIdleConnections
from ironrail.policy.backoff import MAX_BACKOFF_DOUBLINGS
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.settings import Settings
from ironrail.policy.state import ANSWERED_STATUSES, SMOOTHING_FACTOR, Attempt, Server

# a fraction of failures, or a difference of two, above this is not random
SIGNIFICANT_FRACTION = 0.15
# idle time still trusted after a loss, as a fraction of the lost connection's idle time
STALE_CONNECTION_RATIO = 0.25
FAILURE_SMOOTHING_FACTOR = SMOOTHING_FACTOR / 2  # weight of the latest sample
SLOW_CONNECT_FRACTION = 1 / 2  # of the connect timeout; a connect that is refused fails faster


def _smoothed(fraction: float, failed: bool) -> float:
    """Return the fraction of failures after one more sample."""
    return fraction + FAILURE_SMOOTHING_FACTOR * (failed - fraction)


@dataclass(slots=True)
class FailureRates:
    """Smoothed fractions, from 0 to 1, over the attempts of this router."""

    idle_losses: float = 0.0  # lost attempts on connections that were idle for long
    other_losses: float = 0.0  # lost attempts among all others
    # connects refused at once by servers that answered later: their accept queues were full
    full_accept_queues: float = 0.0
    connect_timeouts: float = 0.0  # connects that timed out


class ConnectionHealth:
    """Learns from lost attempts and failed connects which connections can be relied on."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self.rates = FailureRates()
        self.idle_survival = math.inf  # seconds of idle time that connections survive
        self._idle_survival_learned_at = now

    @property
    def connects_time_out(self) -> bool:
        """Whether so many connects time out that open connections are to be preferred."""
        return self.rates.connect_timeouts > SIGNIFICANT_FRACTION

    def is_connected(self, now: float, server: Server) -> bool:
        """Return whether an attempt would go over a connection that should still work.

        The idle time that connections survive is taken to double in each slow start duration
        since it was learned, so that a fault that has ended is forgotten.
        """
        if server.in_flight > 0:
            return True
        conf = self._settings
        elapsed = (now - self._idle_survival_learned_at) / conf.slow_start_duration
        survival = self.idle_survival * 2.0 ** min(elapsed, MAX_BACKOFF_DOUBLINGS)
        is_open: bool = now - server.last_used_at <= min(conf.connection_idle_timeout, survival)
        return is_open

    def on_attempt_sent(self, now: float, server: Server, actions: list[Action]) -> float:
        """Return how long the connection of an attempt was unused, in seconds; inf if it is new.

        Orders idle connections to be closed that are not expected to work any more.
        """
        idle = 0.0 if server.in_flight else now - server.last_used_at
        is_connected = self.is_connected(now, server)
        server.last_used_at = now
        if is_connected:
            return idle
        if idle <= self._settings.connection_idle_timeout:
            actions.append(CloseIdleConnections(server.endpoint.name))
        return math.inf

    def on_attempt_ended(
        self, now: float, attempt: Attempt, event: AttemptEnded, lost: bool, actions: list[Action]
    ) -> None:
        """Learn from an attempt; `lost` if a fault of server or connection ended it."""
        server = attempt.server
        connect_failed = event.status is AttemptStatus.CONNECT_FAILED
        if event.status in ANSWERED_STATUSES:
            server.last_used_at = now
        if self._should_close_idle(server, lost or connect_failed):
            actions.append(CloseIdleConnections(server.endpoint.name))
            server.last_used_at = -math.inf
        if attempt.connection_idle == math.inf:
            self._record_connect(server, event, connect_failed)
        self._record_loss(now, attempt, lost)

    def _should_close_idle(self, server: Server, failed: bool) -> bool:
        """Return whether to close unused connections: likely broken, or filling accept queues."""
        if server.in_flight or server.last_used_at == -math.inf:
            return False
        return failed or self.rates.full_accept_queues > SIGNIFICANT_FRACTION

    def _record_connect(self, server: Server, event: AttemptEnded, failed: bool) -> None:
        """Record the outcome of an attempt that needed a new connection."""
        is_slow = event.latency > self._settings.connect_timeout * SLOW_CONNECT_FRACTION
        if failed and not is_slow:
            server.connect_refused = True
        if event.status in ANSWERED_STATUSES:
            # a stopped process refuses as fast as a full accept queue, but does not answer later
            self.rates.full_accept_queues = _smoothed(
                self.rates.full_accept_queues, server.connect_refused
            )
            server.connect_refused = False
        self.rates.connect_timeouts = _smoothed(self.rates.connect_timeouts, failed and is_slow)

    def _record_loss(self, now: float, attempt: Attempt, lost: bool) -> None:
        """Shorten the idle time that connections survive where idle ones lose more than others."""
        rates = self.rates
        was_idle = attempt.latency_objective < attempt.connection_idle < math.inf
        if not was_idle:
            rates.other_losses = _smoothed(rates.other_losses, lost)
            return
        rates.idle_losses = _smoothed(rates.idle_losses, lost)
        if lost and rates.idle_losses > rates.other_losses + SIGNIFICANT_FRACTION:
            survival = STALE_CONNECTION_RATIO * attempt.connection_idle
            self.idle_survival = min(self.idle_survival, survival)
            self._idle_survival_learned_at = now
