"""A listening address of a stand-in, one for each router, so that the network between the two can fail.

A door may be open, shut (connects are refused) or silent: what is written is not read, what is answered is
held, and connects hang, as with a machine that vanished or a hall that was cut off. Silences add up: it ends
when the last of their causes has.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

LOCAL = "127.0.0.1"
BACKLOG = 512
FILLERS = 3  # connects that fill a backlog of 0: the system then drops the packets of any further one


class DoorConnection(asyncio.Protocol):
    """One connection through a door. Subclasses read with `received` and write with `write`."""

    transport: asyncio.Transport

    def __init__(self, door: Door) -> None:
        self.door = door
        self._held: list[bytes] = []
        self.late = False  # what comes now was written during a silence, nobody knows when
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.connections.add(self)
        if self.door.silent:
            self.transport.pause_reading()
        self.opened()

    def opened(self) -> None:
        """It has come up."""

    def received(self, data: bytes) -> None:
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        self.received(data)
        self.late = False

    def write(self, data: bytes) -> None:
        """Send, or hold while there is silence."""
        if self.door.silent:
            self._held.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def fall_silent(self) -> None:
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def speak_again(self) -> None:
        if self.transport.is_closing():
            return
        self.late = True
        self.transport.resume_reading()
        held, self._held = self._held, []
        for data in held:
            self.transport.write(data)

    def reset(self) -> None:
        """End it as the end of a process does."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.door.connections.discard(self)
        self.lost()

    def lost(self) -> None:
        """It has ended."""


class Door:
    """Where one router reaches one stand-in."""

    def __init__(self, router: str, make: Callable[[Door], DoorConnection]) -> None:
        self.router = router
        self._make = make
        self._loop = asyncio.get_running_loop()
        self.connections: set[DoorConnection] = set()
        self._silences: set[object] = set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self.port = 0
        self.open()

    @property
    def silent(self) -> bool:
        return bool(self._silences)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port}"

    def open(self) -> None:
        """Listen, at the same port as before."""
        if self._socket is not None:
            return
        self._socket = socket.create_server((LOCAL, self.port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        if self.silent:
            self._fill()
        else:
            self._loop.add_reader(self._socket, self._accept)

    def shut(self) -> None:
        """Refuse connects from now on."""
        if self._socket is None:
            return
        self._loop.remove_reader(self._socket)
        self._empty()
        self._socket.close()
        self._socket = None

    def begin_silence(self, cause: object) -> None:
        """Let nothing through from now on."""
        was = self.silent
        self._silences.add(cause)
        if was:
            return
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._fill()
        for connection in self.connections:
            connection.fall_silent()

    def end_silence(self, cause: object) -> None:
        """Let all through again, unless another cause of the silence lasts."""
        if cause not in self._silences:
            return
        self._silences.discard(cause)
        if self.silent:
            return
        if self._socket is not None:
            self._empty()
            self._socket.listen(BACKLOG)
            self._accept(late=True)  # what the system took meanwhile, in a place that no filler had
            self._loop.add_reader(self._socket, self._accept)
        for connection in list(self.connections):
            connection.speak_again()

    def reset_all(self) -> None:
        """End all connections, as the end of a process does."""
        for connection in list(self.connections):
            connection.reset()

    def _fill(self) -> None:
        """Guards against connects that come up during a silence, as the system accepts them by itself."""
        assert self._socket is not None
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOCAL, self.port))
            self._fillers.append(filler)

    def _empty(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def _accept(self, late: bool = False) -> None:
        while self._socket is not None:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._adopt(connection, late))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _adopt(self, connection: socket.socket, late: bool) -> None:
        def make() -> DoorConnection:
            made = self._make(self)
            made.late = late
            return made

        try:
            await self._loop.connect_accepted_socket(make, connection)
        except OSError:
            connection.close()
