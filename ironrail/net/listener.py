"""A listening socket whose connections are accepted a few at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from ironrail.connections.downstream.descriptor_budget import MAX_ACCEPTS_PER_TURN
from ironrail.net.containment import run_contained
from ironrail.net.local_errors import is_local_error
from ironrail.net.system import Address, System

log = logging.getLogger(__name__)

MAX_LISTEN_BACKLOG = 512

ACCEPT_RETRY_DELAY_SECONDS = 0.02
"""Pause after an accept that failed, such as when no file descriptors are left."""

SETUP_RETRY_DELAY_SECONDS = 0.02
SETUP_TIMEOUT_SECONDS = 3.0


class Acceptor:
    """Accepts connections at one address and hands them to a callback."""

    def __init__(
        self,
        system: System,
        address: Address,
        on_accepted: Callable[[socket.socket], None],
        accepts_per_turn: int = MAX_ACCEPTS_PER_TURN,
    ) -> None:
        """Listen and accept from now on.

        Args:
            system: Opens the listening socket.
            address: Address to listen on; port 0 selects any free port.
            on_accepted: Called with each accepted socket.
            accepts_per_turn: Limit on the accepts in one iteration of the event loop.
        """
        self._on_accepted = on_accepted
        self._accepts_per_turn = accepts_per_turn
        self._is_paused = False
        self.waiting_since: float | None = None
        """Since when connections may have waited, on the loop's clock, if accepting has failed."""
        self._is_closing = False
        self._closed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._socket = system.listen(address, MAX_LISTEN_BACKLOG)
        self._loop.add_reader(self._socket, self._accept_some)
        host, port = self._socket.getsockname()[:2]
        self.address: Address = host, port

    def _accept_some(self) -> bool:
        """Accept up to the limit, and return whether there may be more."""
        for _ in range(self._accepts_per_turn):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                self._backlog_emptied()
                return False
            except ConnectionError:  # aborted while in the backlog; others may follow
                continue
            except OSError as error:
                self._pause(error)
                return False
            self._is_paused = False
            run_contained("handle an accepted connection", self._on_accepted, connection)
        if self.waiting_since is not None and not self._is_closing:
            # Even if no other connection follows: the next one has not waited.
            self._loop.call_soon(self._accept_rest)
        return True

    def _accept_rest(self) -> None:
        if not self._is_paused and not self._is_closing:
            self._accept_some()

    def _pause(self, error: OSError) -> None:
        """Pause accepting: the socket stays readable, which would make the event loop spin."""
        if self.waiting_since is None:  # logged once per shortage
            log.error("accept_paused", extra={"error": str(error)})
            self.waiting_since = self._loop.time()
        self._is_paused = True
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_DELAY_SECONDS, self._resume)

    def _backlog_emptied(self) -> None:
        if self.waiting_since is not None:
            seconds = round(self._loop.time() - self.waiting_since, 3)
            log.info("accept_resumed", extra={"seconds": seconds})
            self.waiting_since = None

    def _resume(self) -> None:
        self._is_paused = False
        if self._is_closing:
            self._close_when_drained()
        else:
            self._loop.add_reader(self._socket, self._accept_some)

    def close(self) -> None:
        """Accept the connections in the backlog, which a close would reset, and stop listening.

        While accepting fails, the socket stays open and is tried again.
        """
        self._is_closing = True
        if not self._is_paused:
            self._close_when_drained()

    def _close_when_drained(self) -> None:
        for _ in range(MAX_LISTEN_BACKLOG // self._accepts_per_turn + 1):
            if not self._accept_some():
                break
        if self._is_paused:
            return  # `_resume` follows
        self._loop.remove_reader(self._socket)
        with contextlib.suppress(OSError):
            self._socket.close()
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the backlog is empty and the socket is closed, after `close`."""
        await self._closed.wait()


async def set_up_accepted(
    accepted: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
) -> None:
    """Give an accepted socket its protocol; tried again while this machine lacks memory for it.

    Raises:
        OSError: The peer has closed the connection, or it could not be set up in time.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + SETUP_TIMEOUT_SECONDS
    while True:
        try:
            accepted.setblocking(False)
            await loop.connect_accepted_socket(make_protocol, accepted)
        except OSError as error:
            if not is_local_error(error) or loop.time() >= give_up_at:
                raise
            await asyncio.sleep(SETUP_RETRY_DELAY_SECONDS)
        else:
            return
