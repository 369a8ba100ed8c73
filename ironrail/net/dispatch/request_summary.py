"""Descriptions of a request in flight for the log, the metrics and the invariant guard."""

from __future__ import annotations

from ironrail.diagnostics.daemon import AttemptSummary, RequestSummary
from ironrail.diagnostics.invariants import EarlierAttempt
from ironrail.diagnostics.reasons import RejectionReason
from ironrail.net.dispatch.in_flight_request import InFlightRequest, client_timeout


def written_attempts(request: InFlightRequest, count: int) -> list[EarlierAttempt]:
    """Return those of the first `count` attempts that were written to a connection."""
    return [
        EarlierAttempt(attempt.written_at, attempt.status, attempt in attempt.connection.in_flight)
        for attempt in request.attempts[:count]
        if attempt.connection is not None
    ]


def rejection_reason(
    request: InFlightRequest, now: float, has_expired_all: bool
) -> RejectionReason:
    """Return why a request was rejected or failed, from its state at its end."""
    if has_expired_all:
        return RejectionReason.SHUTDOWN
    if request.lacks_memory:
        return RejectionReason.NO_MEMORY
    if now >= request.deadline:
        return RejectionReason.DEADLINE_EXCEEDED
    if request.attempts:
        return RejectionReason.ATTEMPT_FAILED
    return RejectionReason.NO_ATTEMPT


def summarize(request: InFlightRequest, now: float) -> RequestSummary:
    """Summarize a request that was answered late or not at all."""
    attempts = tuple(
        AttemptSummary(
            attempt.server,
            attempt.sent_at - request.received_at,
            attempt.status.value if attempt.status is not None else "open",
        )
        for attempt in request.attempts
    )
    return RequestSummary(
        request.request_id,
        request.command.fields["c"],
        client_timeout(request.command),
        request.read_delay,
        now - request.received_at + request.read_delay,
        attempts,
    )
