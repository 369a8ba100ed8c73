"""Counters of one router by reason, and log lines about requests that went wrong."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.diagnostics.reasons import (
    ClientCloseReason,
    ClientLoss,
    ConnectFailure,
    InternalError,
    ListCallResult,
    RejectionReason,
    RetryReason,
)

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AttemptSummary:
    """One attempt of a request, for the log."""

    server: str
    sent_after: float  # seconds after the request was received
    outcome: str  # a status, or `open` while it is in flight

    def text(self) -> str:
        """Return the attempt as text for the log."""
        return f"{self.server} +{self.sent_after:.3f} {self.outcome}"


@dataclass(frozen=True, slots=True)
class RequestSummary:
    """A request that was answered late or not at all."""

    request: str
    request_class: str
    client_timeout: float  # seconds until its client gives up
    read_delay: float  # seconds for which it may have been unread
    age: float  # seconds since it may have arrived
    attempts: tuple[AttemptSummary, ...]


class DaemonDiagnostics:
    """Counts why requests, attempts and connections ended, and logs requests that went wrong.

    Attributes:
        invariants: Checks the invariants of requests.
        late_answers: Requests answered after their deadline.
        unanswered: Requests whose client disconnected at its deadline, without an answer.
        held_up: Number of hold-ups of the process.
    """

    def __init__(self) -> None:
        self.rejections = ReasonCounter("refused", RejectionReason)
        self.retries = ReasonCounter("retried", RetryReason)
        self.client_closes = ReasonCounter("client_closed", ClientCloseReason)
        self.client_losses = ReasonCounter("client_lost", ClientLoss)
        self.connect_failures = ReasonCounter("connect_failed", ConnectFailure)
        self.list_calls = ReasonCounter("list_call", ListCallResult)
        self.internal_errors = ReasonCounter("internal_error", InternalError)
        self.invariants = InvariantGuard()
        self.late_answers = 0
        self.unanswered = 0
        self.held_up = 0
        self._request_log = LogSampler()
        self._loss_log = LogSampler()
        self._error_log = LogSampler()

    def answered_late(self, now: float, summary: RequestSummary) -> None:
        """Count and log a request that was answered after its deadline."""
        self.late_answers += 1
        self._log_request(now, "request_answered_late", summary)

    def left_unanswered(self, now: float, summary: RequestSummary) -> None:
        """Count and log a request whose client gave up before the answer was written."""
        self.unanswered += 1
        self._log_request(now, "request_left_unanswered", summary)

    def client_lost(
        self,
        now: float,
        loss: ClientLoss,
        error: BaseException | None = None,
        unanswered: Sequence[str] = (),
    ) -> None:
        """Count a client's connection that the router did not end, and log it if it failed.

        Args:
            now: Seconds on the monotonic clock.
            loss: Why it ended.
            error: The error of its socket, if there was one.
            unanswered: Ids of its requests that had no response yet.
        """
        self.client_losses.add(loss)
        if error is not None and self._loss_log.admits(now):
            fields = {
                "reason": loss.value,
                "error": str(error) or type(error).__name__,
                "requests": list(unanswered),
                "suppressed": self._loss_log.take_suppressed(),
            }
            log.warning("client_connection_failed", extra=fields)

    def internal_error(
        self, now: float, where: InternalError, what: str, error: BaseException | None
    ) -> None:
        """Count and log an exception that no code expects; `what` tells what was being done."""
        self.internal_errors.add(where)
        if self._error_log.admits(now):
            fields = {"where": where.value, "on": what}
            fields["suppressed"] = str(self._error_log.take_suppressed())
            log.error("internal_error", extra=fields, exc_info=error)

    def counts(self) -> Iterator[tuple[str, int]]:
        """Yield names and values for the metrics."""
        for counter in (
            self.rejections,
            self.retries,
            self.client_closes,
            self.client_losses,
            self.connect_failures,
            self.list_calls,
            self.internal_errors,
        ):
            yield from counter.items()
        yield from self.invariants.violations.items()
        yield "answered_late", self.late_answers
        yield "left_unanswered", self.unanswered
        yield "held_up", self.held_up

    def _log_request(self, now: float, event: str, summary: RequestSummary) -> None:
        if not self._request_log.admits(now):
            return
        fields = {
            "request": summary.request,
            "class": summary.request_class,
            "client_timeout": round(summary.client_timeout, 3),
            "read_late": round(summary.read_delay, 3),
            "age": round(summary.age, 3),
            "attempts": [attempt.text() for attempt in summary.attempts],
            "suppressed": self._request_log.take_suppressed(),
        }
        log.warning(event, extra=fields)
