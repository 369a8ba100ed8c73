"""Lingering close of a connection: shut down writing, discard further input, then close.

A close while input is unread or still arriving resets the connection, and the client loses
responses that are still in transit.
"""

from __future__ import annotations

import asyncio

from ironrail.connections.downstream.lingering_close import LINGER_SECONDS, MAX_DISCARDED_BYTES
from ironrail.connections.downstream.session_timeouts import UNREAD_RESPONSE_TIMEOUT_SECONDS
from ironrail.connections.downstream.transfer_progress import TransferProgress
from ironrail.net.system import System


class HalfClosedConnection:
    """One connection between its shutdown for writing and its close."""

    def __init__(
        self,
        transport: asyncio.Transport,
        system: System,
        *,
        progress: TransferProgress | None = None,
        peer_closed: bool = False,
    ) -> None:
        """Half-close the transport after pending writes.

        Args:
            transport: The connection.
            system: Tells what the client's system has received.
            progress: How the client has taken its responses so far, if it had any.
            peer_closed: Whether the client has closed its side.
        """
        self._transport = transport
        self._system = system
        self._loop = asyncio.get_running_loop()
        self._progress = progress or TransferProgress(system.now())
        self._progress.restart(system.now())  # its last progress may have been long ago
        self._bytes_to_discard = MAX_DISCARDED_BYTES
        # The event loop shuts the socket down only in its next iteration. A command that is read
        # before would be discarded, although the client may assume that it was accepted.
        transport.pause_reading()
        transport.write_eof()
        self._unsent_bytes = system.unsent_bytes(transport)
        if not peer_closed:
            self._loop.call_soon(self._resume_reading)
        self._timer = self._loop.call_later(LINGER_SECONDS, self._close_or_wait)

    def closed(self) -> None:
        """Release the connection, which has closed."""
        self._timer.cancel()

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def discard(self, size: int) -> None:
        """Discard received bytes, up to a limit that bounds their CPU cost."""
        self._bytes_to_discard -= size
        if self._bytes_to_discard <= 0 and not self._transport.is_closing():
            self._transport.pause_reading()

    def _close_or_wait(self) -> None:
        """Close the connection unless the client still takes responses.

        Once it is closed, the next command of the client resets it, and responses that are still
        in the system's buffers are lost.
        """
        now = self._system.now()
        if self.has_unsent() and not self._progress.has_stopped(
            now, UNREAD_RESPONSE_TIMEOUT_SECONDS
        ):
            self._timer = self._loop.call_later(LINGER_SECONDS, self._close_or_wait)
        else:
            self._transport.abort()

    def is_slow(self, now: float) -> bool:
        """Whether the client takes its last responses too slowly to be waited for."""
        return self.has_unsent() and self._progress.is_slow(now)

    def has_unsent(self) -> bool:
        """Whether responses have not reached the client's system; record those that have."""
        if self._transport.is_closing():
            return False
        unsent_bytes = self._system.unsent_bytes(self._transport)
        self._progress.record(self._system.now(), self._unsent_bytes - unsent_bytes)
        self._unsent_bytes = unsent_bytes
        return unsent_bytes > 0
