"""Relays client connections to a router, so that the path between the two can fail.

While the router does not listen the relay is closed, so clients are refused as without it; only the first to
find the router gone sees its connection open and end.
"""

from __future__ import annotations

import asyncio
from typing import cast

from ironrail.rehearsal.standins.delay_line import reset
from ironrail.rehearsal.standins.faulty_endpoint import FaultyConnection, FaultyEndpoint
from ironrail.rehearsal.standins.listening_port import OpenPort

Address = tuple[str, int]
POLL_SECONDS = 0.05  # between two checks whether a router listens again


class Upstream(asyncio.Protocol):
    """The connection from the relay to the router."""

    def __init__(self, client: RelayConnection) -> None:
        self._client = client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._client.upstream_connected(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        self._client.write(data)

    def pause_writing(self) -> None:
        self._client.set_reading(False)

    def resume_writing(self) -> None:
        self._client.set_reading(True)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            self._client.finish()
        else:
            self._client.reset()


class RelayConnection(FaultyConnection):
    """A client's connection; it opens before the one to the router, as with a terminating proxy."""

    def __init__(self, door: FaultyEndpoint, relay: ClientRelay) -> None:
        super().__init__(door)
        self._relay = relay
        self._upstream: asyncio.Transport | None = None
        self._early = bytearray()  # received before the router was connected
        self._was_reset = False

    def opened(self) -> None:
        self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: Upstream(self), *self._relay.address)
        except OSError:
            self.reset()
            self._relay.close_until_listening()

    def upstream_connected(self, transport: asyncio.Transport) -> None:
        self._upstream = transport
        if self._early:
            transport.write(bytes(self._early))
            self._early.clear()

    def received(self, data: bytes) -> None:
        if self._upstream is None:
            self._early += data
        elif not self._upstream.is_closing():
            self._upstream.write(data)

    def set_reading(self, on: bool) -> None:
        """Resumes or pauses reading from the client, as the router accepts more data or not."""
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


class ClientRelay:
    """Accepts client connections in place of the router that listens at `address`."""

    def __init__(self, router: str, address: Address, listen: OpenPort) -> None:
        self.address = address
        self.door = FaultyEndpoint(router, lambda door: RelayConnection(door, self), listen)
        self._poll_task: asyncio.Task[None] | None = None

    def close_until_listening(self) -> None:
        """Refuses clients until the router listens again."""
        if self._poll_task is None or self._poll_task.done():
            self.door.close()
            self._poll_task = asyncio.get_running_loop().create_task(self._poll())

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_SECONDS)
            try:
                probe, _ = await loop.create_connection(asyncio.Protocol, *self.address)
            except OSError:
                continue
            probe.abort()
            self.door.open()
            return

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._poll_task is not None:
            self._poll_task.cancel()
        self.door.close()
        self.door.reset_all()
