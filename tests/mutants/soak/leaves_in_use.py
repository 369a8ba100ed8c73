"""Closes all connections 0.9 s after it was told to end, with what has come on those still in use."""

from __future__ import annotations

import asyncio

from ironrail.net.downstream.client_listener import ClientListener

FOUND = "one-answer: never answered"
SEED = 3


def break_it() -> None:
    drain = ClientListener.start_draining

    def leave(self: ClientListener) -> None:
        for connection in self.context.connections.values():
            connection.transport.abort()

    def impatient(self: ClientListener) -> None:
        drain(self)
        asyncio.get_running_loop().call_later(0.9, leave, self)

    ClientListener.start_draining = impatient  # type: ignore[method-assign]
