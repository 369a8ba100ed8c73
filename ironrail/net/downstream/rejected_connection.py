"""A connection that is rejected for lack of file descriptors."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.protocol import meta_codec


class RejectedConnection(asyncio.Protocol):
    """Sends an error and lingers: an immediate close could cause a reset, which loses the error."""

    transport: asyncio.Transport

    def __init__(self, context: SessionContext[Any]) -> None:
        """Wait for `connection_made`."""
        self._context = context
        self.half_closed: HalfClosedConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the error, and half-close the connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass of it
        self.transport.write(meta_codec.TOO_MANY_CONNECTIONS)
        self.half_closed = HalfClosedConnection(self.transport, self._context.system)
        self._context.start_linger(self)

    def data_received(self, data: bytes) -> None:
        """Discard what the client sends."""
        if self.half_closed is not None:
            self.half_closed.discard(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        if self.half_closed is not None:
            self.half_closed.closed()
        self._context.lingering.remove(self)
