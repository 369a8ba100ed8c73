"""The two directions of a connection; in each of them bytes may be delayed or held back."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from enum import Flag, auto

TIMER_TOLERANCE_SECONDS = 0.001  # a timer may fire this early: event loops round to milliseconds


class Direction(Flag):
    """Direction of the bytes of a connection, as seen from the stand-in."""

    IN = auto()  # to the stand-in
    OUT = auto()  # from the stand-in
    BOTH = IN | OUT


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection with a TCP reset (RST)."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    transport.abort()


class DelayLine:
    """Delivers the bytes of one direction in order and after their delays, none while silent."""

    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        self._deliver, self._loop = deliver, asyncio.get_running_loop()
        # the time from which each piece may be delivered; empty data marks the end of the stream
        self.waiting: deque[tuple[float, bytes]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.silent = False

    def put(self, data: bytes, delay: float) -> None:
        """Delivers data after `delay` seconds; at once if there is no delay and none queued."""
        if not (delay or self.silent or self.waiting):
            self._deliver(data)
            return
        self.waiting.append((self._loop.time() + delay, data))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Delivers everything that is due, unless silent, and sets a timer for the next piece."""
        self.stop()
        while self.waiting and not self.silent:
            due_at, data = self.waiting[0]
            if due_at > self._loop.time() + TIMER_TOLERANCE_SECONDS:
                self._timer = self._loop.call_at(due_at, self.deliver_due)
                return
            self.waiting.popleft()
            self._deliver(data)

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
