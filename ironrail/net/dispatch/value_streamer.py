"""Forwards long values to clients as they arrive from a server."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.access_log.record import RequestOutcome
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.net.dispatch.in_flight_request import InFlightRequest, ResponseStream
from ironrail.net.dispatch.memory_grants import release_memory
from ironrail.net.dispatch.open_attempts import OpenAttempts, id_of
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.net.protocol import meta_codec
from ironrail.net.upstream.connection import Attempt, Connection
from ironrail.policy.events import AttemptStatus, Event, StreamingStarted

# Memory for one stream: one read from the server, and the bytes that the client has not read yet.
STREAM_BUFFER_BYTES = 320 * 1024


class ValueStreamer:
    """Forwards long values from server connections to clients, within a memory budget."""

    def __init__(
        self,
        memory_budget: MemoryBudget,
        now: Callable[[], float],
        requests: ResponseTracker,
        attempts: OpenAttempts,
        submit: Callable[[Event], None],
    ) -> None:
        self.memory_budget = memory_budget
        self._now = now
        self._requests = requests
        self._attempts = attempts
        self._submit = submit

    def begin(self, attempt: Attempt, length: int, connection: Connection) -> None:
        """Start to forward the value of `length` bytes in reply to an attempt, or abandon it.

        From now on the request is answered by this attempt, whatever the outcomes of others.
        """
        request = self._requests.by_id.get(attempt.request_id)
        stream = _free_stream(request)
        if (
            request is None
            or stream is None
            or not self.memory_budget.reserve(attempt, STREAM_BUFFER_BYTES)
        ):
            self._attempts.abandon(id_of(attempt), AttemptStatus.CANCELLED)
            return
        attempt.holds_stream_memory = True
        request.streamed_attempt = attempt
        request.streaming_since = self._now()
        request.value_bytes = length
        request.timer.cancel()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._attempts.withdraw_unsent(request)
        stream.start(
            meta_codec.write_value_header(request.command.request_id, length), connection.set_paused
        )
        self._submit(StreamingStarted(attempt.request_id, attempt.number))

    def buffer(self, attempt: Attempt, size: int) -> bool:
        """Reserve memory for a part of a value that is kept until it is complete.

        Without memory the attempt is abandoned.

        Returns:
            Whether there was memory.
        """
        if attempt.is_open and self.memory_budget.grow(attempt, size):
            attempt.holds_stream_memory = True
            return True
        self._attempts.abandon(id_of(attempt), AttemptStatus.CANCELLED)
        return False

    def forward(self, attempt: Attempt, data: bytes) -> None:
        """Forward a chunk of a value."""
        request = self._requests.by_id.get(attempt.request_id)
        if request is None or request.stream is None:
            return
        if request.streamed_attempt is attempt:
            request.stream.write(data)

    def end(self, request: InFlightRequest, is_complete: bool) -> None:
        """Complete a request whose value has been forwarded, or is broken off."""
        assert request.stream is not None
        if is_complete:
            self._requests.complete(request, RequestOutcome.SERVED)
            request.stream.finish()
        else:
            self._requests.complete(request, RequestOutcome.FAILED)
            request.stream.break_off()

    def release(self, attempt: Attempt) -> None:
        """Release the memory of an attempt that has ended."""
        if attempt.holds_stream_memory:
            release_memory(self.memory_budget, attempt)


def _free_stream(request: InFlightRequest | None) -> ResponseStream | None:
    """Return the client's stream of a request, unless a long value is being forwarded on it."""
    if request is None or request.streamed_attempt is not None:
        return None
    return request.stream
