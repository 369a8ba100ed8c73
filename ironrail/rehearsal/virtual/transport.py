"""Transports over simulated sockets that behave like uvloop's (`docs/virtual/design.md` lists how).

A write is sent immediately as far as it fits; otherwise `pause_writing` is called from within the write.
The end of the peer's stream closes the transport unless the protocol keeps it open. `connection_lost` is
called last and exactly once; a write after that is an error.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ironrail.rehearsal.virtual.loop import VirtualLoop
from ironrail.rehearsal.virtual.socket import VirtualSocket

HIGH_WATER_BYTES = 64 * 1024


class VirtualTransport(asyncio.Transport):
    """The transport of one simulated connection."""

    def __init__(
        self, loop: VirtualLoop, socket: VirtualSocket, protocol: Any, context: contextvars.Context
    ) -> None:
        super().__init__(
            {"socket": socket, "sockname": socket.local_address, "peername": socket.remote_address}
        )
        self._loop, self._socket, self._protocol, self._context = loop, socket, protocol, context
        self._buffer = bytearray()
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._writing_paused = False
        self._reading = False
        self._closing = False
        self._lost = False
        self._eof_wanted = False
        self._eof_seen = False
        self._flush_due = False
        self._reads_due = False

    def begin(self) -> None:
        """Call `connection_made` and start reading."""
        self._socket.readable = self._on_readable
        self._socket.writable = self._on_writable
        self._protocol.connection_made(self)
        if not self._closing:
            self.resume_reading()

    # Reading

    def _on_readable(self) -> None:
        """Schedule a read in the context of the process."""
        if self._reading and not self._reads_due and not self._lost:
            self._reads_due = True
            self._loop.call_soon(self._read, context=self._context)

    def _read(self) -> None:
        self._reads_due = False
        if not self._reading or self._lost or self._closing:
            return
        socket = self._socket
        if data := socket.recv():
            self._protocol.data_received(data)
            if socket.waiting():
                self._on_readable()
        elif socket.error is not None:
            self._fail(socket.error)
        elif socket.ended and not self._eof_seen:
            self._eof_seen = True
            if not self._protocol.eof_received():
                self.close()

    def is_reading(self) -> bool:
        return self._reading

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if self._closing or self._reading:
            return
        self._reading = True
        if self._socket.waiting() and not self._eof_seen:
            self._on_readable()

    # Writing

    def write(self, data: Any) -> None:
        if self._lost:
            raise RuntimeError(f"unable to perform operation on {self!r}; the handler is closed")
        if self._eof_wanted:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._closing:
            return
        waiting = bool(self._buffer)
        self._buffer += data
        self._update_buffered_bytes()
        if not waiting:
            self._flush()
        else:
            self._update_flow_control()

    def _update_buffered_bytes(self) -> None:
        self._socket.buffered_bytes = len(self._buffer)

    def _flush(self) -> None:
        """Send as much of the buffer as the socket takes."""
        self._flush_due = False
        if self._lost or not self._socket.open:
            return
        if self._buffer and self._socket.error is None:
            sent = self._socket.send(bytes(self._buffer))
            del self._buffer[:sent]
            self._update_buffered_bytes()
        elif self._buffer:
            self._loop.call_soon(self._fail, self._socket.error, context=self._context)
            return
        self._update_flow_control()
        if not self._buffer:
            if self._eof_wanted:
                self._socket.shutdown()
            if self._closing:
                self._loop.call_soon(self._finish, None, context=self._context)

    def _update_flow_control(self) -> None:
        size = len(self._buffer)
        if size > self._high and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()
        elif size <= self._low and self._writing_paused:
            self._writing_paused = False
            self._protocol.resume_writing()

    def _on_writable(self) -> None:
        """Schedule a flush in the context of the process: the peer has read."""
        if self._buffer and not self._flush_due:
            self._flush_due = True
            self._loop.call_soon(self._flush, context=self._context)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH_WATER_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def write_eof(self) -> None:
        if self._eof_wanted or self._closing:
            return
        self._eof_wanted = True
        if not self._buffer:
            self._socket.shutdown()

    def can_write_eof(self) -> bool:
        return True

    # Closing

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self._buffer:
            self._loop.call_soon(self._finish, None, context=self._context)

    def abort(self) -> None:
        if self._lost:
            return
        self._buffer.clear()
        self._update_buffered_bytes()
        self._closing, self._reading = True, False
        self._loop.call_soon(self._finish, None, context=self._context)

    def _fail(self, error: OSError | None) -> None:
        self._buffer.clear()
        self._update_buffered_bytes()
        self._closing, self._reading = True, False
        self._finish(error)

    def _finish(self, error: OSError | None) -> None:
        if self._lost:
            return
        self._lost = True
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.close()
