"""Where a stand-in listens, on real sockets: connects come up, are refused, or hang."""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
from collections.abc import Callable
from typing import Any, Protocol

LOCAL = "127.0.0.1"
BACKLOG = 512
# below the ports that the system deals out itself: it would deal out those of stand-ins that are down anew
OWN_PORTS = range(20_000, 32_768)
FILLERS = 3  # connects that fill a backlog of 0: the system then drops the packets of any further one

Late = Callable[[], float]  # draws by how many seconds a connection comes up late
Accepted = Callable[[Any, bool], None]  # a socket, and whether it came up while connects were to hang


class Listening(Protocol):
    """A port that is listened on."""

    port: int  # in virtual time a number, which may be larger than ports are
    address: str  # as `host:port`

    def hang(self) -> None:
        """Connects neither come up nor fail from now on."""

    def answer(self) -> None:
        """They come up again."""

    def late(self, draw: Late | None) -> None:
        """They come up late from now on, or in time again."""

    def close(self) -> None:
        """They are refused from now on."""


Listen = Callable[[int, Accepted], Listening]  # at a port, or at any for 0


_next_ports = itertools.cycle(OWN_PORTS)


def _bind(host: str, port: int) -> socket.socket:
    """Listen at a port, or for 0 at one that no stand-in of this process has had lately.

    Raises:
        OSError: The port is in use, or there is none left.
    """
    if port or host == LOCAL:  # that address is every process's: there the system deals out ports
        return socket.create_server((host, port), backlog=BACKLOG)
    for own in itertools.islice(_next_ports, len(OWN_PORTS)):
        try:
            return socket.create_server((host, own), backlog=BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"all ports of {host} are in use")


class SocketListening:
    """On the machine's own loopback.

    The system answers a connect by itself, so here one can't come up late alone: where they are to be late
    the port hangs and answers in turn, each for a time that is drawn. A connect that meets it hanging is
    tried again by the system 1 s later.
    """

    def __init__(self, port: int, accepted: Accepted, host: str = LOCAL) -> None:
        self._loop = asyncio.get_running_loop()
        self._accepted = accepted
        self._host = host
        self._socket = _bind(host, port)
        self._socket.setblocking(False)
        self._open = True
        self.port: int = self._socket.getsockname()[1]
        self.address = f"{host}:{self.port}"
        self._fillers: list[socket.socket] = []
        self._silent = self._paused = False  # it hangs because it was told to, or as connects are to be late
        self._turn: asyncio.TimerHandle | None = None
        self._loop.add_reader(self._socket, self._accept)

    def hang(self) -> None:
        self._set(silent=True, paused=self._paused)

    def answer(self) -> None:
        self._set(silent=False, paused=self._paused)

    def late(self, draw: Late | None) -> None:
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        if draw is None:
            self._set(silent=self._silent, paused=False)
        else:
            self._take_turn(draw)

    def _take_turn(self, draw: Late) -> None:
        self._set(silent=self._silent, paused=not self._paused)
        self._turn = self._loop.call_later(draw(), self._take_turn, draw)

    def _set(self, *, silent: bool, paused: bool) -> None:
        hung = self._silent or self._paused
        self._silent, self._paused = silent, paused
        if (silent or paused) is hung or not self._open:
            return
        if hung:
            self._go_on()
        else:
            self._stop()

    def _stop(self) -> None:
        """Guards against connects that come up meanwhile, as the system accepts them by itself."""
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))
            self._fillers.append(filler)

    def _go_on(self) -> None:
        self._empty()
        self._socket.listen(BACKLOG)
        self._accept(late=True)  # what the system took meanwhile, in a place that no filler had
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
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
