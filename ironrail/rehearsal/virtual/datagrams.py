"""Datagrams between routers of a virtual world: `loop.create_datagram_endpoint` ends here.

No socket for each pair is needed: who sends is known by its process. What a router sends to another's address
comes from its own, copies and delays as the exchange has them, in a thousand routers as in ten.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.virtual.interfaces import Address, Owner
from ironrail.rehearsal.virtual.loop import PROCESS, VirtualLoop

MOST_WAITING = 256  # datagrams that a process has not read: the usual buffer of a socket holds about as many
LATENCY = 0.0003  # seconds one way, as the network's usual


class VirtualEndpoint(asyncio.DatagramTransport):
    """Where a router sends and takes datagrams."""

    inbox = b""  # bytes that the process holds: the system holds them here

    def __init__(self, datagrams: Datagrams, process: Owner, address: Address, protocol: Any) -> None:
        super().__init__({"sockname": address})
        self._datagrams, self._address, self._protocol = datagrams, address, protocol
        self._context: contextvars.Context = process.context
        self._process, self._waiting = process, 0
        process.opened(self)

    def unsent(self) -> int:
        return 0

    def sendto(self, data: Any, addr: Any = None) -> None:
        self._datagrams.send(self._address, addr, bytes(data))

    def arrive(self, data: bytes, source: Address) -> bool:
        """It has come to the system; whether there was room."""
        if self._waiting >= MOST_WAITING:
            return False
        self._waiting += 1
        self._datagrams.loop.call_soon(self._take, data, source, context=self._context)
        return True

    def _take(self, data: bytes, source: Address) -> None:
        self._waiting -= 1
        if not self.is_closing():
            self._protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        return self._datagrams.endpoints.get(self._address) is not self

    def close(self) -> None:
        if not self.is_closing():
            del self._datagrams.endpoints[self._address]
            self._process.closed(self)
            if self._process.alive:
                self._datagrams.loop.call_soon(self._protocol.connection_lost, None, context=self._context)

    abort = close


class Datagrams:
    """All datagrams of a world."""

    def __init__(
        self, loop: VirtualLoop, exchange: Exchange, addresses: dict[str, Address], to_all: Address
    ) -> None:
        """`addresses`: of each router by name; `to_all`: what is sent there goes to all others."""
        self.loop, self._exchange, self._addresses = loop, exchange, addresses
        self._names = {address: name for name, address in addresses.items()}
        self._to_all = to_all
        self.endpoints: dict[Address, VirtualEndpoint] = {}

    def open(self, factory: Any, address: Any) -> tuple[VirtualEndpoint, Any]:
        """An endpoint of the process that asks; OSError where another has the address."""
        address = tuple(address)
        if address in self.endpoints:
            raise OSError(98, f"address already in use: {address}")
        process, protocol = PROCESS.get(), factory()
        assert process is not None, "only processes have datagrams here"
        endpoint = self.endpoints[address] = VirtualEndpoint(self, process, address, protocol)
        protocol.connection_made(endpoint)
        return endpoint, protocol

    def send(self, source: Address, to: Any, data: bytes) -> None:
        """A datagram of a router; to an address that is no router's it is gone."""
        name, target = self._names.get(source), self._names.get(to)
        if name is None or (target is None and to != self._to_all) or target == name:
            return
        for other, delay in self._exchange.sent(name, target, len(data)):
            at = self.loop.time() + LATENCY + delay
            self.loop.call_at(at, self._arrive, name, other, data, context=self.loop.outside)

    def _arrive(self, source: str, target: str, data: bytes) -> None:
        endpoint = self.endpoints.get(self._addresses[target])
        if endpoint is not None and endpoint.arrive(data, self._addresses[source]):
            self._exchange.counts[source].arrived += 1
