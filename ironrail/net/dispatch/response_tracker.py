"""The requests in flight, each of which gets exactly one final response."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.access_log.record import RequestOutcome
from ironrail.admin.metrics import RequestMetrics
from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.diagnostics.reasons import RejectionReason
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.open_attempts import OpenAttempts
from ironrail.net.dispatch.recent_writes import RecentWrites
from ironrail.net.dispatch.request_summary import rejection_reason, summarize, written_attempts
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command
from ironrail.policy.settings import Idempotency, Settings

# Called for a request that ended, with its command, its duration in seconds, its outcome and the
# size of its value in bytes.
CompletionObserver = Callable[[Command, float, RequestOutcome, int], None]

# A response that comes later than this after the deadline counts as late. The protocol tolerates
# 0.05 s.
LATE_RESPONSE_SECONDS = 0.03


class ResponseTracker:
    """Owns the requests in flight, responds to each once, and counts the outcomes."""

    def __init__(
        self,
        settings: Settings,
        now: Callable[[], float],
        attempts: OpenAttempts,
        diagnostics: DaemonDiagnostics,
        on_completed: CompletionObserver | None,
    ) -> None:
        self.by_id: dict[str, InFlightRequest] = {}
        self.recent_writes = RecentWrites()
        self.request_metrics = RequestMetrics(settings.classes)
        # Set at the response deadline of a shutdown, long after SIGTERM: no attempt is sent then.
        self.has_expired_all = False
        self._classes = settings.classes
        self._now = now
        self._attempts = attempts
        self._diagnostics = diagnostics
        self._on_completed = on_completed
        self._counts = {
            RequestOutcome.SERVED: self.request_metrics.success,
            RequestOutcome.REJECTED: self.request_metrics.busy,
            RequestOutcome.FAILED: self.request_metrics.failure,
        }

    def add(self, request: InFlightRequest) -> None:
        """Track a request until it is completed or its client disconnects."""
        self.by_id[request.request_id] = request

    def serve(self, request: InFlightRequest, body: bytes) -> None:
        """Respond with a value, or with the receipt of a write."""
        request.value_bytes = len(body)
        response = meta_codec.write_served(request.command, body)
        self.respond(request, RequestOutcome.SERVED, response)

    def fail(self, request: InFlightRequest) -> None:
        """Respond that the request failed; it may have had an effect."""
        self.respond(request, RequestOutcome.FAILED, meta_codec.FAILED)

    def reject(self, request: InFlightRequest, retry_after: float | None) -> None:
        """Respond that the request had no effect if that is certain, otherwise that it failed.

        Args:
            request: The request.
            retry_after: Seconds after which the client may retry, where known.
        """
        idempotency = self._classes[request.command.fields["c"]].idempotency
        written = written_attempts(request, len(request.attempts))
        guard = self._diagnostics.invariants
        if guard.may_reject(self._now(), request.request_id, idempotency, written):
            response = meta_codec.write_busy(retry_after)
            self.respond(request, RequestOutcome.REJECTED, response)
        else:
            self.fail(request)

    def respond(self, request: InFlightRequest, outcome: RequestOutcome, response: bytes) -> None:
        """Complete a request and write its final response."""
        request_id = request.request_id
        if self._diagnostics.invariants.may_answer(
            self._now(), request_id, request_id in self.by_id
        ):
            self.complete(request, outcome)
            request.respond(response)

    def complete(self, request: InFlightRequest, outcome: RequestOutcome) -> None:
        """Count a request and stop tracking it; the caller writes its response."""
        self._counts[outcome][request.command.fields["c"]] += 1
        if outcome is not RequestOutcome.SERVED:
            reason = rejection_reason(request, self._now(), self.has_expired_all)
            self._diagnostics.rejections.add(reason)
        if self._now() > request.deadline + LATE_RESPONSE_SECONDS:
            self._diagnostics.answered_late(self._now(), summarize(request, self._now()))
        del self.by_id[request.request_id]
        request.timer.cancel()
        self._attempts.withdraw_unsent(request)
        value_bytes = 0 if request.command.is_write else request.value_bytes
        self._report_end(request, outcome, value_bytes)

    def _remember(self, request: InFlightRequest) -> None:
        """Remember a request that may have had an effect, as its id may come again."""
        if self._classes[request.command.fields["c"]].idempotency is Idempotency.SAFE:
            return
        written = written_attempts(request, len(request.attempts))
        if any(attempt.may_have_run() for attempt in written):
            self.recent_writes.add(request.request_id, self._now())

    def count_unread(self, command: Command, waited_seconds: float) -> None:
        """Count a write that is rejected before its value was read, for lack of memory."""
        outcome = RequestOutcome.REJECTED
        self._counts[outcome][command.fields["c"]] += 1
        self._diagnostics.rejections.add(RejectionReason.NO_MEMORY)
        if self._on_completed is not None:
            self._on_completed(command, waited_seconds, outcome, 0)

    def remove_disconnected(self, request_id: str) -> InFlightRequest | None:
        """Stop tracking a request whose client has disconnected; None if it was complete."""
        request = self.by_id.pop(request_id, None)
        if request is None:
            return None
        request.timer.cancel()
        self._attempts.withdraw_unsent(request)
        if self._now() >= request.deadline:
            self._diagnostics.left_unanswered(self._now(), summarize(request, self._now()))
        self._report_end(request, RequestOutcome.CLIENT_DISCONNECTED, 0)
        return request

    def _report_end(
        self, request: InFlightRequest, outcome: RequestOutcome, value_bytes: int
    ) -> None:
        self._remember(request)
        request.report_end(self._now(), outcome)
        if self._on_completed is not None:
            seconds = self._now() - request.received_at
            self._on_completed(request.command, seconds, outcome, value_bytes)
