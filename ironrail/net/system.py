"""The operating system's clocks and sockets, as far as the event loop does not provide them.

A simulation passes in its own implementation.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import gc
import select
import signal
import socket
import struct
import termios
import time
from collections.abc import Callable
from typing import Any, Protocol

from ironrail.net.local_errors import is_local_error
from ironrail.net.peek import PeekResult, peek
from ironrail.net.signals import SignalHandlers

Address = tuple[str, int]

HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

TCP_INFO_RTT = struct.Struct("=I")
"""`tcpi_rtt` of Linux's `struct tcp_info`: the smoothed round-trip time in microseconds."""

UNSENT_BYTES = struct.Struct("=i")
"""The result of Linux's TIOCOUTQ: bytes that the peer has not acknowledged."""

TCP_INFO_BYTES = 72
"""Size of `struct tcp_info` up to the end of `tcpi_rtt` (linux/tcp.h)."""

SECONDS_PER_MICROSECOND = 1e-6

LISTEN_RETRY_SECONDS = 5.0
LISTEN_RETRY_DELAY_SECONDS = 0.05


class System(Protocol):
    """The interface between the daemon and the operating system."""

    now: Callable[[], float]
    """Seconds on a monotonic clock."""

    wall: Callable[[], float]
    """Unix time in seconds."""

    def listen(self, address: Address, backlog: int) -> Any:
        """Open a non-blocking listening socket.

        Raises:
            OSError: The address can't be listened on.
        """

    def is_served(self, address: Address) -> bool:
        """Whether another process listens on an address already; True if that is unknown."""

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Return a function that checks whether data or an end of file can be read.

        It returns True if that is unknown.

        Raises:
            OSError: The socket can't be looked at.
        """

    def has_hung_up(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has closed its side, detected even while reading is paused.

        False if that is unknown.
        """

    def unsent_bytes(self, transport: asyncio.Transport) -> int:
        """Bytes that were written and that the peer's system has not received; 0 if unknown."""

    def round_trip(self, transport: asyncio.Transport) -> float | None:
        """Round-trip time in seconds as estimated by the system; None if it is unknown."""

    def on_signal(self, number: signal.Signals, callback: Callable[[], object]) -> None:
        """Call `callback` on the running event loop after each signal of this number."""

    def run_pending_signals(self) -> None:
        """Call the functions of signals that the event loop has missed."""

    def startup_complete(self) -> None:
        """Declare all objects that exist now permanent, as the router has started."""


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def _open_listener(address: Address, backlog: int) -> socket.socket:
    listener = socket.create_server(
        address, family=_family(address), backlog=backlog, reuse_port=True
    )
    listener.setblocking(False)
    return listener


class RealSystem:
    """The operating system of this machine."""

    now = staticmethod(time.monotonic)
    wall = staticmethod(time.time)

    def __init__(self) -> None:
        self._signal_handlers = SignalHandlers()

    def listen(self, address: Address, backlog: int) -> socket.socket:
        """Open a listening socket whose port a successor process can share."""
        give_up_at = time.monotonic() + LISTEN_RETRY_SECONDS
        while True:
            try:
                return _open_listener(address, backlog)
            except OSError as error:
                if not is_local_error(error) or time.monotonic() >= give_up_at:
                    raise
                time.sleep(LISTEN_RETRY_DELAY_SECONDS)  # no client is connected yet

    def is_served(self, address: Address) -> bool:
        """Whether another process listens on an address already."""
        try:
            with socket.socket(_family(address)) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE or is_local_error(error)
        return False

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Return a function that checks whether data or an end of file can be read."""
        descriptor: int = transport.get_extra_info("socket").fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)

        def has_unread() -> bool:
            try:
                return bool(poll.poll(0))
            except OSError:  # no memory for the call
                return peek(descriptor) is not PeekResult.NOTHING

        return has_unread

    def has_hung_up(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has closed its side."""
        descriptor: int = transport.get_extra_info("socket").fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        try:
            return any(events & HANGUP_EVENTS for _, events in poll.poll(0))
        except OSError:  # no memory for the call
            return peek(descriptor) is PeekResult.END

    def unsent_bytes(self, transport: asyncio.Transport) -> int:
        """Bytes that were written and that the peer's system has not received; 0 if unknown."""
        buffered = transport.get_write_buffer_size()
        try:
            descriptor = transport.get_extra_info("socket").fileno()
            queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(UNSENT_BYTES.size))
        except OSError:
            return buffered
        (unacknowledged,) = UNSENT_BYTES.unpack(queued)
        return buffered + int(unacknowledged)

    def round_trip(self, transport: asyncio.Transport) -> float | None:
        """Round-trip time in seconds as estimated by the kernel; None if it is unknown."""
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:  # the connection has ended
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        (microseconds,) = TCP_INFO_RTT.unpack_from(info, TCP_INFO_BYTES - TCP_INFO_RTT.size)
        return microseconds * SECONDS_PER_MICROSECOND or None

    def on_signal(self, number: signal.Signals, callback: Callable[[], object]) -> None:
        """Call `callback` on the running event loop after each signal of this number."""
        self._signal_handlers.add(number, callback)

    def run_pending_signals(self) -> None:
        """Call the functions of signals that the event loop has missed."""
        self._signal_handlers.run_pending()

    def startup_complete(self) -> None:
        """Exclude the permanent objects from garbage collection."""
        gc.freeze()


REAL = RealSystem()
