"""The server side of HTTP/1.1 for stand-ins: whole requests in, responses out, one at a time."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from ironrail.rehearsal.standins.door import Door, DoorConnection

MOST_BODY = 128 * 1024  # bytes of a request


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_at: float  # on the loop's clock
    last_at: float
    late: bool


class HttpConnection(DoorConnection):
    """One connection. Subclasses take requests and answer each with `respond`."""

    def __init__(self, door: Door) -> None:
        super().__init__(door)
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._first_at: float | None = None

    def clock(self) -> float:
        raise NotImplementedError

    def took(self, request: HttpRequest) -> None:
        """A whole request has come."""
        raise NotImplementedError

    def unreadable(self, fault: object) -> None:
        """What came is no HTTP."""

    def received(self, data: bytes) -> None:
        if self._first_at is None:
            self._first_at = self.clock()
        try:
            self._http.receive_data(data)
            self._read()
        except (h11.RemoteProtocolError, ValueError) as e:
            self.unreadable(e)
            self.transport.close()

    def _read(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request, self._body = event, bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MOST_BODY:
                    raise ValueError("body too large")
            elif isinstance(event, h11.EndOfMessage):
                self._whole()
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.close()
                return
            else:
                return

    def _whole(self) -> None:
        assert self._request is not None
        now = self.clock()
        headers = {n.decode("latin-1").lower(): v.decode("latin-1") for n, v in self._request.headers}
        first = now if self._first_at is None else self._first_at
        self._first_at = None
        method, target = self._request.method.decode(), self._request.target.decode("latin-1")
        self.took(HttpRequest(method, target, headers, bytes(self._body), first, now, self.late))

    def respond(self, status: int, body: bytes, *headers: tuple[str, str], raw: bytes | None = None) -> None:
        """Answer the request that is in hand; `raw` in place of it, as a bad server does."""
        if self.closed:
            return
        if raw is not None:
            self.write(raw)
            return
        lines = [("Content-Length", str(len(body))), *headers]
        parts = [
            self._http.send(h11.Response(status_code=status, headers=lines)),
            self._http.send(h11.Data(data=body)),
            self._http.send(h11.EndOfMessage()),
        ]
        self.write(b"".join(part or b"" for part in parts))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._read()  # what came meanwhile
        else:
            self.transport.close()
