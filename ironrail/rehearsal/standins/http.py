"""The server side of HTTP/1.1 for stand-ins: whole requests in, responses out, one at a time."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from ironrail.rehearsal.standins.faulty_endpoint import FaultyConnection, FaultyEndpoint

MAX_BODY_BYTES = 4 * 1024 * 1024  # as large as the largest value


class InvalidHttpError(ValueError):
    """The data received is not a valid HTTP request."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    closes: bool  # the connection ends with the response


class RequestReader:
    """Parses whole requests from received data. No I/O, no responses."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self.begun = False  # part of a request has arrived

    def add(self, data: bytes) -> None:
        """Adds received data; empty data marks the end of the connection.

        Raises:
            InvalidHttpError: The data is not HTTP.
        """
        self.begun = self.begun or bool(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as e:
            raise InvalidHttpError(str(e)) from e

    def next(self) -> HttpRequest | None:
        """Returns the next whole request, if there is one.

        Raises:
            InvalidHttpError: The data received is not a valid request.
        """
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Request):
                    self._request, self._body = event, bytearray()
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_BODY_BYTES:
                        raise InvalidHttpError("body too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self._finish_request()
                else:
                    return None
        except h11.RemoteProtocolError as e:
            raise InvalidHttpError(str(e)) from e

    def _finish_request(self) -> HttpRequest:
        assert self._request is not None
        request, closes = self._request, self._http.their_state is h11.MUST_CLOSE
        trailing, _ = self._http.trailing_data
        self._http = h11.Connection(h11.SERVER)
        self.begun = bool(trailing)
        if trailing:
            self._http.receive_data(trailing)
        headers = {n.decode("latin-1").lower(): v.decode("latin-1") for n, v in request.headers}
        return HttpRequest(
            request.method.decode(), request.target.decode("latin-1"), headers, bytes(self._body), closes
        )


def write_response(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Encodes a whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpConnection(FaultyConnection):
    """One connection. Subclasses handle requests and answer each of them with `respond`."""

    def __init__(self, endpoint: FaultyEndpoint) -> None:
        super().__init__(endpoint)
        self._reader = RequestReader()
        self._request: HttpRequest | None = None  # not answered yet
        self.first_at = 0.0  # when the first byte of the latest request arrived

    def clock(self) -> float:
        """The time that `first_at` is taken from, in seconds."""
        raise NotImplementedError

    def handle_request(self, request: HttpRequest) -> None:
        """Called with each whole request."""
        raise NotImplementedError

    def on_invalid_data(self, error: object) -> None:
        """Called when the data received is not valid HTTP."""

    def received(self, data: bytes) -> None:
        """Handles the next whole request, if none is open."""
        if not self._reader.begun:
            self.first_at = self.clock()
        self._read(data)

    def _read(self, data: bytes = b"") -> None:
        """Handles the next request unless one is open: responses keep the requests' order."""
        try:
            if data:
                self._reader.add(data)
            if self._request is None and (request := self._reader.next()) is not None:
                self._request = request
                self.handle_request(request)
        except InvalidHttpError as e:
            self.on_invalid_data(e)
            self.transport.close()

    def respond(self, status: int, body: bytes, *headers: tuple[str, str], raw: bytes | None = None) -> None:
        """Answers the open request; `raw` replaces the encoded response, for faulty ones."""
        request, self._request = self._request, None
        if self.closed or request is None:
            return
        self.write(write_response(status, body, *headers) if raw is None else raw)
        if request.closes:
            self.transport.close()
        else:
            self._read()
