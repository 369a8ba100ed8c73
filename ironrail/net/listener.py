"""A listening socket whose connections are accepted a few at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from ironrail.connections.downstream.descriptor_budget import MAX_ACCEPTS_PER_TURN
from ironrail.net.system import Address, System

log = logging.getLogger(__name__)

LISTEN_BACKLOG_COUNT = 512

ACCEPT_RETRY_DELAY_SECONDS = 0.1
"""Without accepting while the system has no descriptor left."""


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
            address: To listen on; port 0 for any free one.
            on_accepted: Is called with each accepted socket, which is non-blocking.
            accepts_per_turn: Connections accepted in one turn of the event loop.
        """
        self._on_accepted = on_accepted
        self._accepts_per_turn = accepts_per_turn
        self._is_paused = False
        self._loop = asyncio.get_running_loop()
        self._socket = system.listen(address, LISTEN_BACKLOG_COUNT)
        self._loop.add_reader(self._socket, self._accept_some)
        host, port = self._socket.getsockname()[:2]
        self.address: Address = host, port

    def _accept_some(self) -> bool:
        """Accept up to the limit, and return whether there may be more."""
        for _ in range(self._accepts_per_turn):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return False
            except ConnectionError:  # aborted while it was queued; others may follow
                continue
            except OSError as error:
                self._pause(error)
                return False
            self._is_paused = False
            connection.setblocking(False)
            self._on_accepted(connection)
        return True

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a while, as the socket stays readable and would spin the loop."""
        if not self._is_paused:  # logged once in a shortage
            log.error("accept_paused", extra={"error": str(error)})
        self._is_paused = True
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_DELAY_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept_some)

    def close(self) -> None:
        """Accept what the system has queued, which a close would reset, and stop listening."""
        for _ in range(LISTEN_BACKLOG_COUNT // self._accepts_per_turn + 1):
            if not self._accept_some():
                break
        self._loop.remove_reader(self._socket)
        self._socket.close()
