"""Where a stand-in listens, on real sockets: connects come up, are refused, or hang."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

LOCAL = "127.0.0.1"
BACKLOG = 512
FILLERS = 3  # connects that fill a backlog of 0: the system then drops the packets of any further one

Accepted = Callable[[Any, bool], None]  # a socket, and whether it came up while connects were to hang


class Listening(Protocol):
    """A port that is listened on."""

    port: int  # in virtual time a number, which may be larger than ports are
    address: str  # as `host:port`

    def hang(self) -> None:
        """Connects neither come up nor fail from now on."""

    def answer(self) -> None:
        """They come up again."""

    def close(self) -> None:
        """They are refused from now on."""


Listen = Callable[[int, Accepted], Listening]  # at a port, or at any for 0


class SocketListening:
    """On the machine's own loopback."""

    def __init__(self, port: int, accepted: Accepted) -> None:
        self._loop = asyncio.get_running_loop()
        self._accepted = accepted
        self._socket = socket.create_server((LOCAL, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._open = True
        self.port: int = self._socket.getsockname()[1]
        self.address = f"{LOCAL}:{self.port}"
        self._fillers: list[socket.socket] = []
        self._loop.add_reader(self._socket, self._accept)

    def hang(self) -> None:
        """Guards against connects that come up during a silence, as the system accepts them by itself."""
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOCAL, self.port))
            self._fillers.append(filler)

    def answer(self) -> None:
        self._empty()
        self._socket.listen(BACKLOG)
        self._accept(late=True)  # what the system took meanwhile, in a place that no filler had
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        self._loop.remove_reader(self._socket)
        self._open = False
        self._empty()
        self._socket.close()

    def _empty(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def _accept(self, late: bool = False) -> None:
        while self._open:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setblocking(False)
            self._accepted(connection, late)
