"""Closes all connections 0.45 s after it was told to end, with what has come on those that stayed open."""

from __future__ import annotations

import asyncio

from ironrail.net.clients import Clients

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    drain = Clients.drain

    def leave(self: Clients) -> None:
        for connection in self._connections.values():
            connection.transport.abort()

    def impatient(self: Clients) -> None:
        drain(self)
        asyncio.get_running_loop().call_later(0.45, leave, self)

    Clients.drain = impatient  # type: ignore[method-assign]
