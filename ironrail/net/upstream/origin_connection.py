"""Connections to the origin, over HTTP/1.1."""

from __future__ import annotations

import contextlib
from urllib.parse import quote_from_bytes

import h11

from ironrail.connections.upstream.pool_manager import Reply, UpstreamConnection
from ironrail.net.protocol.meta_codec import (
    MAX_BUFFERED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    Command,
    info_with_wait,
    is_printable,
)
from ironrail.net.upstream.connection import Attempt, Connection, ConnectionObserver
from ironrail.policy.events import AttemptStatus

SAFE_IN_PATH = "/:@!$&'()*+,;=-._~"  # of a key: as it is, all else is percent-encoded
MAX_RECEIPT = 1024


class OriginConnection(Connection):
    """Carries one request at a time."""

    def __init__(self, pool: ConnectionObserver, link: UpstreamConnection) -> None:
        super().__init__(pool, link)
        self._http = h11.Connection(h11.CLIENT)
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._long = False  # the value is passed on in pieces
        self._closing = False

    def encode(self, attempt: Attempt) -> list[bytes]:
        command = attempt.command
        body = command.value or b""
        http = self._http
        info = info_with_wait(command, self.wait_ms(attempt))
        head = (
            http.send(_request_of(command, info, "{}:{}".format(*self.pool.address), len(body)))
            or b""
        )
        if body:
            http.send_with_data_passthrough(h11.Data(body))
        http.send(h11.EndOfMessage())  # nothing on the wire behind a body of stated length
        return [head, body] if body else [head]

    def data_received(self, data: bytes) -> None:
        ended: list[Reply] = []
        fault = None
        try:
            if not self.attempts:
                raise h11.RemoteProtocolError("a response to nothing")
            self._http.receive_data(data)
            if self._read_response():
                ended = [self._match()]
            elif self.transport.is_closing():  # nobody waits for what has begun
                return
        except h11.RemoteProtocolError as e:
            fault = e
        self.settle(ended, len(self.attempts) > len(ended) and self._begun(), fault)
        if ended and fault is None and self._closing:  # the origin will close it: not to be reused
            self.transport.close()

    def _begun(self) -> bool:
        return self._response is not None or bool(self._http.trailing_data[0])

    def eof_received(self) -> None:
        """A response without a length ends here; any other is broken off."""
        if self.attempts and self._response is not None:
            with contextlib.suppress(h11.RemoteProtocolError):
                self._http.receive_data(b"")
                if self._read_response():
                    self.settle([self._match()], False)

    def _read_response(self) -> bool:
        """Whether the response is whole."""
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._response = event
                self._begin_long(event)
                if self.transport.is_closing():
                    return False
            elif isinstance(event, h11.Data):
                if self._long:
                    self.pool.piece(self.link, bytes(event.data))
                    continue
                self._body += event.data
                if len(self._body) > MAX_VALUE_BYTES:  # guards memory against an endless body
                    raise h11.RemoteProtocolError("value too large")
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif not isinstance(event, h11.InformationalResponse):
                return False  # needs more data, or the connection has ended

    def _begin_long(self, response: h11.Response) -> None:
        """Pass a long value on as it comes. What tells no length is kept whole, up to the bound."""
        told = next((value for name, value in response.headers if name == b"content-length"), b"0")
        length = int(told)
        if length > MAX_VALUE_BYTES:
            raise h11.RemoteProtocolError("value too large")
        read = not self.attempts[0].command.is_write and status_of(response) is AttemptStatus.OK
        if length > MAX_BUFFERED_VALUE_BYTES and read:
            self._long = True
            self.pool.began(self.link, length)

    def _match(self) -> Reply:
        """What the response says. It carries no id: guards the attempt against whatever else came."""
        response, body = self._response, bytes(self._body)
        if response is None:
            raise h11.RemoteProtocolError("a response to nothing")
        status = status_of(response)
        if (
            status is AttemptStatus.OK
            and self.attempts[0].command.is_write
            and not is_printable(body, MAX_RECEIPT)
        ):
            raise h11.RemoteProtocolError("a receipt that fits no line")
        self._response, self._body, self._long = None, bytearray(), False
        surplus, _ = self._http.trailing_data
        if not surplus and self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:  # the origin will close it, or has sent more than belongs to the response
            self.pool.retire(self.link)
            self._closing = True
        return status, body


def _request_of(command: Command, info: bytes, host: str, length: int) -> h11.Request:
    headers = [
        (b"Host", host.encode()),
        (b"Request-Id", command.request_id),
        (b"Request-Info", info),
    ]
    if command.is_write:
        headers.append((b"Content-Length", b"%d" % length))
    target = "/" + quote_from_bytes(command.key, SAFE_IN_PATH)
    return h11.Request(method="PUT" if command.is_write else "GET", target=target, headers=headers)


def status_of(response: h11.Response) -> AttemptStatus:
    """What the origin's answer says of the attempt."""
    if response.status_code == 200:
        return AttemptStatus.OK
    # only this header proves that it never ran: a bare 503 or 504 may come from anything on the way
    never_ran = any(name == b"not-started" and value == b"1" for name, value in response.headers)
    return (
        AttemptStatus.BUSY
        if response.status_code in (503, 504) and never_ran
        else AttemptStatus.ERROR
    )
