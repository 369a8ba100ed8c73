"""Invariants of a request, checked before it is started, sent, retried, answered or closed.

The checks run where bytes leave the router and judge by what was written and received, without
relying on the policy or the connection pools. A step that would break an invariant is prevented,
counted and logged. All counters are 0 in a correct router, whatever fails around it. A step that
is late only because the process was held up is prevented, but is no violation.
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

# Between a decision and its write the process may be held up for so long without a violation.
HOLD_UP_TOLERANCE_SECONDS = 0.15
# Outcomes that prove that an attempt had no effect, so that it may be repeated; a miss changes
# nothing. Kept apart from the policy's list: these checks don't rely on the policy.
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
    on_open_connection: bool  # a reply may still arrive

    def may_have_run(self) -> bool:
        """Return whether its effect may have happened, or may still happen."""
        return self.outcome is None or self.outcome not in WITHOUT_EFFECT


@dataclass(frozen=True, slots=True)
class Sending:
    """An attempt that is about to be written. Times are in seconds on the monotonic clock."""

    now: float
    request: str
    server: str
    server_ready: bool  # neither draining nor removed
    pending: bool  # the request is owed its answer
    deadline: float
    begin_by: float  # latest start of a request with an idempotency key that may have run
    idempotency: Idempotency
    idempotency_window: float  # seconds in which a request with an idempotency key may be retried
    hedging_allowed: bool  # two attempts may be in flight
    earlier_attempts: Sequence[EarlierAttempt] = ()


class InvariantGuard:
    """Checks each step of a request before it is taken.

    Attributes:
        violations: Prevented violations, by invariant.
    """

    def __init__(self) -> None:
        self.violations = ReasonCounter("violation", Violation)
        self._sampler = LogSampler()

    def may_send(self, sending: Sending) -> bool:
        """Return whether an attempt may be written."""
        broken = list(_broken_by(sending))
        for violation in broken:
            self._report(sending.now, violation, sending.request, sending.server)
        return not broken and sending.now < min(sending.deadline, sending.begin_by)

    def may_start(self, now: float, request: str, in_flight: bool, ended: bool) -> bool:
        """Return whether a request may start; `ended` once the router has shut down."""
        if in_flight:
            self._report(now, Violation.STARTED_TWICE, request)
        if ended:
            self._report(now, Violation.STARTED_AFTER_END, request)
        return not (in_flight or ended)

    def may_answer(self, now: float, request: str, pending: bool) -> bool:
        """Return whether a request may be given its final answer."""
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
        """Return whether the answer may promise that the request had no effect."""
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

    def _report(self, now: float, violation: Violation, request: str, server: str = "") -> None:
        self.violations.add(violation)
        if self._sampler.admits(now):
            fields = {"violation": violation.value, "request": request, "server": server}
            log.error("invariant_violated", extra=fields)


def _broken_by(sending: Sending) -> Iterator[Violation]:
    if not sending.pending:
        yield Violation.SENT_AFTER_END
    if sending.now > sending.deadline + HOLD_UP_TOLERANCE_SECONDS:
        yield Violation.SENT_AFTER_DEADLINE
    if not sending.server_ready:
        yield Violation.SENT_TO_DRAINED
    if sending.earlier_attempts:
        yield from _broken_by_repeat(sending)


def _broken_by_repeat(sending: Sending) -> Iterator[Violation]:
    ran = [attempt for attempt in sending.earlier_attempts if attempt.may_have_run()]
    if sending.idempotency is Idempotency.UNSAFE and ran:
        yield Violation.RETRIED_UNSAFE
    if sending.idempotency is Idempotency.IDEMPOTENCY_KEY:
        first = min((attempt.written_at for attempt in ran), default=math.inf)
        if (
            sending.now
            > min(sending.begin_by, first + sending.idempotency_window) + HOLD_UP_TOLERANCE_SECONDS
        ):
            yield Violation.RETRIED_AFTER_WINDOW
    in_flight = any(
        attempt.outcome is None and attempt.on_open_connection
        for attempt in sending.earlier_attempts
    )
    if in_flight and not sending.hedging_allowed:
        yield Violation.HEDGED_WITHOUT_PERMISSION
