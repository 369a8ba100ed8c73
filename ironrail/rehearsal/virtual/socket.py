"""Simulated sockets: the kernel's side of one end of a TCP connection, and listening sockets.

Bytes arrive in order, in pieces chosen by the network, after its latency and at its bandwidth. A window
bounds the bytes in transit plus those unread, so a reader that stops reading blocks the writer.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any, Protocol

from ironrail.rehearsal.virtual.interfaces import ProcessInterface

MAX_READ_BYTES = 256 * 1024  # per read, as in uvloop


def no_callback() -> None:
    """The callback of a socket that has none set."""


class SocketNetwork(Protocol):
    """The network, as used by sockets."""

    window: int  # bytes in transit plus unread

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the simulation."""

    def context_now(self) -> contextvars.Context:
        """The context for callbacks registered now."""

    def carry(self, sender: VirtualSocket, data: bytes) -> None:
        """Deliver bytes to the peer."""

    def carry_end(self, sender: VirtualSocket) -> None:
        """Deliver the end of the stream to the peer."""

    def carry_reset(self, sender: VirtualSocket) -> None:
        """Deliver a reset to the peer."""

    def reset_destroys(self) -> bool:
        """Whether a reset discards unread bytes."""

    def unlisten(self, listener: Listener) -> None:
        """Unregister a closed listener."""


class VirtualSocket:
    """One end of a connection."""

    def __init__(
        self,
        network: SocketNetwork,
        process: ProcessInterface | None,
        name: str,
        local_address: Any,
        remote_address: Any,
    ) -> None:
        self.network, self.process, self.name = network, process, name
        self.local_address, self.remote_address = local_address, remote_address  # addresses
        self.peer: VirtualSocket | None = None
        self.inbox = bytearray()
        self.in_transit_bytes = 0  # sent and not yet delivered
        self.ended = False  # the peer has shut down its sending side
        self.error: OSError | None = None
        self.open = True
        self.shut = False  # own sending side is shut down
        self.last_arrival = 0.0  # arrival time of the latest bytes sent, which keeps them in order
        self.readable: Callable[[], None] = no_callback
        self.writable: Callable[[], None] = no_callback
        self._abrupt = False
        self.buffered_bytes = 0  # in the transport's write buffer
        if process is not None:
            process.opened(self)

    def fileno(self) -> int:
        return -1

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def setsockopt(self, *what: Any) -> None:
        """Close with a reset: SO_LINGER is the only option that callers set."""
        self._abrupt = True

    def getsockname(self) -> Any:
        return self.local_address

    def unsent(self) -> int:
        """Bytes in transit or still buffered by the transport."""
        return self.in_transit_bytes + self.buffered_bytes

    # Sending

    def send_capacity(self) -> int:
        """The number of bytes that the window allows to send now."""
        if self.peer is None:
            return self.network.window
        return max(0, self.network.window - self.in_transit_bytes - len(self.peer.inbox))

    def send(self, data: bytes) -> int:
        """Send as many bytes as the window allows and return their number."""
        if self.error is not None or not self.open:
            raise BrokenPipeError("send on a closed connection")
        piece = data[: self.send_capacity()]
        if piece:
            self.in_transit_bytes += len(piece)
            self.network.carry(self, bytes(piece))
        return len(piece)

    def shutdown(self) -> None:
        """Shut down the sending side."""
        if not self.shut and self.open:
            self.shut = True
            self.network.carry_end(self)

    def close(self) -> None:
        """Close; sends a reset if unread bytes remain or an abortive close was requested."""
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
        self.readable = self.writable = no_callback

    def abort(self) -> None:
        """Close with a reset."""
        self._abrupt = True
        self.close()

    # Receiving

    def arrive(self, data: bytes) -> None:
        if self.error is not None:
            return
        if not self.open:
            self.network.carry_reset(self)  # closed on this side
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
        """Whether a read returns at once: bytes, the end of the stream or an error."""
        return bool(self.inbox) or self.ended or self.error is not None

    def hung_up(self) -> bool:
        """Whether the peer has ended the stream, even if unread bytes remain."""
        return self.ended or self.error is not None

    def recv(self) -> bytes:
        """Take received bytes, which opens the window for the peer."""
        data = bytes(self.inbox[:MAX_READ_BYTES])
        del self.inbox[: len(data)]
        if self.peer is not None and data:
            self.peer.writable()
        return data


class Listener:
    """A listening socket; connections are established without accept, up to its backlog."""

    def __init__(
        self, network: SocketNetwork, process: ProcessInterface | None, address: Any, backlog: int
    ) -> None:
        self.network, self.process, self.address = network, process, address
        self.backlog = backlog
        self.queue: list[VirtualSocket] = []
        self.inbox = b""  # a listener never has bytes to read
        self.hangs = False  # SYNs are not answered
        self.late: Callable[[], float] | None = (
            None  # draws the extra seconds until a connection is established
        )
        self.open = True
        self._watcher: Callable[[], None] | None = None
        self._is_notification_scheduled = False

    def getsockname(self) -> Any:
        return self.address

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def unsent(self) -> int:
        return 0

    def fileno(self) -> int:
        return 0 if self.open else -1

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback`, in the caller's context, while connections wait to be accepted."""
        self._context = self.network.context_now()
        self._watcher = callback
        self.notify()

    def unwatch(self) -> bool:
        was, self._watcher = self._watcher is not None, None
        return was

    def notify(self) -> None:
        if self._watcher is not None and self.queue and not self._is_notification_scheduled:
            self._is_notification_scheduled = True
            self.network.loop.call_soon(self._notify_watcher, context=self._context)

    def _notify_watcher(self) -> None:
        self._is_notification_scheduled = False
        if self._watcher is not None and self.queue:
            self._watcher()
            self.notify()

    def accept(self) -> tuple[VirtualSocket, Any]:
        """Accept the connection that has waited longest; raises BlockingIOError if there is none."""
        if not self.queue:
            raise BlockingIOError("nothing to accept")
        socket = self.queue.pop(0)
        socket.process = self.process
        if self.process is not None:
            self.process.opened(socket)
        return socket, socket.remote_address

    def close(self) -> None:
        """Stop listening and reset connections that wait to be accepted."""
        if not self.open:
            return
        self.open = False
        self._watcher = None
        self.network.unlisten(self)
        for socket in self.queue:
            socket.abort()
        self.queue.clear()
