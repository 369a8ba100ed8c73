"""The two ways of a connection, on each of which bytes may be late or held."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from enum import Flag, auto

EARLY = 0.001  # seconds by which a timer may fire too soon: loops round to milliseconds


class Way(Flag):
    """Which bytes of a connection."""

    IN = auto()  # to the stand-in
    OUT = auto()  # from it
    BOTH = IN | OUT


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    transport.abort()


class Lane:
    """Bytes of one way of a connection: none overtakes another, none comes while there is silence."""

    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        self._deliver, self._loop = deliver, asyncio.get_running_loop()
        self.waiting: deque[tuple[float, bytes]] = deque()  # from when each may come; empty is the end
        self._timer: asyncio.TimerHandle | None = None
        self.silent = False

    def put(self, data: bytes, delay: float) -> None:
        """To come in so many seconds; at once where nothing holds it."""
        if not (delay or self.silent or self.waiting):
            self._deliver(data)
            return
        self.waiting.append((self._loop.time() + delay, data))
        self.go_on()

    def go_on(self) -> None:
        """Let come what is due, unless there is silence."""
        self.stop()
        while self.waiting and not self.silent:
            at, data = self.waiting[0]
            if at > self._loop.time() + EARLY:
                self._timer = self._loop.call_at(at, self.go_on)
                return
            self.waiting.popleft()
            self._deliver(data)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
