"""Where clients reach a router: a door before it, so that the way between the two can fail.

While nobody listens behind it the door is shut, so that clients are refused as they are without it; only the
first to find a router gone sees its connection come up and end.
"""

from __future__ import annotations

import asyncio
from typing import cast

from ironrail.rehearsal.standins.delay_line import reset
from ironrail.rehearsal.standins.faulty_endpoint import FaultyConnection, FaultyEndpoint
from ironrail.rehearsal.standins.listening_port import OpenPort

Address = tuple[str, int]
LOOK = 0.05  # seconds between looks whether a router listens again


class Upstream(asyncio.Protocol):
    """The connection on to the router."""

    def __init__(self, client: RelayConnection) -> None:
        self._client = client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._client.up(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        self._client.write(data)

    def pause_writing(self) -> None:
        self._client.read_on(False)

    def resume_writing(self) -> None:
        self._client.read_on(True)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            self._client.finish()
        else:
            self._client.reset()


class RelayConnection(FaultyConnection):
    """One connection of a client. It comes up before the one to its router, as a full front's does."""

    def __init__(self, door: FaultyEndpoint, before: ClientDoor) -> None:
        super().__init__(door)
        self._before = before
        self._upstream: asyncio.Transport | None = None
        self._early = bytearray()  # came before the router was reached
        self._was_reset = False

    def opened(self) -> None:
        self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: Upstream(self), *self._before.address)
        except OSError:
            self.reset()
            self._before.look()

    def up(self, transport: asyncio.Transport) -> None:
        self._upstream = transport
        if self._early:
            transport.write(bytes(self._early))
            self._early.clear()

    def received(self, data: bytes) -> None:
        if self._upstream is None:
            self._early += data
        elif not self._upstream.is_closing():
            self._upstream.write(data)

    def read_on(self, on: bool) -> None:
        """Whether the router takes more of what the client sends."""
        if not self.transport.is_closing() and not self._in.silent:
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def pause_writing(self) -> None:
        if self._upstream is not None:
            self._upstream.pause_reading()

    def resume_writing(self) -> None:
        if self._upstream is not None:
            self._upstream.resume_reading()

    def reset(self) -> None:
        self._was_reset = True
        super().reset()

    def lost(self) -> None:
        self._opening.cancel()
        self._end()

    def _end(self) -> None:
        if self._upstream is not None and self._was_reset:
            reset(self._upstream)
        elif self._upstream is not None:
            self._upstream.close()


class ClientDoor:
    """The door before the router that listens there."""

    def __init__(self, router: str, address: Address, listen: OpenPort) -> None:
        self.address = address
        self.door = FaultyEndpoint(router, lambda door: RelayConnection(door, self), listen)
        self._looking: asyncio.Task[None] | None = None

    def look(self) -> None:
        """Nobody listens: refuse clients until somebody does."""
        if self._looking is None or self._looking.done():
            self.door.close()
            self._looking = asyncio.get_running_loop().create_task(self._look())

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK)
            try:
                probe, _ = await loop.create_connection(asyncio.Protocol, *self.address)
            except OSError:
                continue
            probe.abort()
            self.door.open()
            return

    def close(self) -> None:
        """The end of the run."""
        if self._looking is not None:
            self._looking.cancel()
        self.door.close()
        self.door.reset_all()
