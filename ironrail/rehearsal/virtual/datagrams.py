"""Simulated datagrams between routers, behind `loop.create_datagram_endpoint`.

Each router has a single endpoint, so the number of sockets doesn't grow with the number of pairs. The
exchange decides on loss, copies and delays.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.virtual.interfaces import Address, ProcessInterface
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, VirtualLoop

MAX_UNREAD_DATAGRAMS = 256  # about as many as a default socket buffer holds
LATENCY_SECONDS = 0.0003  # one way, the default of the stream network


class VirtualEndpoint(asyncio.DatagramTransport):
    """The datagram endpoint of a router."""

    inbox = b""  # always empty: unread datagrams are counted in `_waiting`

    def __init__(
        self, datagrams: Datagrams, process: ProcessInterface, address: Address, protocol: Any
    ) -> None:
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
        """Queue a received datagram; returns False if the buffer is full."""
        if self._waiting >= MAX_UNREAD_DATAGRAMS:
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
    """The datagram network of a simulation."""

    def __init__(
        self, loop: VirtualLoop, exchange: Exchange, addresses: dict[str, Address], to_all: Address
    ) -> None:
        """`addresses`: by router name; `to_all`: the address that reaches all other routers."""
        self.loop, self._exchange, self._addresses = loop, exchange, addresses
        self._names = {address: name for name, address in addresses.items()}
        self._to_all = to_all
        self.endpoints: dict[Address, VirtualEndpoint] = {}

    def open(self, factory: Any, address: Any) -> tuple[VirtualEndpoint, Any]:
        """Open an endpoint for the current process; raises OSError if the address is in use."""
        address = tuple(address)
        if address in self.endpoints:
            raise OSError(98, f"address already in use: {address}")
        process, protocol = CURRENT_PROCESS.get(), factory()
        assert process is not None, "datagram endpoints can only be opened in a simulated process"
        endpoint = self.endpoints[address] = VirtualEndpoint(self, process, address, protocol)
        protocol.connection_made(endpoint)
        return endpoint, protocol

    def send(self, source: Address, to: Any, data: bytes) -> None:
        """Send a datagram; it is dropped if the target is not a router's address."""
        name, target = self._names.get(source), self._names.get(to)
        if name is None or (target is None and to != self._to_all) or target == name:
            return
        for other, delay in self._exchange.sent(name, target, len(data)):
            at = self.loop.time() + LATENCY_SECONDS + delay
            self.loop.call_at(at, self._arrive, name, other, data, context=self.loop.outside)

    def _arrive(self, source: str, target: str, data: bytes) -> None:
        endpoint = self.endpoints.get(self._addresses[target])
        if endpoint is not None and endpoint.arrive(data, self._addresses[source]):
            self._exchange.counts[source].arrived += 1
