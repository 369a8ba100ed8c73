"""One HTTP/1.1 call on one connection (RFC 9112), from received bytes to a response. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import h11

MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 64 * 1024
CONTENT_TYPE = b"text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Response:
    """Status and body of a response."""

    status: int
    body: bytes = b""


Handler = Callable[[], Response]
PostHandler = Callable[[bytes], Response]


class HttpCall:
    """One call. Bytes after it are ignored, as the connection closes after the response."""

    def __init__(
        self, pages: Mapping[str, Handler], posts: Mapping[str, PostHandler] | None = None
    ) -> None:
        """Answer GET and HEAD from `pages`, POST from `posts`; both map paths to handlers."""
        self._pages = pages
        self._posts = posts or {}
        self._post_handler: PostHandler | None = None  # receives the body of this call
        self._body = bytearray()
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._answered = False

    def receive(self, data: bytes) -> bytes | None:
        """Return the response once the request is complete or malformed; None before and after.

        Empty `data` means that the client has closed its side; no response follows if it sent
        nothing at all.
        """
        if self._answered:
            return None
        try:
            self._http.receive_data(data)
            while not isinstance(
                event := self._http.next_event(), (h11.ConnectionClosed, type(h11.NEED_DATA))
            ):
                response = self._handle(event)
                if response is not None:
                    return self._encode(response)
        except h11.RemoteProtocolError as error:
            return self._encode(Response(error.error_status_hint, f"{error}\n".encode()))
        return None

    def _handle(self, event: object) -> Response | None:
        if isinstance(event, h11.Request):
            return self._handle_request(event)
        if isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_BODY_BYTES:
                reason = b"more than %d bytes\n" % MAX_BODY_BYTES
                return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)
        elif isinstance(event, h11.EndOfMessage) and self._post_handler is not None:
            return self._post_handler(bytes(self._body))
        return None

    def request_timeout(self) -> bytes | None:
        """Return the response to a request that timed out incomplete; None if already answered."""
        if self._answered:
            return None
        return self._encode(Response(HTTPStatus.REQUEST_TIMEOUT, b"no whole call in time\n"))

    def _handle_request(self, request: h11.Request) -> Response | None:
        """Return the response to a request without a body; None if a body follows."""
        path = request.target.decode("ascii").partition("?")[0]
        page = self._pages.get(path)
        self._post_handler = self._posts.get(path)
        if request.method == b"POST" and self._post_handler is not None:
            return None
        if page is None:
            return Response(HTTPStatus.NOT_FOUND, b"no such call\n")
        if request.method not in (b"GET", b"HEAD"):
            return Response(HTTPStatus.METHOD_NOT_ALLOWED, b"only GET and HEAD are answered here\n")
        return page()

    def _encode(self, response: Response) -> bytes:
        self._answered = True
        headers = [
            (b"Content-Type", CONTENT_TYPE),
            (b"Content-Length", b"%d" % len(response.body)),
            (b"Cache-Control", b"no-store"),
            (b"Connection", b"close"),
        ]
        if response.status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append((b"Allow", b"GET, HEAD"))
        events: tuple[h11.Event, ...] = (
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(response.body),
            h11.EndOfMessage(),
        )
        return b"".join(self._http.send(event) or b"" for event in events)
