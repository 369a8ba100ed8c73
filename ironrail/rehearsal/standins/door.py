"""A listening address of a stand-in, one for each router, so that the network between the two can fail.

A door may be open, shut (connects are refused) or silent: what is written is not read, what is answered is
held, and connects hang, as with a machine that vanished or a hall that was cut off. Silences add up: it ends
when the last of their causes has. Connections through an open door may come up late.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any, cast

from ironrail.rehearsal.standins.listening import Late, Listen, Listening, SocketListening


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
        self.door.connections[self] = None
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
        self.door.connections.pop(self, None)
        self.lost()

    def lost(self) -> None:
        """It has ended."""


class Door:
    """Where one router reaches one stand-in."""

    def __init__(
        self, router: str, make: Callable[[Door], DoorConnection], listen: Listen = SocketListening
    ) -> None:
        self.router = router
        self._make, self._listen = make, listen
        self._loop = asyncio.get_running_loop()
        self.connections: dict[DoorConnection, None] = {}  # in the order in which they came up
        self._silences: set[object] = set()
        self._lates: dict[object, Late] = {}  # by cause; the latest holds
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening: Listening | None = None
        self.port, self.address = 0, ""
        self.open()

    @property
    def silent(self) -> bool:
        return bool(self._silences)

    def open(self) -> None:
        """Listen, at the same port as before."""
        if self._listening is not None:
            return
        self._listening = self._listen(self.port, self._accepted)
        self.port, self.address = self._listening.port, self._listening.address
        self._tell_late()
        if self.silent:
            self._listening.hang()

    def shut(self) -> None:
        """Refuse connects from now on."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def begin_silence(self, cause: object) -> None:
        """Let nothing through from now on."""
        was = self.silent
        self._silences.add(cause)
        if was:
            return
        if self._listening is not None:
            self._listening.hang()
        for connection in self.connections:
            connection.fall_silent()

    def end_silence(self, cause: object) -> None:
        """Let all through again, unless another cause of the silence lasts."""
        if cause not in self._silences:
            return
        self._silences.discard(cause)
        if self.silent:
            return
        if self._listening is not None:
            self._listening.answer()
        for connection in list(self.connections):
            connection.speak_again()

    def begin_late(self, cause: object, draw: Late) -> None:
        """Connections come up late from now on, each by as many seconds as are drawn."""
        self._lates[cause] = draw
        self._tell_late()

    def end_late(self, cause: object) -> None:
        if self._lates.pop(cause, None) is not None:
            self._tell_late()

    def _tell_late(self) -> None:
        if self._listening is not None:
            self._listening.late(next(reversed(self._lates.values()), None))

    def reset_all(self) -> None:
        """End all connections, as the end of a process does."""
        for connection in list(self.connections):
            connection.reset()

    def _accepted(self, connection: Any, late: bool) -> None:
        task = self._loop.create_task(self._adopt(connection, late))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adopt(self, connection: Any, late: bool) -> None:
        def make() -> DoorConnection:
            made = self._make(self)
            made.late = late
            return made

        try:
            await self._loop.connect_accepted_socket(make, connection)
        except OSError:
            connection.close()
