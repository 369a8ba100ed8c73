"""A listening address of a stand-in, one for each router, so that the network between the two can fail.

A door may be open, shut (connects are refused) or silent: what is written is not read, what is answered is
held, and connects hang, as with a machine that vanished or a hall that was cut off. A silence may be of one
way only, bytes of a way may be late, and causes add up: it is over when the last of them has ended.
Connections through an open door may come up late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from ironrail.rehearsal.standins.delay_line import Lane, Way, reset
from ironrail.rehearsal.standins.listener import Late, Listen, Listening, SocketListening


class DoorConnection(asyncio.Protocol):
    """One connection through a door. Subclasses read with `received` and write with `write`."""

    transport: asyncio.Transport

    def __init__(self, door: Door) -> None:
        self.door = door
        self._in, self._out = Lane(self._come), Lane(self._go)
        self.late = False  # what comes now was written during a silence, nobody knows when
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.connections[self] = None
        self.fall_silent()
        self.opened()

    def opened(self) -> None:
        """It has come up."""

    def received(self, data: bytes) -> None:
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        delay = self.door.delay(Way.IN)
        if delay or self._in.waiting or self._in.silent:  # loops begin to read whatever was paused before
            self._in.put(data, delay)
            return
        self.received(data)
        self.late = False

    def _come(self, data: bytes) -> None:
        self.late = True
        self.received(data)
        self.late = False

    def _go(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data) if data else self.transport.close()

    def write(self, data: bytes) -> None:
        """Send, or hold while there is silence."""
        self._out.put(data, self.door.delay(Way.OUT))

    def finish(self) -> None:
        """End it behind all that was written."""
        self._out.put(b"", 0.0)

    def fall_silent(self) -> None:
        self._in.silent, self._out.silent = self.door.silenced(Way.IN), self.door.silenced(Way.OUT)
        if self._in.silent and not self.transport.is_closing():
            self.transport.pause_reading()

    def speak_again(self) -> None:
        """As far as no other cause of silence lasts."""
        heard = self._in.silent and not self.door.silenced(Way.IN)
        self._in.silent, self._out.silent = self.door.silenced(Way.IN), self.door.silenced(Way.OUT)
        if self.transport.is_closing():
            return
        if heard:
            self.late = True
            self.transport.resume_reading()
            self._in.go_on()
        self._out.go_on()

    def reset(self) -> None:
        """End it as the end of a process does."""
        reset(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._in.stop()
        self._out.stop()
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
        self._silences: dict[object, tuple[Way, bool]] = {}  # by cause: of which way, whether connects hang
        self._delays: dict[object, tuple[Way, Callable[[], float]]] = {}  # seconds, drawn for each piece
        self._lates: dict[object, Late] = {}  # of connects, by cause; the latest holds
        self.connects_wait = False  # for as long as bytes there and back are late
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening: Listening | None = None
        self.port, self.address = 0, ""
        self.open()

    @property
    def silent(self) -> bool:
        return bool(self._silences)

    @property
    def _hangs(self) -> bool:
        return any(hang for _, hang in self._silences.values())

    def silenced(self, way: Way) -> bool:
        return any(way in silence for silence, _ in self._silences.values())

    def delay(self, way: Way) -> float:
        """Seconds that what goes this way now is late."""
        return sum(draw() for ways, draw in self._delays.values() if way in ways)

    def begin_delay(self, cause: object, way: Way, draw: Callable[[], float]) -> None:
        self._delays[cause] = way, draw
        self._tell_late()

    def end_delay(self, cause: object) -> None:
        self._delays.pop(cause, None)
        self._tell_late()

    def open(self) -> None:
        """Listen, at the same port as before."""
        if self._listening is not None:
            return
        self._listening = self._listen(self.port, self._accepted)
        self.port, self.address = self._listening.port, self._listening.address
        self._tell_late()
        if self._hangs:
            self._listening.hang()

    def shut(self) -> None:
        """Refuse connects from now on."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def begin_silence(self, cause: object, way: Way = Way.BOTH, hang: bool = True) -> None:
        """Let nothing through from now on; `hang`: connects neither, which else come up and stand still."""
        hung = self._hangs
        self._silences[cause] = way, hang
        if self._listening is not None and self._hangs and not hung:
            self._listening.hang()
        for connection in self.connections:
            connection.fall_silent()

    def end_silence(self, cause: object) -> None:
        """Let all through again, unless another cause of the silence lasts."""
        if cause not in self._silences:
            return
        hung = self._hangs
        del self._silences[cause]
        if self._listening is not None and hung and not self._hangs:
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
            late = next(reversed(self._lates.values()), None)
            if self.connects_wait and self._delays:
                self._listening.late(
                    lambda: (late() if late else 0.0) + self.delay(Way.IN) + self.delay(Way.OUT)
                )
            else:
                self._listening.late(late)

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
