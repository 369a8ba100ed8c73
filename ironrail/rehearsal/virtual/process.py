"""A simulated process: its descriptors, its log, and its handling of signals."""

from __future__ import annotations

import contextvars
import signal
from collections.abc import Callable
from typing import Any

from ironrail.rehearsal.virtual.interfaces import Descriptor
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, VirtualLoop

BASE_DESCRIPTORS = 8  # of an idle process: standard streams and those of the event loop


class Process:
    """A simulated process. Callbacks that run in its context belong to it and stop when it ends."""

    def __init__(self, name: str, loop: VirtualLoop, on_end: Callable[[int], None]) -> None:
        self.name, self._loop, self._on_end = name, loop, on_end
        self.alive, self.frozen = True, False
        self.backlog: list[Any] = []  # callbacks that became due while frozen
        self.handlers: dict[signal.Signals, Callable[[], None]] = {}
        self.sockets: dict[Descriptor, None] = {}
        self.extra_descriptors = 0  # of files
        self.peak_descriptors = BASE_DESCRIPTORS
        self.log = bytearray()
        self.log_bytes = 0
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_PROCESS.set, self)
        self._pending: list[signal.Signals] = []

    def now(self) -> float:
        """Seconds on the loop's clock."""
        return self._loop.time()

    # Resources

    def descriptors(self) -> int:
        return BASE_DESCRIPTORS + len(self.sockets) + self.extra_descriptors

    def opened(self, socket: Descriptor) -> None:
        self.sockets[socket] = None
        self.peak_descriptors = max(self.peak_descriptors, self.descriptors())

    def closed(self, socket: Descriptor) -> None:
        self.sockets.pop(socket, None)

    def buffered(self) -> int:
        """Bytes buffered for all sockets, by the process and by the system."""
        return sum(socket.unsent() + len(socket.inbox) for socket in self.sockets)

    def write_log(self, text: str) -> None:
        """Append to the log; only its last 64 to 128 KiB are kept."""
        data = text.encode()
        self.log_bytes += len(data)
        self.log += data
        if len(self.log) > 128 * 1024:
            del self.log[: -64 * 1024]

    # Signals and end

    def deliver(self, number: signal.Signals) -> None:
        """Deliver a signal with the semantics of the operating system."""
        if not self.alive:
            return
        if number is signal.SIGKILL:
            self.end(-number)
        elif number is signal.SIGSTOP:
            self.frozen = True
        elif number is signal.SIGCONT:
            self._continue()
        elif self.frozen:
            self._pending.append(number)
        elif number in self.handlers:
            self._loop.call_soon(self.handlers[number], context=self.context)
        else:
            self.end(-number)

    def _continue(self) -> None:
        if not self.frozen:
            return
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        self._loop.resume(backlog)
        pending, self._pending = self._pending, []
        for number in pending:
            self.deliver(number)

    def end(self, code: int) -> None:
        """End the process: close its descriptors and run none of its callbacks again."""
        if not self.alive:
            return
        self.alive, self.frozen = False, False
        self.backlog.clear()
        for socket in list(self.sockets):
            socket.close()
        self.sockets.clear()
        self._loop.call_soon(self._on_end, code, context=self._loop.outside)
