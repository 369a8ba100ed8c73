"""Connections to the origin, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib

import h11

from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.reply_handler import AttemptReply
from ironrail.net.protocol.meta_codec import (
    MAX_BUFFERED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    info_with_wait,
    is_printable,
)
from ironrail.net.upstream.connection import Attempt, Connection, ConnectionObserver
from ironrail.net.upstream.origin_codec import header_of, request_of, status_of
from ironrail.policy.events import AttemptStatus

MAX_RECEIPT_BYTES = 1024
REST_TIMEOUT_SECONDS = 0.01
"""In which bytes are read that are unread when a response is complete by its length."""

BODY_RESERVATION_BYTES = 256 * 1024
"""Reserved at a time for a long body that is kept until it is complete."""

BODY_COPIES = 2
"""Of such a body in memory, while it becomes a response."""

MAX_INFORMATIONAL_RESPONSES = 16
"""Ahead of one response; parsing more would only cost CPU."""

STATUS_LINE_START = b"HTTP/1."


class OriginConnection(Connection):
    """An HTTP/1.1 connection with one request in flight at a time."""

    def __init__(self, pool: ConnectionObserver, upstream: UpstreamConnection) -> None:
        super().__init__(pool, upstream)
        self._http = h11.Connection(h11.CLIENT)
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._body_capacity = MAX_BUFFERED_VALUE_BYTES
        self._num_informational = 0
        self._is_streaming = False
        self._is_complete = False  # up to its length; its outcome is not reported yet
        self._is_last_response = False

    def encode(self, attempt: Attempt) -> list[bytes]:
        """Return the request of an attempt as it is written now."""
        command = attempt.command
        body = command.value or b""
        http = self._http
        info = info_with_wait(command, self.remaining_milliseconds(attempt))
        host = "{}:{}".format(*self.pool.address)
        head = http.send(request_of(command, info, host, len(body))) or b""
        if body:
            http.send_with_data_passthrough(h11.Data(body))
        http.send(h11.EndOfMessage())  # adds no bytes after a body with a length
        return [head, body] if body else [head]

    def data_received(self, data: bytes) -> None:
        """Parse one read, and report the response if it is complete."""
        replies: list[AttemptReply] = []
        fault = None
        try:
            self._check_expected()
            self._http.receive_data(data)
            self._is_complete = self._is_complete or self._read_response()
            if self.transport.is_closing():  # the long value has been abandoned
                return
            if self._is_complete and (self._surplus() or self.is_quiet()):
                replies = [self._match()]
            elif self._is_complete:
                self._await_rest()
        except h11.RemoteProtocolError as e:
            fault = e
        is_partial = len(self.in_flight) > len(replies) and self._has_begun()
        self.report_read(replies, is_partial, fault)
        if replies and fault is None:
            self._close_after_last_response()

    def _await_rest(self) -> None:
        """Read what follows a complete response before it is reported, but not for long."""
        loop = asyncio.get_running_loop()
        loop.call_later(REST_TIMEOUT_SECONDS, self._report_complete)

    def _report_complete(self) -> None:
        """Report a response that is complete by its length, if that was not done before."""
        if self._is_complete and self.in_flight:
            with contextlib.suppress(h11.RemoteProtocolError):
                self.report_read([self._match()], False)
                self._close_after_last_response()

    def _close_after_last_response(self) -> None:
        if self._is_last_response:
            self.transport.close()

    def eof_received(self) -> None:
        """Complete a response that has no length; with a length it would be incomplete."""
        if self.in_flight and self._response is not None:
            with contextlib.suppress(h11.RemoteProtocolError):
                self._http.receive_data(b"")
                if self._is_complete or self._read_response():
                    self.report_read([self._match()], False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a response that was complete, and the end of the connection."""
        self._report_complete()
        super().connection_lost(exc)

    def _check_expected(self) -> None:
        if not self.in_flight:
            raise h11.RemoteProtocolError("response without a request")

    def _has_begun(self) -> bool:
        return self._response is not None or bool(self._http.trailing_data[0])

    def _read_response(self) -> bool:
        """Parse the received bytes; return whether the response is complete."""
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._response = event
                self._start_stream_if_long(event)
                if self.transport.is_closing():
                    return False
            elif isinstance(event, h11.Data):
                self._read_body(event)
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif isinstance(event, h11.InformationalResponse):
                self._count_informational()
            else:
                return False  # needs more data, or the connection has ended

    def _count_informational(self) -> None:
        self._num_informational += 1
        if self._num_informational > MAX_INFORMATIONAL_RESPONSES:
            raise h11.RemoteProtocolError("too many informational responses")

    def _read_body(self, event: h11.Data) -> None:
        if self._is_streaming:
            self.pool.on_stream_data(self.upstream, bytes(event.data))
            return
        self._body += event.data
        if len(self._body) > MAX_VALUE_BYTES:  # a body without a length may be endless
            raise h11.RemoteProtocolError("value too large")
        while len(self._body) > self._body_capacity:
            self._reserve_body()

    def _reserve_body(self) -> None:
        """Reserve memory for more of a body that is kept whole, such as one without a length.

        Raises:
            h11.RemoteProtocolError: There is none, and the attempt has been abandoned.
        """
        attempt = self.in_flight[0]
        reserve = attempt.reserve_buffer
        if reserve is not None and not reserve(attempt, BODY_COPIES * BODY_RESERVATION_BYTES):
            raise h11.RemoteProtocolError("no memory for the body")
        self._body_capacity += BODY_RESERVATION_BYTES

    def _start_stream_if_long(self, response: h11.Response) -> None:
        """Start to forward a long value as it arrives; a value without a length is buffered."""
        length = int(header_of(response, b"content-length") or b"0")
        if length > MAX_VALUE_BYTES:
            raise h11.RemoteProtocolError("value too large")
        is_value = (
            status_of(response) is AttemptStatus.OK and not self.in_flight[0].command.is_write
        )
        if length > MAX_BUFFERED_VALUE_BYTES and is_value:
            self._is_streaming = True
            self.pool.on_stream_started(self.upstream, length)

    def _surplus(self) -> bytes:
        """Bytes that were received behind the response."""
        surplus, _ = self._http.trailing_data
        return surplus

    def _check_length(self) -> None:
        """Check that the response does not go on behind the length that its header states.

        The rest of a value can't be told from noise; a second response can, by its status line.

        Raises:
            h11.RemoteProtocolError: Other bytes follow than a second response.
        """
        surplus = self._surplus()
        if surplus and not surplus.startswith(STATUS_LINE_START):
            raise h11.RemoteProtocolError("the response is longer than its length")

    def _match(self) -> AttemptReply:
        """Return the outcome of the request; as a response has no id, its form is checked."""
        self._check_length()
        response = self._response
        body = bytes(self._body)
        if response is None:
            raise h11.RemoteProtocolError("body without a response header")
        status = status_of(response)
        is_receipt = status is AttemptStatus.OK and self.in_flight[0].command.is_write
        if is_receipt and not is_printable(body, MAX_RECEIPT_BYTES):
            raise h11.RemoteProtocolError("receipt does not fit into a response line")
        self._response = None
        self._body = bytearray()
        self._body_capacity = MAX_BUFFERED_VALUE_BYTES
        self._num_informational = 0
        self._is_streaming = False
        self._is_complete = False
        self._prepare_next()
        return AttemptReply(status, body)

    def _prepare_next(self) -> None:
        """Prepare for the next request, unless the origin closes or has sent surplus bytes."""
        http = self._http
        if not self._surplus() and http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            self.pool.retire(self.upstream)
            self._is_last_response = True
