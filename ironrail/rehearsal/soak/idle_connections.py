"""Idle clients, which connect to a router and send nothing."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

MAX_CONCURRENT_OPENS = 8
OPEN_INTERVAL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1.0


class IdleConnection(asyncio.Protocol):
    """One open connection that sends nothing."""

    transport: asyncio.Transport

    def __init__(self, pool: IdleConnectionPool) -> None:
        self._pool = pool

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the pool."""
        self.transport = cast(asyncio.Transport, transport)
        self._pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, which opens a replacement."""
        self._pool.connections.discard(self)


class IdleConnectionPool:
    """Keeps `size` idle connections to one router open and replaces those that the router closes."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self.connections: set[IdleConnection] = set()
        self._address = address
        self._size = size

    async def stay(self, seconds: float) -> None:
        """Keep the connections open for some time, then close them."""
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    while True:
                        missing = self._size - len(self.connections)
                        await asyncio.gather(
                            *(self._open() for _ in range(min(missing, MAX_CONCURRENT_OPENS)))
                        )
                        await asyncio.sleep(OPEN_INTERVAL_SECONDS)
        finally:
            for connection in list(self.connections):
                connection.transport.abort()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(lambda: IdleConnection(self), *self._address)
