"""HTTP/1.1 client for discovery: one connection, with a timeout for each phase of a call."""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Any

import h11
import orjson

from ironrail.net.discovery.errors import (
    ConnectTimeoutError,
    MalformedResponseError,
    ResponseStatusError,
    ResponseTimeoutError,
)
from ironrail.net.discovery.timeouts import Timeout
from ironrail.net.io_timeout import io_timeout
from ironrail.net.system import Address

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
READ_CHUNK_BYTES = 65536


class DiscoveryClient:
    """One HTTP/1.1 connection to discovery, reopened after a failure.

    Attributes:
        address: Host and port of discovery.
        last_received_at: Time of the latest bytes, in seconds on the event loop's clock.
    """

    def __init__(self, address: Address, timeout: Timeout) -> None:
        self.address = address
        self.last_received_at = -math.inf
        self._timeout = timeout
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def get(self, target: str, first_byte_timeout: float) -> Any:
        """Return the JSON document that discovery answers to `GET target`.

        Args:
            target: Path and query.
            first_byte_timeout: Seconds until the response begins.

        Raises:
            OSError: The connection was refused or broke before the response began.
            ConnectTimeoutError: No connection was established in time.
            ResponseTimeoutError: The response did not begin in time.
            ResponseStatusError: The status isn't 200.
            MalformedResponseError: The response began, but is incomplete or can't be parsed.
        """
        response_began = False
        try:
            first_bytes = await self._first_bytes(target, first_byte_timeout)
            response_began = True
            async with io_timeout(self._timeout.rest):
                status, body = await self._read_response(first_bytes)
            if status == HTTPStatus.OK:
                return orjson.loads(body)
        except BaseException as error:
            self.close()  # a late response must not be mistaken for that of the next request
            if _is_malformed(error, response_began):
                reason = str(error) or type(error).__name__
                raise MalformedResponseError(f"malformed response: {reason}") from error
            raise
        raise ResponseStatusError(status)

    async def _first_bytes(self, target: str, timeout: float) -> bytes:
        try:
            async with io_timeout(timeout):
                return await self._send_request(target)
        except TimeoutError as error:
            raise ResponseTimeoutError(f"no response within {timeout:g} s") from error

    async def _send_request(self, target: str) -> bytes:
        """Send a request and return the first bytes of its response."""
        reader, writer = await self._connected_stream()
        host = "{}:{}".format(*self.address)
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        head = self._http.send(request) or b""
        writer.write(head + (self._http.send(h11.EndOfMessage()) or b""))
        first_bytes = await reader.read(READ_CHUNK_BYTES)
        if not first_bytes:
            raise ConnectionResetError("discovery closed the connection")
        self._record_received()
        return first_bytes

    async def _connected_stream(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._stream is None:
            try:
                async with io_timeout(self._timeout.connect):
                    self._stream = await asyncio.open_connection(*self.address)
            except TimeoutError as error:
                seconds = self._timeout.connect
                raise ConnectTimeoutError(f"no connection within {seconds:g} s") from error
            self._http = h11.Connection(h11.CLIENT)
        return self._stream

    async def _read_response(self, data: bytes) -> tuple[int, bytes]:
        """Return the status and the body of a response that begins with `data`."""
        assert self._stream is not None
        reader, _ = self._stream
        self._http.receive_data(data)
        status = 0
        body = bytearray()
        while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(READ_CHUNK_BYTES))
                self._record_received()
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise ValueError("list too large")
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("discovery closed the connection")
        self._finish_response()
        return status, bytes(body)

    def _finish_response(self) -> None:
        """Keep the connection for the next request, if HTTP allows that."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()

    def _record_received(self) -> None:
        self.last_received_at = asyncio.get_running_loop().time()

    def close(self) -> None:
        """Abort the connection, if there is one."""
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None


def _is_malformed(error: BaseException, response_began: bool) -> bool:
    """Return whether a call failed because of what discovery sent, not because it sent nothing."""
    if isinstance(error, h11.ProtocolError):
        return True
    return response_began and isinstance(error, (OSError, ValueError))
