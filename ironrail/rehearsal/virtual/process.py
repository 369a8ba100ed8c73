"""A process of the virtual world: what it holds, and how it is frozen, resumed, told and ended."""

from __future__ import annotations

import contextvars
import signal
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.virtual.interfaces import Held
from ironrail.rehearsal.virtual.loop import PROCESS, VirtualLoop

OWN_DESCRIPTORS = 8  # of a process without a connection: the standard streams, the loop's own


class Process:
    """One process. Whatever runs in its context belongs to it and ends with it."""

    def __init__(self, name: str, loop: VirtualLoop, on_end: Callable[[int], None]) -> None:
        self.name, self._loop, self._on_end = name, loop, on_end
        self.alive, self.frozen = True, False
        self.backlog: list[Any] = []  # handles that came due while it was frozen
        self.handlers: dict[signal.Signals, Callable[[], None]] = {}
        self.sockets: dict[Held, None] = {}
        self.extra_descriptors = 0  # of files
        self.most_descriptors = OWN_DESCRIPTORS
        self.log = bytearray()
        self.log_bytes = 0
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)
        self._pending: list[signal.Signals] = []

    def now(self) -> float:
        """Seconds on the loop's clock."""
        return self._loop.time()

    # What it holds

    def descriptors(self) -> int:
        return OWN_DESCRIPTORS + len(self.sockets) + self.extra_descriptors

    def opened(self, socket: Held) -> None:
        self.sockets[socket] = None
        self.most_descriptors = max(self.most_descriptors, self.descriptors())

    def closed(self, socket: Held) -> None:
        self.sockets.pop(socket, None)

    def buffered(self) -> int:
        """Bytes that it holds in memory for peers that do not take them, and the system for it."""
        return sum(socket.unsent() + len(socket.inbox) for socket in self.sockets)

    def write_log(self, text: str) -> None:
        """Of a log without bound its end is kept."""
        data = text.encode()
        self.log_bytes += len(data)
        self.log += data
        if len(self.log) > 128 * 1024:
            del self.log[: -64 * 1024]

    # What is done to it

    def deliver(self, number: signal.Signals) -> None:
        """Send it a signal, as the system does."""
        if not self.alive:
            return
        if number is signal.SIGKILL:
            self.end(-number)
        elif number is signal.SIGSTOP:
            self.frozen = True
        elif number is signal.SIGCONT:
            self._thaw()
        elif self.frozen:
            self._pending.append(number)
        elif number in self.handlers:
            self._loop.call_soon(self.handlers[number], context=self.context)
        else:
            self.end(-number)

    def _thaw(self) -> None:
        if not self.frozen:
            return
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        self._loop.resume(backlog)
        pending, self._pending = self._pending, []
        for number in pending:
            self.deliver(number)

    def end(self, code: int) -> None:
        """It is over: the system closes all that it had open, and nothing of it runs again."""
        if not self.alive:
            return
        self.alive, self.frozen = False, False
        self.backlog.clear()
        for socket in list(self.sockets):
            socket.close()
        self.sockets.clear()
        self._loop.call_soon(self._on_end, code, context=self._loop.outside)
