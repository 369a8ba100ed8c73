"""Lifecycle of a request: admitted, sent, retried, hedged or queued, and answered exactly once.

It is retried when its attempts have ended without an answer, as `retry_policy.py` and
`retry_budget.py` permit, and hedged when one is overdue while the fleet is not congested
(`hedging.py`).

Each request ends in one of these ways:

* an attempt is answered, and the host forwards the answer;
* it is rejected (`RejectRequest`): the client may safely retry;
* it fails (`FailRequest`): it may have taken effect;
* its client disconnects.

A request is rejected or fails when it is not admitted (`admission.py`), when no server may be sent
its next attempt (`candidate_selection.py`, `retry_policy.py`, `retry_budget.py`), or when an origin
can't answer it in time (`origin_queue.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ironrail.policy.actions import CancelAttempt, FailRequest, RejectRequest, SetTimer
from ironrail.policy.admission import AdmissionControl
from ironrail.policy.attempt_sender import AttemptSender
from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.candidate_selection import CandidateSelection
from ironrail.policy.event_context import EventContext
from ironrail.policy.events import AttemptEnded, AttemptStatus, RequestReceived
from ironrail.policy.hash_ring import HashRing
from ironrail.policy.hedging import HedgingPolicy
from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.origin_queue import OriginQueue, available_origin, can_finish_in_time
from ironrail.policy.retry_budget import RetryBudget
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Idempotency, RequestClass, Settings
from ironrail.policy.state import Attempt, AttemptId, PendingRequest, Server
from ironrail.policy.timers import QueueWaitExpired


@dataclass(eq=False)
class RequestLifecycle:
    """Takes each request from its arrival to its final answer, as the other parts decide."""

    settings: Settings
    context: EventContext
    random: Random
    servers: dict[str, Server]  # by name
    ring: HashRing
    admission: AdmissionControl
    attempts_in_flight: AttemptsInFlight
    retry_budget: RetryBudget
    retry_policy: RetryPolicy
    hedging: HedgingPolicy
    origin_queue: OriginQueue
    candidate_selection: CandidateSelection
    attempt_sender: AttemptSender
    load_shedding: LoadShedding
    pending_requests: dict[str, PendingRequest] = field(default_factory=dict)  # by request id

    def on_request_received(self, request: RequestReceived) -> None:
        """Admit a new request and send its first attempt, or reject it."""
        pending = self._new_pending_request(request)
        self.pending_requests[request.request_id] = pending
        self.retry_budget.on_request(self.context.now)
        if self.admission.admits(self.context.now, pending):
            self.advance(pending)
        else:
            self._give_up(pending)

    def _new_pending_request(self, request: RequestReceived) -> PendingRequest:
        settings = self.settings
        request_class = settings.classes.get(request.class_name)
        if request_class is None:
            request_class = RequestClass(request.class_name, 0.0, Idempotency.UNSAFE)
        longest_wait = min(
            request.time_left - settings.timer_resolution, request_class.latency_objective
        )
        key = request.key or request.request_id
        return PendingRequest(
            request=request,
            key=key,
            request_class=request_class,
            give_up_at=self.context.now + longest_wait,
            needs_origin=settings.cache_aside and request.is_write,
            hot_key_offset=self.random.randrange(self.ring.count_replicas(key)),
        )

    def advance(self, pending: PendingRequest) -> None:
        """Send the next attempt of a request, queue it for an origin, or give it up."""
        self.rebuild_ring_if_needed()
        if self.context.now >= pending.give_up_at:
            self._give_up(pending)
        elif self.ring.virtual_nodes and not pending.needs_origin:
            self._send_to_cache(pending)
        else:
            self._wait_for_origin(pending)

    def rebuild_ring_if_needed(self) -> None:
        """Bring the ring up to date, once for all changes since the last send."""
        if self.ring.needs_rebuild:
            self.context.actions += self.ring.rebuild(self.context.now, self.servers)

    def _send_to_cache(self, pending: PendingRequest) -> None:
        server = self.candidate_selection.choose(self.context.now, pending)
        if server is None:
            self._give_up(pending)
        else:
            self._send(pending, server)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        self.attempt_sender.send(self.context.now, pending, server, self.context.actions)

    def _wait_for_origin(self, pending: PendingRequest) -> None:
        """Queue a request, and set a timer by which it is answered in time in any case."""
        timer = QueueWaitExpired(pending.request.request_id)
        self.context.actions.append(SetTimer(pending.give_up_at - self.context.now, timer))
        self.origin_queue.push(pending, len(self.pending_requests))
        self.serve_queue()

    def serve_queue(self) -> None:
        """Send queued requests to the origin while it may be sent more."""
        while self.origin_queue:
            origin = available_origin(self.context.now, self.servers.values())
            if origin is None:
                return
            pending = self.origin_queue.pop()
            if pending is not None:
                self._send_to_origin(pending, origin)

    def _send_to_origin(self, pending: PendingRequest, origin: Server) -> None:
        may_send = self.retry_policy.may_send(self.context.now, pending, origin)
        if may_send and can_finish_in_time(self.context.now, pending, origin):
            self._send(pending, origin)
        else:
            self._give_up(pending)

    def advance_queued(self) -> None:
        """Decide again on all queued requests after a change of the endpoint list."""
        for pending in self.origin_queue.clear(self.pending_requests.values()):
            self.advance(pending)

    def on_queue_wait_expired(self, request_id: str) -> None:
        """Answer a request whose waiting time is over, unless the origin can take it now."""
        self.serve_queue()
        pending = self.pending_requests.get(request_id)
        if pending is None or not pending.is_queued:
            return
        # the timer may fire early by rounding, and no other one would follow
        grace = self.settings.timer_resolution / 2
        if self.context.now >= pending.give_up_at - grace:
            self._give_up(pending)

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Close a request that is answered; retry one that needs another attempt, or give it up."""
        pending = self.pending_requests.get(event.request_id)
        if pending is None:
            return
        if event.request_ended or event.status is AttemptStatus.OK:
            self._close(pending)
        elif self.retry_policy.calls_for_attempt(pending, event.status):
            self._retry_or_give_up(pending, attempt, event.status)

    def _retry_or_give_up(
        self, pending: PendingRequest, attempt: Attempt, status: AttemptStatus
    ) -> None:
        self.retry_policy.on_attempt_failed(pending, attempt, status)
        if self.retry_budget.allows_attempt(self.context.now, pending):
            self.advance(pending)
        else:
            self._give_up(pending)

    def on_hedge_due(self, request_id: str, attempt_number: int) -> None:
        """Hedge an overdue attempt, or cancel it for a retry where two must not be in flight."""
        pending = self.pending_requests.get(request_id)
        attempt = self.attempts_in_flight.get(AttemptId(request_id, attempt_number))
        if pending is None or attempt is None:
            return
        if not self.hedging.may_send_another(self.context.now, pending, attempt):
            return
        if self.settings.hedging_allowed:
            self._hedge(pending)
        elif self.settings.cancellation_allowed:
            attempt.mark_overdue()
            self.context.actions.append(CancelAttempt(request_id, attempt_number))

    def _hedge(self, pending: PendingRequest) -> None:
        if self.ring.needs_rebuild or not self.ring.virtual_nodes:
            return
        server = self.candidate_selection.choose(self.context.now, pending)
        if server is not None:
            self._send(pending, server)

    def on_streaming_started(self, request_id: str, attempt_number: int) -> None:
        """Cancel all attempts but the one whose answer the client is being sent."""
        pending = self.pending_requests.get(request_id)
        if pending is None:
            return
        pending.is_streaming = True
        self.origin_queue.discard(pending)
        self._cancel_open_attempts(pending, except_number=attempt_number)

    def on_client_disconnected(self, request_id: str) -> None:
        """Close a request without an answer."""
        pending = self.pending_requests.get(request_id)
        if pending is not None:
            self._close(pending)

    def on_deadline_reached(self, request_id: str) -> None:
        """Answer a request whose own timer may fire only after the host's deadline."""
        pending = self.pending_requests.get(request_id)
        if pending is not None:
            self._give_up(pending)

    def _give_up(self, pending: PendingRequest) -> None:
        """Reject a request, or fail it if that is not safe, unless attempts of it are in flight."""
        if pending.is_streaming or pending.open_attempt_count():
            self.origin_queue.discard(pending)
            return
        request_id = pending.request.request_id
        if self.retry_policy.may_reject(pending):
            retry_after = max(self.settings.timer_resolution, self.load_shedding.mean_latency)
            self.context.actions.append(RejectRequest(request_id, retry_after))
        else:
            self.context.actions.append(FailRequest(request_id))
        self._close(pending)

    def _close(self, pending: PendingRequest) -> None:
        """Remove a request that needs no answer any more."""
        self.origin_queue.discard(pending)
        del self.pending_requests[pending.request.request_id]
        self._cancel_open_attempts(pending)

    def _cancel_open_attempts(
        self, pending: PendingRequest, except_number: int | None = None
    ) -> None:
        if not self.settings.cancellation_allowed:
            return
        for number, attempt in enumerate(pending.attempts):
            if attempt.is_open and number != except_number:
                self.context.actions.append(CancelAttempt(pending.request.request_id, number))
