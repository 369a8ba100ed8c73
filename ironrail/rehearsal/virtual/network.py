"""The network of a virtual world: who listens where, and how long bytes take from one end to the other.

Everything is drawn from the seed: latency and its jitter, where a write is split, whether pieces that come
together are read together, whether a reset destroys what was not read.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Network as Conditions
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST
from ironrail.rehearsal.virtual.loop import PROCESS, START, VirtualLoop
from ironrail.rehearsal.virtual.socket import Listener, VirtualSocket
from ironrail.rehearsal.virtual.trace import Trace
from ironrail.rehearsal.virtual.transport import VirtualTransport

FIRST_PORT, PORTS_EACH = 20_000, 45_000  # of one host: a fleet of hundreds by hundreds has more doors
SYN_AGAIN = (1.0, 3.0, 7.0)  # seconds after which a connect that was not answered is tried again
HEADER = 64  # bytes that a packet has besides


class Network:
    """Carries bytes between sockets."""

    def __init__(self, loop: VirtualLoop, conditions: Conditions, seed: int, trace: Trace) -> None:
        self.loop, self._conditions, self.trace = loop, conditions, trace
        self.window = conditions.window
        self._draws = stream(seed, "virtual.network")
        self._listeners: dict[Any, list[Listener]] = {}  # those that share an address
        self._ports = FIRST_PORT
        self._names: dict[str, int] = {}
        self.ways: dict[tuple[str, str], float] = {}  # more seconds one way between two hosts, by address
        loop.network = self

    def context_now(self) -> contextvars.Context:
        """The context that callbacks asked for now are to run in."""
        process = PROCESS.get()
        return self.loop.outside if process is None else process.context

    def _name(self, whose: str) -> str:
        number = self._names[whose] = self._names.get(whose, 0) + 1
        return f"{whose}.{number}"

    def note(self, what: str, where: str, data: bytes = b"") -> None:
        self.trace.add(self.loop.time() - START, what, where, data)

    # Listening and connecting

    def listen(self, address: Any, backlog: int) -> Listener:
        host, port = address
        port = port or self.number()
        listener = Listener(self, PROCESS.get(), (host, port), backlog)
        self._listeners.setdefault((host, port), []).append(listener)
        if listener.process is not None:
            listener.process.opened(listener)
        return listener

    def number(self) -> int:
        """The next door's."""
        self._ports += 1
        return self._ports

    @staticmethod
    def place(number: int) -> tuple[str, int]:
        """Host and port of a door by its number."""
        host, port = divmod(number - FIRST_PORT, PORTS_EACH)
        return (f"127.0.{host}.1" if host else LOOPBACK_HOST), FIRST_PORT + port

    def unlisten(self, listener: Listener) -> None:
        sharing = self._listeners[listener.address]
        sharing.remove(listener)
        if not sharing:
            del self._listeners[listener.address]
        if listener.process is not None:
            listener.process.closed(listener)

    def listened(self, address: Any) -> bool:
        """Whether anybody listens there."""
        return address in self._listeners

    async def connect(self, factory: Any, address: Any, local: Any = None) -> tuple[VirtualTransport, Any]:
        """A connection to whoever listens there; OSError if nobody does. Hangs while nobody answers.

        `local`: the address that it comes from, in place of one of the same host.
        """
        process, context = PROCESS.get(), self.context_now()
        whose = process.name if process is not None else "kit"
        own = local or (address[0], 0)
        listener = await self._answered(address, whose)
        name = self._name(f"{whose}>{address[1]}")
        near = VirtualSocket(self, process, name, own, address)
        far = VirtualSocket(self, None, name + "'", address, own)
        near.peer, far.peer = far, near
        self.note("up", name)
        listener.queue.append(far)
        listener.notify()
        try:
            await self._later(self._delay() + 2 * self._way(near))  # the way there was gone in no time
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

    async def _answered(self, address: Any, whose: str) -> Listener:
        """Who takes the connect, once anybody does."""
        for pause in (*SYN_AGAIN, 0.0):
            await self._later(self._delay())
            sharing = self._listeners.get(address)
            listener = (
                None if not sharing else sharing[0] if len(sharing) == 1 else self._draws.choice(sharing)
            )
            chance = self._draws.random() if whose != "kit" else 1.0
            if listener is None or chance < self._conditions.refused:
                await self._later(self._delay())
                self.note("refused", f"{whose}>{address[1]}")
                raise ConnectionRefusedError(111, f"Connect call failed {address}")
            heard = chance - self._conditions.refused >= self._conditions.unheard
            if heard and not listener.hangs and len(listener.queue) <= listener.backlog:
                if listener.late is not None:
                    await self._later(listener.late())
                if listener.open:
                    return listener
                raise ConnectionRefusedError(111, f"Connect call failed {address}")
            await self._later(pause)
        raise TimeoutError(110, f"Connect call failed {address}")

    def adopt(self, factory: Any, socket: VirtualSocket) -> tuple[VirtualTransport, Any]:
        """A transport for a connection that was accepted."""
        protocol = factory()
        transport = VirtualTransport(self.loop, socket, protocol, self.context_now())
        transport.begin()
        return transport, protocol

    async def _later(self, delay: float) -> None:
        """Wait on the network's clock, which knows no milliseconds of a process."""
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

    # Carrying

    def _delay(self) -> float:
        """Seconds on the way, this time."""
        conditions = self._conditions
        return conditions.latency * (1.0 + conditions.jitter * self._draws.random())

    def _way(self, sender: VirtualSocket) -> float:
        return self.ways.get((sender.own[0], sender.other[0]), 0.0) if self.ways else 0.0

    def round_trip(self, socket: VirtualSocket) -> float:
        """Seconds there and back between the two ends, as a system would have measured them."""
        back = self.ways.get((socket.other[0], socket.own[0]), 0.0)
        usual = self._conditions.latency * (2.0 + self._conditions.jitter)
        return usual + self._way(socket) + back

    def _arrival(self, sender: VirtualSocket, size: int) -> float:
        at = max(self.loop.time() + self._delay() + self._way(sender), sender.last_arrival)
        # the end of a connection too takes time: at one instant it could overtake the bytes before it
        sender.last_arrival = at + (size + HEADER) / self._conditions.bandwidth
        return sender.last_arrival

    def carry(self, sender: VirtualSocket, data: bytes) -> None:
        """Bytes are under way; a write may come in pieces."""
        for piece in self._pieces(data):
            at = self._arrival(sender, len(piece))
            self.loop.call_at(at, self._arrive, sender, piece, context=self.loop.outside)

    def _pieces(self, data: bytes) -> list[bytes]:
        if len(data) < 2 or self._draws.random() >= self._conditions.split:
            return [data]
        cut = self._draws.randrange(1, len(data))
        return [data[:cut], data[cut:]]

    def _arrive(self, sender: VirtualSocket, data: bytes) -> None:
        sender.under_way -= len(data)
        peer = sender.peer
        assert peer is not None
        if sender.error is not None:  # it was reset meanwhile
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
        at = self.loop.time() + self._delay() + self._way(sender)  # what is under way may be lost with it
        self.loop.call_at(at, self._reset, sender, context=self.loop.outside)

    def _reset(self, sender: VirtualSocket) -> None:
        assert sender.peer is not None
        self.note("reset", sender.name)
        sender.peer.arrive_reset()

    def reset_destroys(self) -> bool:
        """Whether what was not read is gone with a reset: systems differ, and so do moments."""
        return self._draws.random() < self._conditions.destroys
