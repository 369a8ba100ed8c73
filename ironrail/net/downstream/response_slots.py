"""The slots of pipelined responses, which are written in the order of their commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.net.dispatch.in_flight_request import ClientRegion
from ironrail.net.protocol import meta_codec

MAX_BUFFERED_BYTES = 64 * 1024
"""Of a streamed response that waits for earlier ones: at that, its server is paused."""


class SlotConnection(Protocol):
    """What a slot needs of its connection."""

    transport: asyncio.Transport
    session: ClientSession
    reader: ClientRegion | None
    arrived_at: float | None

    def has_left(self, waited: bool) -> bool:
        """Whether the client has gone, as far as the system knows."""


class SlotQueue(Protocol):
    """What a slot needs of the queue that it is in."""

    def is_next(self, slot: ResponseSlot) -> bool:
        """Whether all responses before this one are written."""

    def response_completed(self, slot: ResponseSlot) -> None:
        """Write a complete response once it is its turn."""


class ResponseSlot:
    """The response to one command, which is complete at once or a long value in chunks."""

    __slots__ = (
        "_buffered",
        "_buffered_bytes",
        "_connection",
        "_pause_server",
        "_queue",
        "holds_memory",
        "request_id",
        "response",
    )

    def __init__(
        self,
        connection: SlotConnection,
        queue: SlotQueue,
        response: bytes | None = None,
    ) -> None:
        """Wait for the response, unless it is known already."""
        self._connection = connection
        self._queue = queue
        self.request_id: str | None = None
        self.response = response
        self.holds_memory = False
        self._pause_server: Callable[[bool], None] | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def reader(self) -> ClientRegion | None:
        """The client, if the router distinguishes regions of clients."""
        return self._connection.reader

    @property
    def arrived_at(self) -> float | None:
        """When the command may have arrived at the earliest; None if that was not just now."""
        return self._connection.arrived_at

    def has_disconnected(self, waited: bool) -> bool:
        """Whether the client has gone; `waited`: time has passed since its command was read."""
        return self._connection.has_left(waited)

    def complete(self, response: bytes) -> None:
        """Take the complete response."""
        self.response = response
        self._queue.response_completed(self)

    # A long value in chunks

    def start(self, head: bytes, hold: Callable[[bool], None]) -> None:
        """Take the header of a long value; `hold` pauses or resumes the server."""
        self._pause_server = hold
        self.write(head)

    def write(self, data: bytes) -> None:
        """Write a chunk, or buffer it behind earlier responses."""
        if self._queue.is_next(self):
            self._connection.transport.write(data)
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        self.update_flow_control()

    def finish(self) -> None:
        """End a long value that is complete."""
        if self._pause_server is not None:
            self._pause_server(False)  # its connection goes on with other requests
        self._pause_server = None
        self.complete(meta_codec.LINE_END)

    def abort(self) -> None:
        """Abort the connection, as the client would take a partial value for a complete one."""
        self._pause_server = None
        self._connection.transport.abort()

    @property
    def is_streaming(self) -> bool:
        """Whether the response is a long value with chunks to come or buffered."""
        return self._pause_server is not None or bool(self._buffered)

    def take_buffered(self) -> list[bytes]:
        """Take the chunks that waited for earlier responses."""
        chunks = self._buffered
        self._buffered = []
        self._buffered_bytes = 0
        return chunks

    def update_flow_control(self) -> None:
        """Pause the server while the client takes nothing or too much is buffered."""
        if self._pause_server is None:
            return
        is_unread = self._connection.session.responses_unread_since is not None
        self._pause_server(is_unread or self._buffered_bytes >= MAX_BUFFERED_BYTES)
