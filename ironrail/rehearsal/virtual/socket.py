"""The system's side of one end of a TCP connection: what was sent, what has come, how it ends.

Bytes arrive in the order they were sent, in pieces that the network draws, after its latency and at its
bandwidth. A window bounds what is under way and unread together, so that a reader who stops stops the writer.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any, Protocol

from ironrail.rehearsal.virtual.interfaces import Owner

MOST_READ = 256 * 1024  # bytes that one read takes, as uvloop's do


def nothing() -> None:
    """Nobody wants to know."""


class Carrier(Protocol):
    """A network, to the ends of its connections."""

    window: int  # bytes under way and unread together

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """That all runs on."""

    def context_now(self) -> contextvars.Context:
        """The context that callbacks asked for now are to run in."""

    def carry(self, sender: VirtualSocket, data: bytes) -> None:
        """Bytes are under way."""

    def carry_end(self, sender: VirtualSocket) -> None:
        """It sends no more."""

    def carry_reset(self, sender: VirtualSocket) -> None:
        """It ends with a reset."""

    def reset_destroys(self) -> bool:
        """Whether what was not read is gone with a reset."""

    def unlisten(self, listener: Listener) -> None:
        """Nobody listens there any more."""


class VirtualSocket:
    """One end."""

    def __init__(self, network: Carrier, process: Owner | None, name: str, own: Any, other: Any) -> None:
        self.network, self.process, self.name = network, process, name
        self.own, self.other = own, other  # addresses
        self.peer: VirtualSocket | None = None
        self.inbox = bytearray()
        self.under_way = 0  # bytes sent and not yet come
        self.ended = False  # the other end sends no more
        self.error: OSError | None = None
        self.open = True
        self.shut = False  # it sends no more itself
        self.last_arrival = 0.0  # of what it sent: nothing overtakes
        self.readable: Callable[[], None] = nothing
        self.writable: Callable[[], None] = nothing
        self._abrupt = False
        self.held = 0  # bytes that its user still wants to send
        if process is not None:
            process.opened(self)

    def fileno(self) -> int:
        return -1

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def setsockopt(self, *what: Any) -> None:
        """The one option that anybody sets: to end with a reset."""
        self._abrupt = True

    def getsockname(self) -> Any:
        return self.own

    def unsent(self) -> int:
        """Bytes under way, or held by its user."""
        return self.under_way + self.held

    # Sending

    def room(self) -> int:
        """Bytes that it may send now."""
        if self.peer is None:
            return self.network.window
        return max(0, self.network.window - self.under_way - len(self.peer.inbox))

    def send(self, data: bytes) -> int:
        """Send what there is room for; answers with how much that is."""
        if self.error is not None or not self.open:
            raise BrokenPipeError("sent on a connection that has ended")
        piece = data[: self.room()]
        if piece:
            self.under_way += len(piece)
            self.network.carry(self, bytes(piece))
        return len(piece)

    def shutdown(self) -> None:
        """Say that no more will come."""
        if not self.shut and self.open:
            self.shut = True
            self.network.carry_end(self)

    def close(self) -> None:
        """Give it up: a reset where something has come that nobody read, or was asked for so."""
        if not self.open:
            return
        self.open = False
        if self.process is not None:
            self.process.closed(self)
        if self.error is None:
            if self.inbox or self._abrupt:
                self.network.carry_reset(self)
            elif not self.shut:
                self.shut = True
                self.network.carry_end(self)
        self.inbox.clear()
        self.readable = self.writable = nothing

    def abort(self) -> None:
        """End it with a reset."""
        self._abrupt = True
        self.close()

    # What arrives

    def arrive(self, data: bytes) -> None:
        if self.error is not None:
            return
        if not self.open:
            self.network.carry_reset(self)  # nobody is there any more
            return
        self.inbox += data
        self.readable()

    def arrive_end(self) -> None:
        self.ended = True
        self.readable()

    def arrive_reset(self) -> None:
        if self.error is None:
            self.error = ConnectionResetError(104, "Connection reset by peer")
            if self.network.reset_destroys():
                self.inbox.clear()
            self.readable()
            self.writable()

    def waiting(self) -> bool:
        """Whether there is something to read, the end among it."""
        return bool(self.inbox) or self.ended or self.error is not None

    def hung_up(self) -> bool:
        """Whether the other end sends no more, unread bytes before that or not."""
        return self.ended or self.error is not None

    def recv(self) -> bytes:
        """What has come; the other end may send more then."""
        data = bytes(self.inbox[:MOST_READ])
        del self.inbox[: len(data)]
        if self.peer is not None and data:
            self.peer.writable()
        return data


class Listener:
    """A listening socket: connections come up by themselves, as far as its queue goes."""

    def __init__(self, network: Carrier, process: Owner | None, address: Any, backlog: int) -> None:
        self.network, self.process, self.address = network, process, address
        self.backlog = backlog
        self.queue: list[VirtualSocket] = []
        self.inbox = b""  # it has nothing to read
        self.hangs = False  # connects are not answered
        self.late: Callable[[], float] | None = None  # draws by how many seconds one comes up late
        self.open = True
        self._watcher: Callable[[], None] | None = None
        self._told = False

    def getsockname(self) -> Any:
        return self.address

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def unsent(self) -> int:
        return 0

    def fileno(self) -> int:
        return 0 if self.open else -1

    def watch(self, callback: Callable[[], None]) -> None:
        """Tell, in the context of who asks, while there is something to accept."""
        self._context = self.network.context_now()
        self._watcher = callback
        self.notify()

    def unwatch(self) -> bool:
        was, self._watcher = self._watcher is not None, None
        return was

    def notify(self) -> None:
        if self._watcher is not None and self.queue and not self._told:
            self._told = True
            self.network.loop.call_soon(self._tell, context=self._context)

    def _tell(self) -> None:
        self._told = False
        if self._watcher is not None and self.queue:
            self._watcher()
            self.notify()

    def accept(self) -> tuple[VirtualSocket, Any]:
        """The connection that waits longest; BlockingIOError if there is none."""
        if not self.queue:
            raise BlockingIOError("nothing to accept")
        socket = self.queue.pop(0)
        socket.process = self.process
        if self.process is not None:
            self.process.opened(socket)
        return socket, socket.other

    def close(self) -> None:
        """Refuse connects from now on; what waits to be accepted is reset."""
        if not self.open:
            return
        self.open = False
        self._watcher = None
        self.network.unlisten(self)
        for socket in self.queue:
            socket.abort()
        self.queue.clear()
