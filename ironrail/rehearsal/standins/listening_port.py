"""Listening ports of stand-ins on real sockets: connects succeed, are refused, or hang."""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
from collections.abc import Callable
from typing import Any, Protocol

LOOPBACK_HOST = "127.0.0.1"
BACKLOG = 512
# Below the system's ephemeral ports: the system would assign the port of a stand-in that is down to
# another socket.
STAND_IN_PORTS = range(20_000, 32_768)
# Connects that fill a backlog of 0; the system then drops the SYN of any further connect.
NUM_BACKLOG_FILLERS = 3

ConnectDelay = Callable[[], float]  # draws the seconds by which a connect is delayed
# Called with a socket, and whether it was accepted while connects were meant to hang.
AcceptCallback = Callable[[Any, bool], None]


class ListeningPort(Protocol):
    """A port on which a stand-in listens."""

    port: int  # in virtual time it may exceed 65535
    address: str  # `host:port`

    def hang(self) -> None:
        """From now on connects neither succeed nor fail."""

    def resume(self) -> None:
        """Connects succeed again."""

    def set_connect_delay(self, draw: ConnectDelay | None) -> None:
        """Delays connects from now on; None ends the delay."""

    def close(self) -> None:
        """Connects are refused from now on."""


OpenPort = Callable[[int, AcceptCallback], ListeningPort]  # listens at a port; 0 picks a free one


_next_ports = itertools.cycle(STAND_IN_PORTS)


def _bind(host: str, port: int) -> socket.socket:
    """Listens at a port; 0 picks one that no stand-in of this process has used recently.

    Raises:
        OSError: The port is in use, or no port is left.
    """
    if port or host == LOOPBACK_HOST:  # all processes share that address: the system assigns its ports
        return socket.create_server((host, port), backlog=BACKLOG)
    for own in itertools.islice(_next_ports, len(STAND_IN_PORTS)):
        try:
            return socket.create_server((host, own), backlog=BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"all ports of {host} are in use")


class SocketListeningPort:
    """A listening port on the machine's loopback interface.

    The kernel completes connects by itself, so a single one can't be delayed. To delay connects the
    port alternates between hanging and accepting, each phase for a drawn time. The kernel retries a
    connect that met a hanging port 1 s later.
    """

    def __init__(self, port: int, accepted: AcceptCallback, host: str = LOOPBACK_HOST) -> None:
        self._loop = asyncio.get_running_loop()
        self._accepted = accepted
        self._host = host
        self._socket = _bind(host, port)
        self._socket.setblocking(False)
        self._open = True
        self.port: int = self._socket.getsockname()[1]
        self.address = f"{host}:{self.port}"
        self._fillers: list[socket.socket] = []
        # the two reasons to hang: `hang` was called, or a phase of the connect delay
        self._silent = self._paused = False
        self._phase_timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(self._socket, self._accept)

    def hang(self) -> None:
        """From now on connects neither succeed nor fail."""
        self._set(silent=True, paused=self._paused)

    def resume(self) -> None:
        """Connects succeed again, unless a connect delay has paused them."""
        self._set(silent=False, paused=self._paused)

    def set_connect_delay(self, draw: ConnectDelay | None) -> None:
        """Alternates between hanging and accepting from now on; None ends it."""
        if self._phase_timer is not None:
            self._phase_timer.cancel()
            self._phase_timer = None
        if draw is None:
            self._set(silent=self._silent, paused=False)
        else:
            self._switch_phase(draw)

    def _switch_phase(self, draw: ConnectDelay) -> None:
        self._set(silent=self._silent, paused=not self._paused)
        self._phase_timer = self._loop.call_later(draw(), self._switch_phase, draw)

    def _set(self, *, silent: bool, paused: bool) -> None:
        was_hanging = self._silent or self._paused
        self._silent, self._paused = silent, paused
        if (silent or paused) is was_hanging or not self._open:
            return
        if was_hanging:
            self._start_accepting()
        else:
            self._stop_accepting()

    def _stop_accepting(self) -> None:
        """Fills a backlog of 0; otherwise the kernel would complete connects by itself."""
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(NUM_BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))
            self._fillers.append(filler)

    def _start_accepting(self) -> None:
        self._close_fillers()
        self._socket.listen(BACKLOG)
        # connects that the kernel completed meanwhile, in backlog slots that no filler took
        self._accept(late=True)
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Refuses connects from now on."""
        if self._phase_timer is not None:
            self._phase_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._open = False
        self._close_fillers()
        self._socket.close()

    def _close_fillers(self) -> None:
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
