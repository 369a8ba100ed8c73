"""Listening addresses of stand-ins, one for each router, on which network faults are injected.

An endpoint is open, closed (connects are refused) or silent: it doesn't read what is sent to it,
holds back what it answers, and connects hang, as with a machine that vanished or a zone that was
cut off. A silence may affect one direction only, and the bytes of a direction may be delayed. Causes
add up: a silence is over once the last of its causes has ended. Connects to an open endpoint may be
delayed too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from ironrail.rehearsal.standins.delay_line import DelayLine, Direction, reset
from ironrail.rehearsal.standins.listening_port import (
    ConnectDelay,
    ListeningPort,
    OpenPort,
    SocketListeningPort,
)


class FaultyConnection(asyncio.Protocol):
    """One connection to an endpoint. Subclasses implement `received` and send with `write`."""

    transport: asyncio.Transport

    def __init__(self, endpoint: FaultyEndpoint) -> None:
        self.endpoint = endpoint
        self._in, self._out = DelayLine(self._deliver_in), DelayLine(self._deliver_out)
        self.late = False  # what arrives now was sent during a silence, at an unknown time
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, and applies the silences of the endpoint."""
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.connections[self] = None
        self.begin_silence()
        self.opened()

    def opened(self) -> None:
        """Called once the connection is established."""

    def received(self, data: bytes) -> None:
        """Called with each piece of data that is delivered."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Delivers data at once, or puts it into the delay line."""
        delay = self.endpoint.delay(Direction.IN)
        # the silence is checked too: event loops resume reading whatever was paused before
        if delay or self._in.waiting or self._in.silent:
            self._in.put(data, delay)
            return
        self.received(data)
        self.late = False

    def _deliver_in(self, data: bytes) -> None:
        self.late = True
        self.received(data)
        self.late = False

    def _deliver_out(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data) if data else self.transport.close()

    def write(self, data: bytes) -> None:
        """Sends data, or holds it back during a silence."""
        self._out.put(data, self.endpoint.delay(Direction.OUT))

    def finish(self) -> None:
        """Closes the connection after everything that was written."""
        self._out.put(b"", 0.0)

    def begin_silence(self) -> None:
        """Applies the silences of the endpoint."""
        self._in.silent, self._out.silent = (
            self.endpoint.is_direction_silent(Direction.IN),
            self.endpoint.is_direction_silent(Direction.OUT),
        )
        if self._in.silent and not self.transport.is_closing():
            self.transport.pause_reading()

    def end_silence(self) -> None:
        """Resumes each direction for which no other cause of silence is left."""
        resumes_reading = self._in.silent and not self.endpoint.is_direction_silent(Direction.IN)
        self._in.silent, self._out.silent = (
            self.endpoint.is_direction_silent(Direction.IN),
            self.endpoint.is_direction_silent(Direction.OUT),
        )
        if self.transport.is_closing():
            return
        if resumes_reading:
            self.late = True
            self.transport.resume_reading()
            self._in.deliver_due()
        self._out.deliver_due()

    def reset(self) -> None:
        """Resets the connection, as the end of a process does."""
        reset(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops all deliveries, and removes the connection."""
        self.closed = True
        self._in.stop()
        self._out.stop()
        self.endpoint.connections.pop(self, None)
        self.lost()

    def lost(self) -> None:
        """Called once the connection has ended."""


class FaultyEndpoint:
    """The address at which one router reaches one stand-in."""

    def __init__(
        self,
        router: str,
        make: Callable[[FaultyEndpoint], FaultyConnection],
        listen: OpenPort = SocketListeningPort,
    ) -> None:
        self.router = router
        self._make, self._listen = make, listen
        self._loop = asyncio.get_running_loop()
        self.connections: dict[FaultyConnection, None] = {}  # in the order in which they were established
        # by cause: the direction, and whether connects hang
        self._silences: dict[object, tuple[Direction, bool]] = {}
        # by cause: the direction, and a draw of the seconds for each piece
        self._delays: dict[object, tuple[Direction, Callable[[], float]]] = {}
        self._connect_delays: dict[object, ConnectDelay] = {}  # by cause; the latest applies
        self.delays_connects = False  # connects take as long as the delays of both directions together
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening: ListeningPort | None = None
        self.port, self.address = 0, ""
        self.open()

    @property
    def is_silent(self) -> bool:
        """Whether any cause of silence lasts."""
        return bool(self._silences)

    @property
    def _connects_hang(self) -> bool:
        return any(hang for _, hang in self._silences.values())

    def is_direction_silent(self, direction: Direction) -> bool:
        """Whether nothing is delivered in this direction."""
        return any(direction in silence for silence, _ in self._silences.values())

    def delay(self, direction: Direction) -> float:
        """Draws the seconds by which data sent now in this direction is delayed."""
        return sum(draw() for directions, draw in self._delays.values() if direction in directions)

    def begin_delay(self, cause: object, direction: Direction, draw: Callable[[], float]) -> None:
        """Delays each piece of data in this direction by the seconds that are drawn."""
        self._delays[cause] = direction, draw
        self._update_connect_delay()

    def end_delay(self, cause: object) -> None:
        """Ends the delay of this cause."""
        self._delays.pop(cause, None)
        self._update_connect_delay()

    def open(self) -> None:
        """Listens, at the same port as before if there was one."""
        if self._listening is not None:
            return
        self._listening = self._listen(self.port, self._accepted)
        self.port, self.address = self._listening.port, self._listening.address
        self._update_connect_delay()
        if self._connects_hang:
            self._listening.hang()

    def close(self) -> None:
        """Refuses connects from now on; established connections stay."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def begin_silence(self, cause: object, direction: Direction = Direction.BOTH, hang: bool = True) -> None:
        """Delivers nothing in this direction from now on.

        Args:
            cause: What the silence is ended by.
            direction: The direction that is silent.
            hang: Whether connects hang; otherwise they succeed, and the connection stands still.
        """
        were_hanging = self._connects_hang
        self._silences[cause] = direction, hang
        if self._listening is not None and self._connects_hang and not were_hanging:
            self._listening.hang()
        for connection in self.connections:
            connection.begin_silence()

    def end_silence(self, cause: object) -> None:
        """Delivers everything again, unless another cause of the silence lasts."""
        if cause not in self._silences:
            return
        were_hanging = self._connects_hang
        del self._silences[cause]
        if self._listening is not None and were_hanging and not self._connects_hang:
            self._listening.resume()
        for connection in list(self.connections):
            connection.end_silence()

    def begin_connect_delay(self, cause: object, draw: ConnectDelay) -> None:
        """Delays each connect by the seconds that are drawn."""
        self._connect_delays[cause] = draw
        self._update_connect_delay()

    def end_connect_delay(self, cause: object) -> None:
        """Ends the connect delay of this cause."""
        if self._connect_delays.pop(cause, None) is not None:
            self._update_connect_delay()

    def _update_connect_delay(self) -> None:
        if self._listening is not None:
            latest = next(reversed(self._connect_delays.values()), None)
            if self.delays_connects and self._delays:
                self._listening.set_connect_delay(
                    lambda: (
                        (latest() if latest else 0.0) + self.delay(Direction.IN) + self.delay(Direction.OUT)
                    )
                )
            else:
                self._listening.set_connect_delay(latest)

    def reset_all(self) -> None:
        """Resets all connections, as the end of a process does."""
        for connection in list(self.connections):
            connection.reset()

    def _accepted(self, connection: Any, late: bool) -> None:
        task = self._loop.create_task(self._adopt(connection, late))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adopt(self, connection: Any, late: bool) -> None:
        def make() -> FaultyConnection:
            made = self._make(self)
            made.late = late
            return made

        try:
            await self._loop.connect_accepted_socket(make, connection)
        except OSError:
            connection.close()
