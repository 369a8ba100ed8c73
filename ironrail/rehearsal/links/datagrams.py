"""Real datagrams between routers: a loopback socket for each pair, so that each path can fail by itself.

What router i knows as the address of router j is a socket here. A datagram that i sends there goes on to
where j listens, from the socket that j knows as the address of i.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST

MOST_READ = 64 * 1024  # bytes: the longest datagram that there can be
MOST_AT_ONCE = 200  # datagrams from one socket before others have their turn
MOST_ROUTERS = 20  # a socket for each pair: more would be hundreds, and one loop carries all


class Relays:
    """The sockets between the routers of a run."""

    def __init__(self, exchange: Exchange, listens: dict[str, str]) -> None:
        """`listens`: where each router takes datagrams, as `host:port`, in order."""
        assert len(listens) <= MOST_ROUTERS, f"datagrams of more than {MOST_ROUTERS} routers"
        self._exchange, self._loop = exchange, asyncio.get_running_loop()
        self._listens = {name: read_address(address) for name, address in listens.items()}
        self.strays = 0  # from anywhere but the router whose socket it is
        self.tap: Callable[[str, bytes], bool] = lambda source, data: (
            True
        )  # sees each first; False: it is lost
        self._sockets: dict[tuple[str, str | None], socket.socket] = {}
        for name in listens:
            for other in [*(o for o in listens if o != name), None]:
                self._sockets[name, other] = self._open(name, other)

    def _open(self, name: str, other: str | None) -> socket.socket:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind((LOOPBACK_HOST, 0))
        self._loop.add_reader(opened, self._readable, opened, name, other)
        return opened

    def config_of(self, name: str) -> dict[str, Any]:
        """What the router of this name is told."""

        def told(other: str | None) -> str:
            address = self._listens[name] if other == name else self._sockets[name, other].getsockname()
            return "{}:{}".format(*address)

        return {"peer_listen": told(name), "peers": [told(o) for o in self._listens], "peers_all": told(None)}

    def _readable(self, opened: socket.socket, name: str, other: str | None) -> None:
        for _ in range(MOST_AT_ONCE):
            try:
                data, address = opened.recvfrom(MOST_READ)
            except BlockingIOError:
                return
            except OSError:  # what was sent from here met a router that is not there
                continue
            if address != self._listens[name]:
                self.strays += 1
                continue
            if not self.tap(name, data):
                continue
            for target, delay in self._exchange.sent(name, other, len(data)):
                if delay:
                    self._loop.call_later(delay, self._hand_over, name, target, data)
                else:
                    self._hand_over(name, target, data)

    def _hand_over(self, source: str, target: str, data: bytes) -> None:
        way = self._sockets.get((target, source))  # as the receiver knows the sender
        if way is not None:
            with contextlib.suppress(OSError):  # nobody listens, or its buffer is full: lost, as it is
                way.sendto(data, self._listens[target])
                self._exchange.counts[source].arrived += 1

    def close(self) -> None:
        for opened in self._sockets.values():
            self._loop.remove_reader(opened)
            opened.close()
        self._sockets.clear()
