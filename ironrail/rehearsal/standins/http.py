"""The server side of HTTP/1.1 for stand-ins: whole requests in, responses out, one at a time."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from ironrail.rehearsal.standins.faulty_endpoint import Door, DoorConnection

MOST_BODY = 4 * 1024 * 1024  # bytes of a request, as the longest value has


class NotHttp(ValueError):
    """Bytes that are no request."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    closes: bool  # the connection is to end with its response


class RequestReader:
    """Takes whole requests from what comes. No I/O, and nothing to do with responses."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self.begun = False  # a part of a request has come

    def add(self, data: bytes) -> None:
        """What was read, or nothing at the end of the connection."""
        self.begun = self.begun or bool(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as e:
            raise NotHttp(str(e)) from e

    def next(self) -> HttpRequest | None:
        """The next whole request; NotHttp if what came is none."""
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Request):
                    self._request, self._body = event, bytearray()
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MOST_BODY:
                        raise NotHttp("body too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                else:
                    return None
        except h11.RemoteProtocolError as e:
            raise NotHttp(str(e)) from e

    def _whole(self) -> HttpRequest:
        assert self._request is not None
        request, closes = self._request, self._http.their_state is h11.MUST_CLOSE
        behind, _ = self._http.trailing_data
        self._http = h11.Connection(h11.SERVER)
        self.begun = bool(behind)
        if behind:
            self._http.receive_data(behind)
        headers = {n.decode("latin-1").lower(): v.decode("latin-1") for n, v in request.headers}
        return HttpRequest(
            request.method.decode(), request.target.decode("latin-1"), headers, bytes(self._body), closes
        )


def write_response(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """A whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpConnection(DoorConnection):
    """One connection. Subclasses take requests and answer each with `respond`."""

    def __init__(self, door: Door) -> None:
        super().__init__(door)
        self._reader = RequestReader()
        self._in_hand: HttpRequest | None = None
        self.first_at = 0.0  # when the first byte of the latest request came

    def clock(self) -> float:
        raise NotImplementedError

    def took(self, request: HttpRequest) -> None:
        """A whole request has come."""
        raise NotImplementedError

    def unreadable(self, fault: object) -> None:
        """What came is no HTTP."""

    def received(self, data: bytes) -> None:
        if not self._reader.begun:
            self.first_at = self.clock()
        self._read(data)

    def _read(self, data: bytes = b"") -> None:
        """Take the next request, unless one is in hand: responses come in the order of the requests."""
        try:
            if data:
                self._reader.add(data)
            if self._in_hand is None and (request := self._reader.next()) is not None:
                self._in_hand = request
                self.took(request)
        except NotHttp as e:
            self.unreadable(e)
            self.transport.close()

    def respond(self, status: int, body: bytes, *headers: tuple[str, str], raw: bytes | None = None) -> None:
        """Answer the request that is in hand; `raw` in place of it, as a bad server does."""
        request, self._in_hand = self._in_hand, None
        if self.closed or request is None:
            return
        self.write(write_response(status, body, *headers) if raw is None else raw)
        if request.closes:
            self.transport.close()
        else:
            self._read()
