"""Invariants of a request, checked before it is started, sent, retried, answered or closed.

The checks run where bytes leave the router, and use what was written and received, without relying
on the policy or the connection pools. A step that would violate an invariant is prevented, counted
and logged; a resource that is held for too long is only counted and logged. All counters are 0 in a
correct router, whatever fails around it. A step that is late only because the process was held up
is prevented, but is not a violation.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.reasons import Violation
from ironrail.policy.events import AttemptStatus
from ironrail.policy.settings import Idempotency

log = logging.getLogger(__name__)

# A hold-up of this length between a decision and its write is not a violation.
HOLD_UP_TOLERANCE_SECONDS = 0.15
# Outcomes that prove that an attempt had no effect, so that it may be repeated; a miss changes
# nothing. Separate from the policy's list, because these checks must not rely on the policy.
WITHOUT_EFFECT = frozenset(
    {
        AttemptStatus.BUSY,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.CANCELLED_BEFORE_SEND,
        AttemptStatus.MISS,
        AttemptStatus.NOT_SENT,
    }
)


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An earlier attempt of the same request, already written."""

    written_at: float
    outcome: AttemptStatus | None  # None while it is in flight
    on_open_connection: bool  # so that a reply may still arrive

    def may_have_run(self) -> bool:
        """Return whether the attempt may have had an effect, or may still have one."""
        return self.outcome is None or self.outcome not in WITHOUT_EFFECT


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """An attempt that is about to be written. Times are in seconds on the monotonic clock."""

    now: float
    request: str
    server: str
    server_ready: bool  # whether the server is neither draining nor removed
    pending: bool  # whether the request awaits its final response
    deadline: float
    send_by: float  # latest time of the write; bounds retries by idempotency key
    idempotency: Idempotency
    idempotency_window: float  # seconds within which a retry by key may start
    hedging_allowed: bool  # whether two attempts may be in flight
    earlier_attempts: Sequence[EarlierAttempt] = ()


class InvariantGuard:
    """Checks each step of a request before it is taken.

    Attributes:
        violations: Number of prevented violations, by invariant.
    """

    def __init__(self) -> None:
        self.violations = ReasonCounter("violation", Violation)
        self._sampler = LogSampler()

    def may_send(self, write: PendingWrite) -> bool:
        """Return whether an attempt may be written."""
        broken = list(_violations_of(write))
        for violation in broken:
            self._report(write.now, violation, write.request, write.server)
        return not broken and write.now < min(write.deadline, write.send_by)

    def may_start(self, now: float, request: str, in_flight: bool, ended: bool) -> bool:
        """Return whether a request may start; `ended` once the router has shut down."""
        if in_flight:
            self._report(now, Violation.STARTED_TWICE, request)
        if ended:
            self._report(now, Violation.STARTED_AFTER_END, request)
        return not (in_flight or ended)

    def may_answer(self, now: float, request: str, pending: bool) -> bool:
        """Return whether a request may get its final response."""
        if not pending:
            self._report(now, Violation.ANSWERED_TWICE, request)
        return pending

    def may_reject(
        self,
        now: float,
        request: str,
        idempotency: Idempotency,
        attempts: Sequence[EarlierAttempt],
    ) -> bool:
        """Return whether the response may say that the request had no effect."""
        may_have_run = idempotency is Idempotency.UNSAFE and any(
            attempt.may_have_run() for attempt in attempts
        )
        if may_have_run:
            self._report(now, Violation.REJECTED_UNSAFE, request)
        return not may_have_run

    def may_close(self, now: float, pending: Sequence[str]) -> bool:
        """Return whether a client's connection with these pending requests may be closed."""
        if pending:
            self._report(now, Violation.CLOSED_WITH_PENDING_REQUESTS, pending[0])
        return not pending

    def held_after_end(self, now: float, resource: str) -> None:
        """Count a resource that is still held by an owner that has ended."""
        self._report(now, Violation.HELD_AFTER_END, "", resource=resource)

    def _report(
        self, now: float, violation: Violation, request: str, server: str = "", resource: str = ""
    ) -> None:
        self.violations.add(violation)
        if self._sampler.admits(now):
            fields = {"violation": violation.value, "request": request, "server": server}
            if resource:
                fields["resource"] = resource
            log.error("invariant_violated", extra=fields)


def _violations_of(write: PendingWrite) -> Iterator[Violation]:
    if not write.pending:
        yield Violation.SENT_AFTER_END
    if write.now > write.deadline + HOLD_UP_TOLERANCE_SECONDS:
        yield Violation.SENT_AFTER_DEADLINE
    if not write.server_ready:
        yield Violation.SENT_TO_DRAINED
    if write.earlier_attempts:
        yield from _retry_violations(write)


def _retry_violations(write: PendingWrite) -> Iterator[Violation]:
    ran = [attempt for attempt in write.earlier_attempts if attempt.may_have_run()]
    if write.idempotency is Idempotency.UNSAFE and ran:
        yield Violation.RETRIED_UNSAFE
    if write.idempotency is Idempotency.IDEMPOTENCY_KEY:
        first = min((attempt.written_at for attempt in ran), default=math.inf)
        if (
            write.now
            > min(write.send_by, first + write.idempotency_window) + HOLD_UP_TOLERANCE_SECONDS
        ):
            yield Violation.RETRIED_AFTER_WINDOW
    in_flight = any(
        attempt.outcome is None and attempt.on_open_connection for attempt in write.earlier_attempts
    )
    if in_flight and not write.hedging_allowed:
        yield Violation.HEDGED_WITHOUT_PERMISSION
