"""Sending of attempts: the actions of a send, and what each part records of it."""

from __future__ import annotations

import math

from ironrail.policy.actions import Action, CloseIdleConnections, SendAttempt, SetTimer
from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.hedging import can_be_overdue, hedge_delay
from ironrail.policy.retry_budget import RetryBudget
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Settings
from ironrail.policy.state import Attempt, AttemptId, PendingRequest, Server
from ironrail.policy.timers import HedgeDue
from ironrail.policy.zone_latency import ZoneLatency

# mean latency above which a server is overloaded, as a fraction of the latency objective
CACHE_LATENCY_TARGET_FRACTION = 0.25
ORIGIN_LATENCY_TARGET_FRACTION = 0.5  # slow by nature
DEFAULT_COST = 1.0  # of a request without a work hint: that of a mean request


class AttemptSender:
    """Sends the next attempt of a request to a server that was chosen for it."""

    def __init__(
        self,
        settings: Settings,
        attempts_in_flight: AttemptsInFlight,
        retry_budget: RetryBudget,
        retry_policy: RetryPolicy,
        connection_health: ConnectionHealth,
        zone_latency: ZoneLatency,
    ) -> None:
        self._connection_idle_timeout = settings.connection_idle_timeout
        self._attempts_in_flight = attempts_in_flight
        self._retry_budget = retry_budget
        self._retry_policy = retry_policy
        self._connection_health = connection_health
        self._zone_latency = zone_latency

    def send(
        self, now: float, pending: PendingRequest, server: Server, actions: list[Action]
    ) -> None:
        """Send the next attempt of the request; the caller has checked that it is permitted."""
        attempt_id = AttemptId(pending.request.request_id, len(pending.attempts))
        send_within = self._retry_policy.send_within(now, pending)
        attempt = self._new_attempt(now, pending, server, actions)
        pending.attempts.append(attempt)
        self._attempts_in_flight.add(attempt_id, attempt)
        self._retry_budget.on_attempt_sent(now, pending)
        server.last_used_at = now
        server.slow_start_tokens -= attempt.cost
        actions.append(
            SendAttempt(
                attempt_id.request_id,
                server.endpoint.name,
                attempt_number=attempt_id.attempt_number,
                send_within=send_within,
            )
        )
        if can_be_overdue(pending, server):
            timer = HedgeDue(attempt_id.request_id, attempt_id.attempt_number)
            actions.append(SetTimer(attempt.hedge_delay, timer))

    def _new_attempt(
        self, now: float, pending: PendingRequest, server: Server, actions: list[Action]
    ) -> Attempt:
        objective = pending.request_class.latency_objective
        target_fraction = ORIGIN_LATENCY_TARGET_FRACTION
        link_delay = 0.0
        round_trip = 0.0
        if server.is_cache:
            target_fraction = CACHE_LATENCY_TARGET_FRACTION
            if self._zone_latency.has_links:
                link_delay = self._zone_latency.expected_delay(server)
                round_trip = self._zone_latency.round_trip(server)
        return Attempt(
            server=server,
            latency_target=target_fraction * objective,
            latency_objective=objective,
            cost=pending.request.work_hint or DEFAULT_COST,
            sent_at=now,
            connection_idle=self._connection_idle(now, server, actions),
            hedge_delay=hedge_delay(objective, link_delay),
            link_delay=link_delay,
            round_trip=round_trip,
        )

    def _connection_idle(self, now: float, server: Server, actions: list[Action]) -> float:
        """Return how long the connection to be used was idle, in seconds; inf for a new one.

        Has idle connections closed that are unlikely to work any more.
        """
        idle = 0.0 if server.in_flight else now - server.last_used_at
        if self._connection_health.is_connected(now, server):
            return idle
        if idle <= self._connection_idle_timeout:
            actions.append(CloseIdleConnections(server.endpoint.name))
        return math.inf
