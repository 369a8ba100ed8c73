"""A rehearsal in virtual time: the daemon's own parts on a simulated system."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from ironrail.net.config import Config, config_of_table
from ironrail.net.discovery.endpoint_list import read_address
from ironrail.net.lifecycle.node import NO_OPERATOR_FILE, Node
from ironrail.net.system import System
from ironrail.operator_file import OperatorSettings
from ironrail.rehearsal.account.record import RouterFacts
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.ground import OnExit
from ironrail.rehearsal.losses.tap import Decided, Tap
from ironrail.rehearsal.routers import Exit
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.standins.listening import BACKLOG, Accepted, Late, Listen
from ironrail.rehearsal.virtual.loop import PROCESS, START, VirtualLoop
from ironrail.rehearsal.virtual.network import Network
from ironrail.rehearsal.virtual.process import Process
from ironrail.rehearsal.virtual.socket import Listener
from ironrail.rehearsal.virtual.trace import Trace

EPOCH = 1_700_000_000.0  # Unix time when a world begins
START_TIME = 0.15  # seconds that a process needs before it listens, and up to as many again
OWN_MEMORY = 40 * 1024**2  # bytes of a router without anything to do; buffers come on top


class VirtualSystem:
    """The seam of `net/system.py` on the virtual world."""

    def __init__(self, loop: VirtualLoop, network: Network) -> None:
        self.now: Callable[[], float] = loop.time
        self.wall: Callable[[], float] = lambda: EPOCH + loop.time() - START
        self._network = network

    def listen(self, address: tuple[str, int], backlog: int) -> Listener:
        return self._network.listen(address, backlog)

    def is_served(self, address: tuple[str, int]) -> bool:
        return self._network.listened(address)

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        waiting: Callable[[], bool] = transport.get_extra_info("socket").waiting
        return waiting

    def has_hung_up(self, transport: asyncio.Transport) -> bool:
        return bool(transport.get_extra_info("socket").hung_up())

    def round_trip(self, transport: asyncio.Transport) -> float | None:
        return self._network.round_trip(transport.get_extra_info("socket"))

    def startup_complete(self) -> None:
        """Nothing is to be freed here."""


class VirtualListening:
    """Where a stand-in listens."""

    def __init__(self, network: Network, port: int, accepted: Accepted) -> None:
        self.port: int = port or network.number()
        place = network.place(self.port)
        self._listener = network.listen(place, BACKLOG)
        self._loop, self._accepted = network.loop, accepted
        self.address = "{}:{}".format(*place)
        self._loop.add_reader(self._listener, self._accept)

    def hang(self) -> None:
        self._listener.hangs = True
        self._loop.remove_reader(self._listener)

    def answer(self) -> None:
        self._listener.hangs = False
        self._accept(late=True)
        self._loop.add_reader(self._listener, self._accept)

    def late(self, draw: Late | None) -> None:
        self._listener.late = draw

    def close(self) -> None:
        self._listener.close()

    def _accept(self, late: bool = False) -> None:
        while self._listener.queue:
            connection, _ = self._listener.accept()
            self._accepted(connection, late)


class VirtualRouter:
    """One router: a process of the virtual world that runs the daemon's `Node`."""

    def __init__(
        self, ground: VirtualGround, name: str, config: dict[str, Any], facts: RouterFacts, on_exit: OnExit
    ) -> None:
        self._ground, self.name, self.facts, self._on_exit = ground, name, facts, on_exit
        self._table = orjson.dumps(config)
        self.address, self.admin_endpoint = read_address(config["listen"]), read_address(config["operator"])
        self._asked = False
        self._starts = 0
        self.process: Process | None = None
        self.node: Node | None = None
        self._over = asyncio.Event()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.alive

    @property
    def log(self) -> bytes:
        return bytes(self.process.log) if self.process is not None else b""

    async def start(self) -> None:
        """Start it; each start has a seed of its own, as the platform gives one."""
        self._asked, self._over = False, asyncio.Event()
        self._starts += 1
        loop = self._ground.loop
        self.process = Process(self.name, loop, self._ended)
        self.node = None
        loop.start(self._run(self.process), self.process)

    async def _run(self, process: Process) -> None:
        delay = START_TIME * (1.0 + self._ground.draws.random())
        await asyncio.sleep(delay)
        try:
            self.node = Node(
                self._config(), self._ground.operator, self._ground.system_of(self.name), self._config
            )
            host = self.node._dispatcher
            host.driver.router = Tap(host.driver.router, self._ground.decided)  # type: ignore[assignment]
            await self.node.serve()
        except Exception as e:
            process.write_log(f"{type(e).__name__}: {e}\n")
            process.end(1)
        else:
            process.end(0)

    def configure(self, **fields: str) -> None:
        """Change fields of its configuration; a running process reads them when it is told to."""
        self._table = orjson.dumps(orjson.loads(self._table) | fields)

    def _config(self) -> Config:
        table = orjson.loads(self._table)
        table["seed"] = f"{int(table['seed'], 16) + self._starts - 1:x}"
        return config_of_table(table, {})

    def _ended(self, code: int) -> None:
        self._over.set()
        self._on_exit(self, Exit(code, self._asked))

    def signal(self, number: signal.Signals, asked: bool = True) -> None:
        if self.process is not None and self.process.alive:
            self._asked = self._asked or asked
            self._ground.network.note("signal", f"{self.name} {number.name}")
            self.process.deliver(number)

    async def ended(self) -> None:
        if self.process is not None:
            await self._over.wait()

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.ended()

    def sample(self) -> tuple[int, int] | None:
        """Memory in bytes, as far as buffers tell it, and open descriptors."""
        process = self.process
        if process is None or not process.alive:
            return None
        memory, descriptors = OWN_MEMORY + process.buffered(), process.descriptors()
        self.facts.memory = max(self.facts.memory, memory)
        self.facts.descriptors = max(self.facts.descriptors, process.most_descriptors)
        self.facts.log_bytes = max(self.facts.log_bytes, process.log_bytes)
        return memory, descriptors


class ProcessLog(logging.Handler):
    """Gives each line of the daemon's log to the process that wrote it."""

    def emit(self, record: logging.LogRecord) -> None:
        process = PROCESS.get()
        if process is not None:
            record.created = EPOCH + process.now() - START  # the world's own time
            record.msecs = record.created % 1 * 1000
            process.write_log(self.format(record) + "\n")


class VirtualGround:
    """What a rehearsal in virtual time stands on."""

    def __init__(
        self,
        loop: VirtualLoop,
        scenario: Scenario,
        seed: int,
        *,
        operator: OperatorSettings = NO_OPERATOR_FILE,
        kept_lines: int = 0,
    ) -> None:
        self.loop, self.operator = loop, operator
        self.trace = Trace(kept_lines)
        self.network = Network(loop, scenario.network, seed, self.trace)
        self.system = VirtualSystem(loop, self.network)
        self.draws = stream(seed, "virtual.processes")
        self.wall = self.system.wall
        self.routers: list[VirtualRouter] = []
        self.decided: dict[str, Decided] = {}  # by request

    @property
    def listen(self) -> Listen:
        return lambda port, accepted: VirtualListening(self.network, port, accepted)

    def system_of(self, name: str) -> System:
        """What the router of this name is given."""
        return self.system

    def address_of(self, number: int) -> str:
        return f"127.{64 + number % 128}.{number // 128}.1"

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> VirtualRouter:
        router = VirtualRouter(self, name, config, facts, on_exit)
        self.routers.append(router)
        return router

    def settled(self) -> None:
        """Nothing is late here."""

    def digest(self) -> str:
        return self.trace.hexdigest()
