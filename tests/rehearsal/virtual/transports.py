"""Test helpers: both ends of a connection, on uvloop or on the virtual loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import uvloop

from ironrail.net.system import REAL, System
from ironrail.rehearsal.scenario.model import Network as Conditions
from ironrail.rehearsal.virtual.loop import VirtualLoop
from ironrail.rehearsal.virtual.network import Network
from ironrail.rehearsal.virtual.system import VirtualSystem
from ironrail.rehearsal.virtual.trace import Trace

LOCAL = "127.0.0.1"


Test = Callable[["World"], Coroutine[Any, Any, None]]


class Peer(asyncio.Protocol):
    """A protocol that records its callbacks and lets the test wait for them."""

    transport: asyncio.Transport

    def __init__(self, keep_open: bool = False) -> None:
        self.told: list[str] = []
        self.data = bytearray()
        self.keep_open = keep_open
        self._news = asyncio.Event()

    def _tell(self, what: str) -> None:
        self.told.append(what)
        self._news.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._tell("made")

    def data_received(self, data: bytes) -> None:
        self.data += data
        self._tell("data")

    def eof_received(self) -> bool:
        self._tell("eof")
        return self.keep_open

    def pause_writing(self) -> None:
        self._tell("pause")

    def resume_writing(self) -> None:
        self._tell("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self._tell("lost" if exc is None else f"lost {type(exc).__name__}")

    async def until(self, *what: str) -> None:
        """Wait until one of these callbacks was called."""
        while not any(word in told for told in self.told for word in what):
            self._news.clear()
            await self._news.wait()

    async def until_size(self, size: int) -> None:
        while len(self.data) < size:
            self._news.clear()
            await self._news.wait()


class World:
    """A listener like the daemon's on one of the two loops."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.loop = asyncio.get_running_loop()
        self.listener = system.listen((LOCAL, 0), 16)
        self.port = self.listener.getsockname()[1]
        self.accepted: asyncio.Queue[Peer] = asyncio.Queue()
        self.keep_open = False
        self.loop.add_reader(self.listener, self._accept)
        self._tasks: set[asyncio.Task[None]] = set()

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        task = self.loop.create_task(self._adopt(sock))
        self._tasks.add(task)

    async def _adopt(self, sock: Any) -> None:
        peer = Peer(self.keep_open)
        await self.loop.connect_accepted_socket(lambda: peer, sock)
        await self.accepted.put(peer)

    async def pair(self) -> tuple[Peer, Peer]:
        """The connecting and the accepting end of a new connection."""
        near = Peer()
        await self.loop.create_connection(lambda: near, LOCAL, self.port)
        return near, await self.accepted.get()


def on_uvloop(test: Test) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20.0):
            await test(World(REAL))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def on_virtual(test: Test) -> None:
    loop = VirtualLoop(1)
    network = Network(loop, Conditions(), 1, Trace())

    async def bounded() -> None:
        async with asyncio.timeout(20.0):
            await test(World(VirtualSystem(loop, network)))

    loop.run_until_complete(bounded())
    loop.close()


Run = Callable[[Test], None]
