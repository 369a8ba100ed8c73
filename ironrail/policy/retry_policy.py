"""The retry policy: whether a request may be sent (again), to which server, or be rejected.

An attempt that may have run on a server must not take effect twice. The answer depends on the
idempotency of the request's class:

* safe: it may be sent anywhere, and rejected at any time;
* idempotency key: it may be sent again within `idempotency_window` seconds of the first attempt
  that may have run, to servers of the same idempotency scope; it may be rejected where the scope is
  all servers, as a repeat by the client then meets its key;
* unsafe: once it may have run it is neither sent again nor rejected, but failed.
"""

from __future__ import annotations

from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import AttemptStatus
from ironrail.policy.retry_budget import RetryBudget
from ironrail.policy.settings import Idempotency, IdempotencyScope, Settings
from ironrail.policy.state import Attempt, PendingRequest, Server


class RetryPolicy:
    """Decides whether a request is sent again, to which servers, or rejected."""

    def __init__(self, settings: Settings, retry_budget: RetryBudget) -> None:
        self._cache_aside = settings.cache_aside
        self._hedging_allowed = settings.hedging_allowed
        self._max_attempts = settings.max_attempts
        self._retry_budget = retry_budget

    def has_attempts_left(self, now: float, pending: PendingRequest) -> bool:
        """Return whether the attempt count and the retry budget permit another attempt."""
        if len(pending.attempts) >= self._max_attempts:
            return False
        return self._retry_budget.allows_attempt(now, pending)

    def may_send(self, now: float, pending: PendingRequest, server: Server) -> bool:
        """Return whether the next attempt of the request may go to this server."""
        if not self.has_attempts_left(now, pending):
            return False
        if not self._hedging_allowed and pending.open_attempt_count():
            return False
        return _may_repeat(now, pending, server.endpoint)

    def may_reject(self, pending: PendingRequest) -> bool:
        """Return whether the client may safely retry: a repeat can't take effect twice."""
        request_class = pending.request_class
        if request_class.idempotency is Idempotency.SAFE:
            return True
        if not _attempts_that_may_have_run(pending):
            return True
        return (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.idempotency_scope is IdempotencyScope.ALL
        )

    def send_within(self, now: float, pending: PendingRequest) -> float | None:
        """Return the seconds left in which the next attempt has to be sent; None without bound."""
        request_class = pending.request_class
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return None
        may_have_run = _attempts_that_may_have_run(pending)
        if not may_have_run:
            return None
        return _first_sent_at(may_have_run) + request_class.idempotency_window - now

    def calls_for_attempt(self, pending: PendingRequest, status: AttemptStatus) -> bool:
        """Return whether an attempt that ended without an answer is followed by another one now.

        While another attempt is in flight its answer is awaited, except that after a miss the
        origin is tried at once if requests may be hedged.
        """
        if pending.is_queued or pending.is_streaming:
            return False
        if not pending.open_attempt_count():
            return True
        missed = status is AttemptStatus.MISS and self._hedging_allowed
        return missed and not pending.needs_origin

    def on_attempt_failed(
        self, pending: PendingRequest, attempt: Attempt, status: AttemptStatus
    ) -> None:
        """Decide whether the next attempt is free, and whether it goes to the origin or a cache.

        With `cache_aside` the other caches lack the key, so the origin is next. Only after a broken
        connection the same cache is tried again, because it most likely still has the key.
        """
        if status is AttemptStatus.MISS:
            self._retry_budget.on_miss(pending)
        if self._cache_aside and not attempt.connection_broke:
            pending.needs_origin = True


def _attempts_that_may_have_run(pending: PendingRequest) -> list[Attempt]:
    return [attempt for attempt in pending.attempts if attempt.may_have_run]


def _first_sent_at(attempts: list[Attempt]) -> float:
    return min(attempt.sent_at for attempt in attempts)


def _may_repeat(now: float, pending: PendingRequest, endpoint: Endpoint) -> bool:
    """Return whether an attempt at this server can't make the request take effect twice."""
    request_class = pending.request_class
    if request_class.idempotency is Idempotency.SAFE:
        return True
    may_have_run = _attempts_that_may_have_run(pending)
    if not may_have_run:
        return True
    if request_class.idempotency is Idempotency.UNSAFE:
        return False
    first_sent_at = _first_sent_at(may_have_run)
    if now >= first_sent_at + request_class.idempotency_window:
        return False
    if endpoint.started_at > first_sent_at:
        return False  # a process that has started since has not seen the key
    scope = request_class.idempotency_scope
    return all(_share_keys(scope, attempt.server.endpoint, endpoint) for attempt in may_have_run)


def _share_keys(scope: IdempotencyScope, one: Endpoint, other: Endpoint) -> bool:
    """Return whether two servers know each other's idempotency keys."""
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    if scope is IdempotencyScope.CELL:
        return one.cell == other.cell
    return True
