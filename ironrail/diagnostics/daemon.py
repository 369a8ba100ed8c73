"""All counters of one router besides its answers, and the log lines about single requests that went wrong."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.diagnostics.reasons import (
    ClientCloseReason,
    ListCallResult,
    RefusalReason,
    RetryReason,
)

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AttemptSummary:
    """One attempt of a request, as the log tells of it."""

    server: str
    sent_after: float  # seconds since the request was taken
    outcome: str  # a status, or `open`

    def text(self) -> str:
        """For a field of the log."""
        return f"{self.server} +{self.sent_after:.3f} {self.outcome}"


@dataclass(frozen=True, slots=True)
class RequestSummary:
    """A request that got its answer late or not at all."""

    request: str
    request_class: str
    patience: float  # seconds that its client waits
    read_late: float  # seconds at most for which it had waited unread
    age: float  # seconds since it may have come
    attempts: tuple[AttemptSummary, ...]


class DaemonDiagnostics:
    """What operators need to explain an ended request, attempt or connection."""

    def __init__(self) -> None:
        self.refusals = ReasonCounter("refused", RefusalReason)
        self.retries = ReasonCounter("retried", RetryReason)
        self.client_closes = ReasonCounter("client_closed", ClientCloseReason)
        self.list_calls = ReasonCounter("list_call", ListCallResult)
        self.guard = InvariantGuard()
        self.late_answers = 0
        self.unanswered = 0  # the client waited its time and left
        self.held_up = 0  # times that the process did not run
        self._requests = LogSampler()

    def answered_late(self, now: float, summary: RequestSummary) -> None:
        """A request's answer was written after its deadline."""
        self.late_answers += 1
        self._log_request(now, "request_answered_late", summary)

    def left_unanswered(self, now: float, summary: RequestSummary) -> None:
        """A client that had waited its time left before its answer was written."""
        self.unanswered += 1
        self._log_request(now, "request_left_unanswered", summary)

    def counts(self) -> Iterator[tuple[str, int]]:
        """Names and values for the metrics."""
        for counter in (self.refusals, self.retries, self.client_closes, self.list_calls):
            yield from counter.items()
        yield from self.guard.violations.items()
        yield "answered_late", self.late_answers
        yield "left_unanswered", self.unanswered
        yield "held_up", self.held_up

    def _log_request(self, now: float, event: str, summary: RequestSummary) -> None:
        if not self._requests.admits(now):
            return
        fields = {
            "request": summary.request,
            "class": summary.request_class,
            "patience": round(summary.patience, 3),
            "read_late": round(summary.read_late, 3),
            "age": round(summary.age, 3),
            "attempts": [attempt.text() for attempt in summary.attempts],
            "suppressed": self._requests.take_suppressed(),
        }
        log.warning(event, extra=fields)
