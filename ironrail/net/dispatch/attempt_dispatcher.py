"""Hands attempts to the connection pools, and reports their outcomes to the policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.diagnostics.invariants import PendingWrite
from ironrail.diagnostics.reasons import retry_reason
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.open_attempts import OpenAttempts
from ironrail.net.dispatch.policy_driver import PolicyDriver
from ironrail.net.dispatch.request_summary import written_attempts
from ironrail.net.dispatch.request_termination import RequestTermination
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.net.dispatch.value_streamer import ValueStreamer
from ironrail.net.upstream.connection_pool import Attempt, ConnectionPool
from ironrail.policy.actions import SendAttempt
from ironrail.policy.events import AttemptEnded, AttemptStatus

# A request forwarded sooner than this is forwarded in the same iteration of the event loop in
# which it was read.
SAME_TURN_SECONDS = 0.01


class AttemptDispatcher:
    """Starts attempts, checks each before it is written, and takes its outcome."""

    def __init__(
        self,
        now: Callable[[], float],
        driver: PolicyDriver,
        requests: ResponseTracker,
        attempts: OpenAttempts,
        termination: RequestTermination,
        streamer: ValueStreamer,
        pools: Mapping[str, ConnectionPool],
        diagnostics: DaemonDiagnostics,
    ) -> None:
        self._settings = driver.router.settings
        self._now = now
        self._driver = driver
        self._requests = requests
        self._attempts = attempts
        self._termination = termination
        self._streamer = streamer
        self._pools = pools
        self._diagnostics = diagnostics
        self._loop = asyncio.get_running_loop()

    def send(self, action: SendAttempt) -> None:
        """Start an attempt, unless its request has its response or its client is gone."""
        now = self._now()
        request = self._requests.by_id.get(action.request_id)
        pool = self._pools.get(action.server)
        if request is None or not self._may_start(request, now):
            status = AttemptStatus.NOT_SENT
            event = AttemptEnded(action.request_id, action.attempt_number, status, True)
            self._driver.submit(event)
            return
        attempt = self._make_attempt(request, action, now)
        if request.attempts:
            self._diagnostics.retries.add(retry_reason(request.attempts[-1].status))
        request.attempts.append(attempt)
        if pool is not None:
            self._hand_to_pool(attempt, pool, action, now)
        else:
            # The server was removed from the endpoint list after the policy chose it, which is
            # reported like a failed connect.
            status = AttemptStatus.CONNECT_FAILED
            self._driver.submit(AttemptEnded(attempt.request_id, attempt.number, status))

    def _hand_to_pool(
        self, attempt: Attempt, pool: ConnectionPool, action: SendAttempt, now: float
    ) -> None:
        attempt_id = self._attempts.add(attempt, pool)
        # The timer is set even though the attempt may outlive its request: without an outcome the
        # policy would count the attempt as load on the server forever.
        attempt.timer = self._loop.call_later(
            attempt.deadline - now, self._attempts.abandon, attempt_id, AttemptStatus.TIMEOUT
        )
        if action.send_within is not None:
            attempt.send_by = now + action.send_within
            self._loop.call_later(action.send_within, pool.withdraw, attempt)
        pool.send(attempt)

    def _may_start(self, request: InFlightRequest, now: float) -> bool:
        """Whether the client of a request still waits for an attempt that would start now."""
        age = now - request.received_at + request.read_delay
        waited = bool(request.attempts) or age > SAME_TURN_SECONDS
        if self._requests.has_expired_all:
            return False
        return not self._termination.end_if_disconnected(request, waited)

    def _make_attempt(self, request: InFlightRequest, action: SendAttempt, now: float) -> Attempt:
        deadline = request.deadline
        if action.timeout is not None:
            deadline = min(deadline, now + action.timeout)
        attempt = Attempt(
            action.request_id,
            len(request.attempts),
            now,
            deadline,
            request.command,
            self._on_outcome,
        )
        attempt.on_stream_started = self._streamer.begin
        attempt.on_stream_data = self._streamer.forward
        attempt.reserve_buffer = self._streamer.buffer
        attempt.is_still_wanted = self._is_still_wanted
        attempt.may_write = self._may_write
        # A write must not be affected by the faults of other attempts on its connection.
        attempt.is_exclusive = request.command.is_write
        attempt.server = action.server
        return attempt

    def _is_still_wanted(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for a connection should still be sent."""
        request = self._requests.by_id.get(attempt.request_id)
        if request is None or self._now() >= min(request.deadline, attempt.send_by):
            return False
        return not self._termination.end_if_disconnected(request, True)

    def _may_write(self, attempt: Attempt, server_ready: bool) -> bool:
        """Check the invariants before an attempt is written; a violation drops the request."""
        request = self._requests.by_id.get(attempt.request_id)
        guard = self._diagnostics.invariants
        violations_before = guard.violations.total()
        may_write = guard.may_send(self._describe_write(attempt, request, server_ready))
        if request is not None and guard.violations.total() > violations_before:
            self._termination.drop(request)
        return may_write

    def _describe_write(
        self, attempt: Attempt, request: InFlightRequest | None, server_ready: bool
    ) -> PendingWrite:
        request_class = self._settings.classes[attempt.command.fields["c"]]
        return PendingWrite(
            self._now(),
            attempt.request_id,
            attempt.server,
            server_ready,
            request is not None,
            attempt.deadline,
            attempt.send_by,
            request_class.idempotency,
            request_class.idempotency_window,
            self._settings.hedging_allowed,
            written_attempts(request, attempt.number) if request is not None else (),
        )

    def _respond(self, request: InFlightRequest, body: bytes) -> None:
        """Respond with a value or a receipt, unless the client is slow and there is no memory."""
        if request.stream is None or request.stream.reserve(len(body)):
            self._requests.serve(request, body)
        else:
            request.lacks_memory = True
            self._requests.reject(request, None)

    def _on_outcome(self, attempt: Attempt, status: AttemptStatus, body: bytes) -> None:
        """Respond with the value of a successful attempt, and report its outcome to the policy."""
        self._attempts.remove(attempt)
        attempt.status = status
        self._streamer.release(attempt)
        request = self._requests.by_id.get(attempt.request_id)
        latency = self._now() - attempt.sent_at
        if request is not None and request.streamed_attempt is attempt:
            # After the stream started, the duration depends on the speed of the client.
            latency = request.streaming_since - attempt.sent_at
            self._streamer.end(request, status is AttemptStatus.OK)
            request = None
        elif request is not None and _is_response(request, status):
            self._respond(request, body)
            request = None
        event = AttemptEnded(attempt.request_id, attempt.number, status, request is None, latency)
        self._driver.submit(event)


def _is_response(request: InFlightRequest, status: AttemptStatus) -> bool:
    return status is AttemptStatus.OK and request.streamed_attempt is None
