"""Asks each cache whether it is well, on every new connection."""

from __future__ import annotations

import asyncio

from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Connection

RULE = "rule protocol"


def break_it() -> None:
    made = Connection.connection_made

    def curious(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        self.transport.write(b"mn\r\n")

    CacheConnection.connection_made = curious  # type: ignore[method-assign]
