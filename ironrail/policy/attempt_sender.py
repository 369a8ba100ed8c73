"""Sends attempts: emits the actions of a send, and lets the other parts record it."""

from __future__ import annotations

from ironrail.policy.actions import Action, SendAttempt, SetTimer
from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.hedging import can_be_overdue, hedge_delay
from ironrail.policy.retry_budget import RetryBudget
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import Attempt, AttemptId, PendingRequest, Server
from ironrail.policy.timers import HedgeDue
from ironrail.policy.zone_latency import ZoneLatency

# mean latency above which a server is overloaded, as a fraction of the latency objective
CACHE_LATENCY_TARGET_FRACTION = 0.25
ORIGIN_LATENCY_TARGET_FRACTION = 0.5  # higher, as an origin is slower than a cache
DEFAULT_COST_FACTOR = 1.0  # cost of a request without a work hint: that of a mean request


class AttemptSender:
    """Sends the next attempt of a request to a server that was chosen for it."""

    def __init__(
        self,
        attempts_in_flight: AttemptsInFlight,
        retry_budget: RetryBudget,
        retry_policy: RetryPolicy,
        connection_health: ConnectionHealth,
        slow_start: SlowStart,
        zone_latency: ZoneLatency,
    ) -> None:
        self._attempts_in_flight = attempts_in_flight
        self._retry_budget = retry_budget
        self._retry_policy = retry_policy
        self._connection_health = connection_health
        self._slow_start = slow_start
        self._zone_latency = zone_latency

    def send(
        self, now: float, pending: PendingRequest, server: Server, actions: list[Action]
    ) -> None:
        """Send the next attempt of the request; the caller has checked that it is permitted."""
        attempt_id = AttemptId(pending.request.request_id, len(pending.attempts))
        send_within = self._retry_policy.send_within(now, pending)
        connection_idle = self._connection_health.on_attempt_sent(now, server, actions)
        attempt = self._new_attempt(now, pending, server, connection_idle)
        pending.attempts.append(attempt)
        self._attempts_in_flight.add(attempt_id, attempt)
        self._retry_budget.on_attempt_sent(now, pending)
        self._slow_start.on_attempt_sent(server, attempt.cost)
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
        self, now: float, pending: PendingRequest, server: Server, connection_idle: float
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
            cost=pending.request.work_hint or DEFAULT_COST_FACTOR,
            sent_at=now,
            connection_idle=connection_idle,
            hedge_delay=hedge_delay(objective, link_delay),
            link_delay=link_delay,
            round_trip=round_trip,
        )
