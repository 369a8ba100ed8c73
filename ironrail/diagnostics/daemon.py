"""Counters of one router by reason, and log lines about requests that went wrong."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.diagnostics.reasons import (
    ClientCloseReason,
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
        self.list_calls = ReasonCounter("list_call", ListCallResult)
        self.invariants = InvariantGuard()
        self.late_answers = 0
        self.unanswered = 0
        self.held_up = 0
        self._request_log = LogSampler()

    def answered_late(self, now: float, summary: RequestSummary) -> None:
        """Count and log a request that was answered after its deadline."""
        self.late_answers += 1
        self._log_request(now, "request_answered_late", summary)

    def left_unanswered(self, now: float, summary: RequestSummary) -> None:
        """Count and log a request whose client gave up before the answer was written."""
        self.unanswered += 1
        self._log_request(now, "request_left_unanswered", summary)

    def counts(self) -> Iterator[tuple[str, int]]:
        """Yield names and values for the metrics."""
        for counter in (self.rejections, self.retries, self.client_closes, self.list_calls):
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
