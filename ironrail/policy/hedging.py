"""Hedging: when an attempt is overdue, and whether the request is then sent to another server.

A server that accepts work and never answers would hold a request until its client gives up. An
attempt without an answer for half of the latency objective counts as lost, unless the whole fleet
is slow: then a hedged request would add to the overload.
"""

from __future__ import annotations

from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Idempotency
from ironrail.policy.state import Attempt, PendingRequest, Server

HEDGE_DELAY_FRACTION = 0.5  # of the latency objective: leaves time for another attempt
MAX_LINK_DELAY_FRACTION = 0.5  # of the latency objective: limit of the link's delay in it


def hedge_delay(latency_objective: float, link_delay: float) -> float:
    """Return the seconds without an answer after which an attempt is overdue.

    Args:
        latency_objective: Of the request's class, in seconds.
        link_delay: Seconds by which the link to the server delays its answer.
    """
    max_link_delay = MAX_LINK_DELAY_FRACTION * latency_objective
    return HEDGE_DELAY_FRACTION * latency_objective + min(link_delay, max_link_delay)


def can_be_overdue(pending: PendingRequest, server: Server) -> bool:
    """Return whether an attempt gets a hedge timer.

    Attempts of requests that are not idempotent and attempts at the origin get none.
    """
    return server.is_cache and pending.request_class.idempotency is not Idempotency.UNSAFE


class HedgingPolicy:
    """Decides whether an overdue attempt may be hedged or replaced."""

    def __init__(self, retry_policy: RetryPolicy, load_shedding: LoadShedding) -> None:
        self._retry_policy = retry_policy
        self._load_shedding = load_shedding

    def may_send_another(self, now: float, pending: PendingRequest, attempt: Attempt) -> bool:
        """Return whether another attempt may be sent because this one is overdue."""
        if pending.is_queued or pending.is_streaming or pending.needs_origin:
            return False
        if not self._load_shedding.is_uncongested(attempt.latency_objective):
            return False
        if pending.open_attempt_count() > 1:
            return False
        return self._retry_policy.has_attempts_left(now, pending)
