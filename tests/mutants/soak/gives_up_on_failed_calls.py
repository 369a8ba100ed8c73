"""Stops listening after one failed accept, and ends when it can't ask whether others serve its address."""

from __future__ import annotations

import socket

from ironrail.net.listener import Acceptor
from ironrail.net.system import Address, RealSystem

FOUND = "exit code 1 on SIGTERM"
SEED = 95


def break_it() -> None:
    def is_served(self: RealSystem, address: Address) -> bool:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(address)
            except OSError:
                return True
        return False

    def close(self: Acceptor) -> None:
        while self._accept_some():
            pass
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._closed.set()

    RealSystem.is_served = is_served  # type: ignore[method-assign]
    Acceptor.close = close  # type: ignore[method-assign]
