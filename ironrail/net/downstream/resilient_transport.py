"""A client's transport that outlives reads and writes for which this machine lacks memory.

The event loop closes a connection whose `recv` or `send` fails with ENOBUFS or ENOMEM. The socket
itself is intact then: no byte was taken or lost.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any, cast

from ironrail.net.listener import set_up_accepted
from ironrail.net.local_errors import is_local_error

RETRY_DELAY_SECONDS = 0.005

READ_BYTES = 16 * 1024
"""Read at a time: what is read and not yet parsed of each connection is held in memory."""

READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Shared by all connections: its content is copied before the next read."""


class ResilientTransport(asyncio.Transport, asyncio.BufferedProtocol):
    """Stands between the event loop's transport of a client and its protocol.

    Attributes:
        unread_since: Since when input may have waited because a read failed, on the loop's clock;
            None if no read has failed since the latest input.
        bytes_written: Bytes that the protocol has written, sent or not.
    """

    _transport: asyncio.Transport

    def __init__(self, accepted: socket.socket, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._socket = accepted
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        self._can_send = isinstance(accepted, socket.socket)  # not in a simulation
        self._unsent = bytearray()  # for which there was no memory
        self._retry: asyncio.TimerHandle | None = None
        self._eof_after_unsent = False
        self._is_open = False  # the protocol was told of the connection
        self._is_closing = False
        self._is_reading = True
        self._may_be_buffered = False  # the event loop's transport may hold unsent bytes
        self._reopening: asyncio.Task[None] | None = None
        self.unread_since: float | None = None
        self.bytes_written = 0

    # Events of the event loop's transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the new connection on, or go on after a read that failed."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._is_open:
            self._is_open = True
            self._protocol.connection_made(self)
        elif self._is_closing:
            self._transport.abort()
        elif not self._is_reading:
            self._transport.pause_reading()
        self._may_be_buffered = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop stores what it reads."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass input on."""
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass input on."""
        self._protocol.data_received(data)
        self.unread_since = None

    def eof_received(self) -> bool | None:
        """Pass the end of the input on."""
        stays_open = self._protocol.eof_received()
        if not stays_open:
            self._is_closing = True
        return stays_open

    def pause_writing(self) -> None:
        """Pass on that the client has stopped reading."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the client reads again."""
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Open the connection again if only a read has failed; else pass its end on."""
        if isinstance(exc, RuntimeError):
            # uvloop takes a read that fails with ENOBUFS for a failure of `get_buffer`
            exc = OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
        if self._may_reopen(exc):
            try:
                self._socket = self._socket.dup()
            except OSError:
                pass
            else:
                self.unread_since = self.unread_since or self._loop.time()
                self._reopening = self._loop.create_task(self._reopen())
                return
        self._end(exc)

    def _may_reopen(self, error: Exception | None) -> bool:
        if error is None or self._is_closing or not self._can_send:
            return False
        return is_local_error(error) and not self._may_be_buffered

    async def _reopen(self) -> None:
        await asyncio.sleep(RETRY_DELAY_SECONDS)
        try:
            await set_up_accepted(self._socket, lambda: self)
        except OSError as error:
            self._socket.close()
            self._end(error)

    def _end(self, error: Exception | None) -> None:
        self._is_closing = True
        self._unsent.clear()
        if self._retry is not None:
            self._retry.cancel()
        self._protocol.connection_lost(error)

    # Calls of the protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data at once as far as the kernel takes it; the rest follows by itself."""
        if self._is_closing and not self._has_buffered():
            return
        self.bytes_written += len(data)
        if self._unsent:
            self._unsent += data
        else:
            self._send(bytes(data))

    def _send(self, data: bytes) -> None:
        if self._can_send and not self._has_buffered():
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                if is_local_error(error):
                    self._send_later(data)
                    return
                sent = 0  # the event loop's transport meets the same error, and reports it
            if sent == len(data):
                return
            data = data[sent:]
        if self._transport.is_closing() and not self._is_closing:
            self._send_later(data)  # a read has failed, and the next transport is not there yet
            return
        self._may_be_buffered = True
        self._transport.write(data)

    def _send_later(self, data: bytes) -> None:
        self._unsent += data
        self._retry = self._loop.call_later(RETRY_DELAY_SECONDS, self._send_again)

    def _has_buffered(self) -> bool:
        """Whether the event loop's transport holds unsent bytes, which must go first."""
        if self._may_be_buffered:
            self._may_be_buffered = self._transport.get_write_buffer_size() > 0
        return self._may_be_buffered

    def _send_again(self) -> None:
        self._retry = None
        data = bytes(self._unsent)
        self._unsent.clear()
        self._send(data)
        if not self._unsent and self._eof_after_unsent:
            self._transport.write_eof()

    def write_eof(self) -> None:
        """Half-close the connection after all data is sent."""
        if self._unsent:
            self._eof_after_unsent = True
        else:
            self._transport.write_eof()

    def can_write_eof(self) -> bool:
        """Whether the connection can be half-closed."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return len(self._unsent) + self._transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Stop reading."""
        self._is_reading = False
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._is_reading = True
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def is_closing(self) -> bool:
        """Whether the connection is closing, other than because of a failed read."""
        return self._is_closing

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_closing = True
        self._transport.abort()

    def close(self) -> None:
        """Close the connection after pending writes."""
        self._is_closing = True
        self._transport.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection; `socket` is usable while it is opened again."""
        return self._socket if name == "socket" else self._transport.get_extra_info(name, default)
