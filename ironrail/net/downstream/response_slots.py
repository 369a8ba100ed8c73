"""The slots of pipelined responses, which are written in the order of their commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.net.dispatch.in_flight_request import ClientRegion
from ironrail.net.protocol import meta_codec

MAX_BUFFERED_BYTES = 64 * 1024
"""If this much of a streamed response waits for earlier ones, its server is paused."""


class SlotConnection(Protocol):
    """The interface of a connection to its slots."""

    transport: asyncio.Transport
    session: ClientSession
    client_region: ClientRegion | None

    @property
    def arrived_at(self) -> float | None:
        """Earliest arrival time of the input that is being parsed; None at other times."""

    def has_left(self, waited: bool) -> bool:
        """Whether the client has disconnected, as far as the operating system knows."""

    def end_after_broken_value(self) -> None:
        """Cancel the requests behind a value that broke off, and close after pending writes."""


class SlotQueue(Protocol):
    """The interface of a queue to its slots."""

    def is_next(self, slot: ResponseSlot) -> bool:
        """Whether all responses before this one are written."""

    def reserve(self, slot: ResponseSlot, size: int) -> bool:
        """Reserve memory for a complete response, and return whether there was enough."""

    def response_completed(self, slot: ResponseSlot) -> None:
        """Release what the command holds, and write its response once it is next."""


class ResponseSlot:
    """The response to one command: complete in one piece, or a long value in chunks."""

    __slots__ = (
        "_buffered",
        "_buffered_bytes",
        "_connection",
        "_has_begun",
        "_pause_server",
        "_queue",
        "_response",
        "holds_memory",
        "request_id",
    )

    def __init__(self, connection: SlotConnection, queue: SlotQueue) -> None:
        """Wait for the response."""
        self._connection = connection
        self._queue = queue
        self._response: bytes | None = None
        self.request_id: str | None = None
        self.holds_memory = False
        self._pause_server: Callable[[bool], None] | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._has_begun = False  # a part of the response was written

    @property
    def response(self) -> bytes | None:
        """The complete response, or the end of one in chunks; None until `complete` is called."""
        return self._response

    @property
    def client_region(self) -> ClientRegion | None:
        """Region of the client, where latency is measured by region."""
        return self._connection.client_region

    @property
    def arrived_at(self) -> float | None:
        """Earliest arrival time of the command; None after it has been parsed."""
        return self._connection.arrived_at

    @property
    def has_ended(self) -> bool:
        """Whether the response is complete, or its client has disconnected."""
        return self._response is not None or self._connection.transport.is_closing()

    def has_disconnected(self, waited: bool) -> bool:
        """Whether the client has disconnected; `waited`: time has passed since the read."""
        return self._connection.has_left(waited)

    def reserve(self, size: int) -> bool:
        """Reserve memory for the complete response, and return whether there was enough."""
        return self._queue.reserve(self, size)

    def complete(self, response: bytes) -> None:
        """Set the complete response."""
        self._response = response
        self._queue.response_completed(self)

    # A long value in chunks

    def start(self, head: bytes, set_paused: Callable[[bool], None]) -> None:
        """Write the header of a long value; `set_paused` pauses or resumes the server."""
        self._pause_server = set_paused
        self.write(head)

    def write(self, data: bytes) -> None:
        """Write a chunk, or buffer it if earlier responses are not yet written."""
        if self._queue.is_next(self):
            self._has_begun = True
            self._connection.transport.write(data)
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        self.update_flow_control()

    def finish(self) -> None:
        """Finish a complete long value."""
        if self._pause_server is not None:
            self._pause_server(False)  # its connection carries other requests from now on
        self._pause_server = None
        self.complete(meta_codec.LINE_END)

    def break_off(self) -> None:
        """End a long value that will never be complete.

        The client must not mistake a partial value for a whole one. If nothing of it was written,
        an error takes its place, and the other commands of the client get their responses.
        """
        self._pause_server = None
        if self._has_begun:
            self._connection.end_after_broken_value()
        else:
            self.take_buffered()
            self.complete(meta_codec.FAILED)

    def abort(self) -> None:
        """Abort the connection of a client that has left."""
        self._pause_server = None
        self._connection.transport.abort()

    @property
    def is_streaming(self) -> bool:
        """Whether the response is a long value with chunks that are expected or buffered."""
        return self._pause_server is not None or bool(self._buffered)

    def take_buffered(self) -> list[bytes]:
        """Remove and return the chunks that waited for earlier responses, to be written now."""
        chunks = self._buffered
        self._has_begun = self._has_begun or bool(chunks)
        self._buffered = []
        self._buffered_bytes = 0
        return chunks

    def update_flow_control(self) -> None:
        """Pause the server while the client does not read, or while too much is buffered."""
        if self._pause_server is None:
            return
        is_unread = self._connection.session.responses_unread_since is not None
        self._pause_server(is_unread or self._buffered_bytes >= MAX_BUFFERED_BYTES)
