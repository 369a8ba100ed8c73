"""Closes all connections 0.45 s after it was told to end, with what has come on those that stayed open."""

from __future__ import annotations

import asyncio

from ironrail.net.downstream.client_listener import ClientListener

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    drain = ClientListener.drain

    def leave(self: ClientListener) -> None:
        for connection in self._connections.values():
            connection.transport.abort()

    def impatient(self: ClientListener) -> None:
        drain(self)
        asyncio.get_running_loop().call_later(0.45, leave, self)

    ClientListener.drain = impatient  # type: ignore[method-assign]
