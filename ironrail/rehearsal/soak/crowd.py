"""Clients that connect to a router and send nothing."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

OPENED_AT_ONCE = 8
OPEN_INTERVAL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1.0


class IdleConnection(asyncio.Protocol):
    """One connection that is open and silent."""

    transport: asyncio.Transport

    def __init__(self, crowd: IdleCrowd) -> None:
        self._crowd = crowd

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the crowd."""
        self.transport = cast(asyncio.Transport, transport)
        self._crowd.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the crowd, which opens another one for it."""
        self._crowd.connections.discard(self)


class IdleCrowd:
    """Keeps so many idle connections to one router open; opens others for those that it closes."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self.connections: set[IdleConnection] = set()
        self._address = address
        self._size = size

    async def stay(self, seconds: float) -> None:
        """Crowd the router for so long, then leave."""
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    while True:
                        missing = self._size - len(self.connections)
                        await asyncio.gather(*(self._open() for _ in range(min(missing, OPENED_AT_ONCE))))
                        await asyncio.sleep(OPEN_INTERVAL_SECONDS)
        finally:
            for connection in list(self.connections):
                connection.transport.abort()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(lambda: IdleConnection(self), *self._address)
