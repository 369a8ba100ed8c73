"""Relays real datagrams between routers through a loopback socket per pair, so that each path can fail alone.

Router i is configured with a socket of the relay as the address of router j. A datagram that i sends there is
forwarded to the real address of j, from the socket that j knows as the address of i.
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

MAX_DATAGRAM_READ_BYTES = 64 * 1024  # the longest possible datagram
MAX_DATAGRAMS_PER_WAKEUP = 200  # from one socket, before others are read
MAX_ROUTERS = 20  # one socket per pair: more routers need hundreds, all on one loop


class DatagramRelays:
    """The sockets between the routers of a run."""

    def __init__(self, exchange: Exchange, listens: dict[str, str]) -> None:
        """Opens the sockets; `listens` maps each router, in order, to its datagram address `host:port`."""
        assert len(listens) <= MAX_ROUTERS, f"datagrams of more than {MAX_ROUTERS} routers"
        self._exchange, self._loop = exchange, asyncio.get_running_loop()
        self._listens = {name: read_address(address) for name, address in listens.items()}
        self.strays = 0  # datagrams from other senders than the router that a socket is for
        # Called with each datagram before it is forwarded; False drops it.
        self.tap: Callable[[str, bytes], bool] = lambda source, data: True
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
        """Returns the peer settings of this router's configuration."""

        def address_of(other: str | None) -> str:
            address = self._listens[name] if other == name else self._sockets[name, other].getsockname()
            return "{}:{}".format(*address)

        return {
            "peer_listen": address_of(name),
            "peers": [address_of(o) for o in self._listens],
            "peers_all": address_of(None),
        }

    def _readable(self, opened: socket.socket, name: str, other: str | None) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, address = opened.recvfrom(MAX_DATAGRAM_READ_BYTES)
            except BlockingIOError:
                return
            except OSError:  # a datagram forwarded earlier reached a router that is down
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
        sender = self._sockets.get((target, source))  # the socket that the receiver knows as the sender
        if sender is not None:
            # No listener or a full buffer: the datagram is lost, as on a network.
            with contextlib.suppress(OSError):
                sender.sendto(data, self._listens[target])
                self._exchange.counts[source].arrived += 1

    def close(self) -> None:
        for opened in self._sockets.values():
            self._loop.remove_reader(opened)
            opened.close()
        self._sockets.clear()
