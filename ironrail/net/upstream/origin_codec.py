"""Requests to the origin and the meaning of its responses, in terms of h11."""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import quote_from_bytes

import h11

from ironrail.net.protocol.meta_codec import Command
from ironrail.policy.events import AttemptStatus

SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=-._~"  # all other bytes of a key are percent-encoded
OVERLOADED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def request_of(command: Command, info: bytes, host: str, length: int) -> h11.Request:
    """Return the head of the request that forwards a command with a value of `length` bytes."""
    headers = [
        (b"Host", host.encode()),
        (b"Request-Id", command.request_id),
        (b"Request-Info", info),
    ]
    if command.is_write:
        headers.append((b"Content-Length", b"%d" % length))
    target = "/" + quote_from_bytes(command.key, SAFE_PATH_CHARACTERS)
    return h11.Request(method="PUT" if command.is_write else "GET", target=target, headers=headers)


def header_of(response: h11.Response, wanted: bytes) -> bytes | None:
    """Return the value of a header, whose name is in lower case; None if it is absent."""
    return next((value for name, value in response.headers if name == wanted), None)


def status_of(response: h11.Response) -> AttemptStatus:
    """Return the outcome that a response means for its attempt."""
    if response.status_code == HTTPStatus.OK:
        return AttemptStatus.OK
    # A proxy in between may answer 503 or 504 as well. Only this header proves that the request
    # never ran.
    never_ran = any(name == b"not-started" and value == b"1" for name, value in response.headers)
    if response.status_code in OVERLOADED_STATUSES and never_ran:
        return AttemptStatus.BUSY
    return AttemptStatus.ERROR
