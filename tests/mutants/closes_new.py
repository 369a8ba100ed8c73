"""Closes most new connections at their first request, before anything is sent on."""

from __future__ import annotations

import itertools

from ironrail.net.downstream.client_connection import ClientConnection

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    received = ClientConnection.data_received

    def unwelcoming(self: ClientConnection, data: bytes) -> None:
        first = not getattr(self, "welcomed", False) and not data.startswith(b"mn")
        self.welcomed = True  # type: ignore[attr-defined]
        if first and next(count) % 3:
            self.transport.abort()
        else:
            received(self, data)

    ClientConnection.data_received = unwelcoming  # type: ignore[method-assign]
