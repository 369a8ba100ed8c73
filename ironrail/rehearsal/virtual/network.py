"""The simulated stream network: listeners, connection setup, and the delivery of bytes with latency.

Latency and jitter, where a write is split, refused connects, and whether a reset discards unread bytes are
drawn from the seed.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Network as Conditions
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, LOOP_START_SECONDS, VirtualLoop
from ironrail.rehearsal.virtual.socket import Listener, VirtualSocket
from ironrail.rehearsal.virtual.trace import Trace
from ironrail.rehearsal.virtual.transport import VirtualTransport

FIRST_PORT, PORTS_PER_HOST = 20_000, 45_000  # a large fleet needs more ports than one host has
SYN_RETRY_SECONDS = (1.0, 3.0, 7.0)  # before each retransmission of an unanswered SYN
PACKET_HEADER_BYTES = 64  # added to the payload when computing transmission time


class Network:
    """Connects sockets and delivers bytes between them."""

    def __init__(self, loop: VirtualLoop, conditions: Conditions, seed: int, trace: Trace) -> None:
        self.loop, self._conditions, self.trace = loop, conditions, trace
        self.window = conditions.window
        self._draws = stream(seed, "virtual.network")
        self._listeners: dict[Any, list[Listener]] = {}  # several may share an address
        self._ports = FIRST_PORT
        self._names: dict[str, int] = {}
        self.extra_delays: dict[tuple[str, str], float] = {}  # additional one-way seconds between two hosts
        loop.network = self

    def context_now(self) -> contextvars.Context:
        """The context for callbacks registered now: that of the current process, if any."""
        process = CURRENT_PROCESS.get()
        return self.loop.outside if process is None else process.context

    def _name(self, whose: str) -> str:
        number = self._names[whose] = self._names.get(whose, 0) + 1
        return f"{whose}.{number}"

    def note(self, what: str, where: str, data: bytes = b"") -> None:
        self.trace.add(self.loop.time() - LOOP_START_SECONDS, what, where, data)

    # Listening and connecting

    def listen(self, address: Any, backlog: int) -> Listener:
        host, port = address
        port = port or self.allocate_port()
        listener = Listener(self, CURRENT_PROCESS.get(), (host, port), backlog)
        self._listeners.setdefault((host, port), []).append(listener)
        if listener.process is not None:
            listener.process.opened(listener)
        return listener

    def allocate_port(self) -> int:
        """Allocate the next port number."""
        self._ports += 1
        return self._ports

    @staticmethod
    def host_and_port(number: int) -> tuple[str, int]:
        """Host and port for a number returned by `allocate_port`."""
        host, port = divmod(number - FIRST_PORT, PORTS_PER_HOST)
        return (f"127.0.{host}.1" if host else LOOPBACK_HOST), FIRST_PORT + port

    def unlisten(self, listener: Listener) -> None:
        sharing = self._listeners[listener.address]
        sharing.remove(listener)
        if not sharing:
            del self._listeners[listener.address]
        if listener.process is not None:
            listener.process.closed(listener)

    def is_listening(self, address: Any) -> bool:
        """Whether a listener is open at the address."""
        return address in self._listeners

    async def connect(self, factory: Any, address: Any, local: Any = None) -> tuple[VirtualTransport, Any]:
        """Connect to a listener at `address`; waits while the SYN is not answered.

        Args:
            factory: creates the protocol.
            address: host and port to connect to.
            local: source address; by default one on the same host.

        Raises:
            OSError: the connect was refused, timed out or reset.
        """
        process, context = CURRENT_PROCESS.get(), self.context_now()
        whose = process.name if process is not None else "kit"
        local_address = local or (address[0], 0)
        listener = await self._accepting_listener(address, whose)
        name = self._name(f"{whose}>{address[1]}")
        near = VirtualSocket(self, process, name, local_address, address)
        far = VirtualSocket(self, None, name + "'", address, local_address)
        near.peer, far.peer = far, near
        self.note("up", name)
        listener.queue.append(far)
        listener.notify()
        try:
            await self._sleep(
                self._delay() + 2 * self._extra_delay(near)
            )  # `_accepting_listener` did not count it for the SYN
        except asyncio.CancelledError:
            near.close()
            raise
        if near.error is not None:
            near.close()
            raise near.error
        protocol = factory()
        transport = VirtualTransport(self.loop, near, protocol, context)
        transport.begin()
        return transport, protocol

    async def _accepting_listener(self, address: Any, whose: str) -> Listener:
        """The listener that accepts the connect; retransmits the SYN until one does."""
        for pause in (*SYN_RETRY_SECONDS, 0.0):
            await self._sleep(self._delay())
            sharing = self._listeners.get(address)
            listener = (
                None if not sharing else sharing[0] if len(sharing) == 1 else self._draws.choice(sharing)
            )
            chance = self._draws.random() if whose != "kit" else 1.0
            if listener is None or chance < self._conditions.refused:
                await self._sleep(self._delay())
                self.note("refused", f"{whose}>{address[1]}")
                raise ConnectionRefusedError(111, f"Connect call failed {address}")
            heard = chance - self._conditions.refused >= self._conditions.unheard
            if heard and not listener.hangs and len(listener.queue) <= listener.backlog:
                if listener.late is not None:
                    await self._sleep(listener.late())
                if listener.open:
                    return listener
                raise ConnectionRefusedError(111, f"Connect call failed {address}")
            await self._sleep(pause)
        raise TimeoutError(110, f"Connect call failed {address}")

    def adopt(self, factory: Any, socket: VirtualSocket) -> tuple[VirtualTransport, Any]:
        """The transport and protocol of an accepted connection."""
        protocol = factory()
        transport = VirtualTransport(self.loop, socket, protocol, self.context_now())
        transport.begin()
        return transport, protocol

    async def _sleep(self, delay: float) -> None:
        """Sleep on the network's clock, which isn't rounded to milliseconds as process timers are."""
        waiter = self.loop.create_future()
        timer = self.loop.call_at(self.loop.time() + delay, self._wake, waiter, context=self.loop.outside)
        try:
            await waiter
        finally:
            timer.cancel()

    @staticmethod
    def _wake(waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_result(None)

    # Delivery

    def _delay(self) -> float:
        """A random one-way delay in seconds."""
        conditions = self._conditions
        return conditions.latency * (1.0 + conditions.jitter * self._draws.random())

    def _extra_delay(self, sender: VirtualSocket) -> float:
        return (
            self.extra_delays.get((sender.local_address[0], sender.remote_address[0]), 0.0)
            if self.extra_delays
            else 0.0
        )

    def round_trip(self, socket: VirtualSocket) -> float:
        """The mean round-trip time in seconds, as the operating system would report it."""
        back = self.extra_delays.get((socket.remote_address[0], socket.local_address[0]), 0.0)
        usual = self._conditions.latency * (2.0 + self._conditions.jitter)
        return usual + self._extra_delay(socket) + back

    def _arrival(self, sender: VirtualSocket, size: int) -> float:
        at = max(self.loop.time() + self._delay() + self._extra_delay(sender), sender.last_arrival)
        # also for an end without bytes: at the same instant it could overtake preceding bytes
        sender.last_arrival = at + (size + PACKET_HEADER_BYTES) / self._conditions.bandwidth
        return sender.last_arrival

    def carry(self, sender: VirtualSocket, data: bytes) -> None:
        """Deliver bytes to the peer; a write may be split in two."""
        for piece in self._pieces(data):
            at = self._arrival(sender, len(piece))
            self.loop.call_at(at, self._arrive, sender, piece, context=self.loop.outside)

    def _pieces(self, data: bytes) -> list[bytes]:
        if len(data) < 2 or self._draws.random() >= self._conditions.split:
            return [data]
        cut = self._draws.randrange(1, len(data))
        return [data[:cut], data[cut:]]

    def _arrive(self, sender: VirtualSocket, data: bytes) -> None:
        sender.in_transit_bytes -= len(data)
        peer = sender.peer
        assert peer is not None
        if sender.error is not None:  # reset in the meantime
            return
        self.note("bytes", sender.name, data)
        peer.arrive(data)

    def carry_end(self, sender: VirtualSocket) -> None:
        self.loop.call_at(self._arrival(sender, 0), self._end, sender, context=self.loop.outside)

    def _end(self, sender: VirtualSocket) -> None:
        assert sender.peer is not None
        self.note("end", sender.name)
        sender.peer.arrive_end()

    def carry_reset(self, sender: VirtualSocket) -> None:
        at = (
            self.loop.time() + self._delay() + self._extra_delay(sender)
        )  # may overtake bytes in transit, which are then lost
        self.loop.call_at(at, self._reset, sender, context=self.loop.outside)

    def _reset(self, sender: VirtualSocket) -> None:
        assert sender.peer is not None
        self.note("reset", sender.name)
        sender.peer.arrive_reset()

    def reset_destroys(self) -> bool:
        """Whether a reset discards unread bytes, which differs between systems; drawn at random."""
        return self._draws.random() < self._conditions.destroys
