"""The environment of a rehearsal in virtual time: the real daemon code on a simulated system."""

from __future__ import annotations

import asyncio
import logging
import signal
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
from ironrail.rehearsal.standins.listening_port import BACKLOG, AcceptCallback, ConnectDelay, OpenPort
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, LOOP_START_SECONDS, VirtualLoop
from ironrail.rehearsal.virtual.network import Network
from ironrail.rehearsal.virtual.process import Process
from ironrail.rehearsal.virtual.system import SIMULATION_START_UNIX_SECONDS, VirtualSystem
from ironrail.rehearsal.virtual.trace import Trace

MIN_STARTUP_SECONDS = 0.15  # until a process listens; up to as long again is added at random
BASE_MEMORY_BYTES = 40 * 1024**2  # of an idle router; buffered bytes are added


class VirtualListening:
    """A listening address of a stand-in."""

    def __init__(self, network: Network, port: int, accepted: AcceptCallback) -> None:
        self.port: int = port or network.allocate_port()
        place = network.host_and_port(self.port)
        self._listener = network.listen(place, BACKLOG)
        self._loop, self._accepted = network.loop, accepted
        self.address = "{}:{}".format(*place)
        self._loop.add_reader(self._listener, self._accept)

    def hang(self) -> None:
        self._listener.hangs = True
        self._loop.remove_reader(self._listener)

    def resume(self) -> None:
        self._listener.hangs = False
        self._accept(late=True)
        self._loop.add_reader(self._listener, self._accept)

    def set_connect_delay(self, draw: ConnectDelay | None) -> None:
        self._listener.late = draw

    def close(self) -> None:
        self._listener.close()

    def _accept(self, late: bool = False) -> None:
        while self._listener.queue:
            connection, _ = self._listener.accept()
            self._accepted(connection, late)


class VirtualRouter:
    """A router: a simulated process that runs the daemon's `Node`."""

    def __init__(
        self,
        environment: VirtualEnvironment,
        name: str,
        config: dict[str, Any],
        facts: RouterFacts,
        on_exit: OnExit,
    ) -> None:
        self._environment, self.name, self.facts, self._on_exit = environment, name, facts, on_exit
        self._table = orjson.dumps(config)
        self.address, self.admin_endpoint = read_address(config["listen"]), read_address(config["operator"])
        self._is_stop_requested = False
        self._incarnations = 0
        self.process: Process | None = None
        self.node: Node | None = None
        self._ended_event = asyncio.Event()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.alive

    @property
    def log(self) -> bytes:
        return bytes(self.process.log) if self.process is not None else b""

    async def start(self) -> None:
        """Start a new incarnation; each has its own seed, as on the real platform."""
        self._is_stop_requested, self._ended_event = False, asyncio.Event()
        self._incarnations += 1
        loop = self._environment.loop
        self.process = Process(self.name, loop, self._on_process_end)
        self.node = None
        loop.start(self._run(self.process), self.process)

    async def _run(self, process: Process) -> None:
        delay = MIN_STARTUP_SECONDS * (1.0 + self._environment.draws.random())
        await asyncio.sleep(delay)
        try:
            self.node = Node(
                self._config(),
                self._environment.operator,
                self._environment.router_system(self.name),
                self._config,
            )
            host = self.node._dispatcher
            host.driver.router = Tap(host.driver.router, self._environment.decided)  # type: ignore[assignment]
            await self.node.serve()
        except Exception as e:
            process.write_log(f"{type(e).__name__}: {e}\n")
            process.end(1)
        else:
            process.end(0)

    def configure(self, **fields: str) -> None:
        """Change fields of the configuration; a running process reads them when it reloads."""
        self._table = orjson.dumps(orjson.loads(self._table) | fields)

    def _config(self) -> Config:
        table = orjson.loads(self._table)
        table["seed"] = f"{int(table['seed'], 16) + self._incarnations - 1:x}"
        return config_of_table(table, {})

    def _on_process_end(self, code: int) -> None:
        self._ended_event.set()
        self._on_exit(self, Exit(code, self._is_stop_requested))

    def signal(self, number: signal.Signals, asked: bool = True) -> None:
        if self.process is not None and self.process.alive:
            self._is_stop_requested = self._is_stop_requested or asked
            self._environment.network.note("signal", f"{self.name} {number.name}")
            self.process.deliver(number)

    async def ended(self) -> None:
        if self.process is not None:
            await self._ended_event.wait()

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.ended()

    def sample(self) -> tuple[int, int] | None:
        """Memory in bytes (estimated from buffered bytes) and open descriptors; None if not running."""
        process = self.process
        if process is None or not process.alive:
            return None
        memory, descriptors = BASE_MEMORY_BYTES + process.buffered(), process.descriptors()
        self.facts.memory = max(self.facts.memory, memory)
        self.facts.descriptors = max(self.facts.descriptors, process.peak_descriptors)
        self.facts.log_bytes = max(self.facts.log_bytes, process.log_bytes)
        return memory, descriptors


class ProcessLog(logging.Handler):
    """Writes each log line of the daemon to the log of the simulated process that emitted it."""

    def emit(self, record: logging.LogRecord) -> None:
        process = CURRENT_PROCESS.get()
        if process is not None:
            record.created = (
                SIMULATION_START_UNIX_SECONDS + process.now() - LOOP_START_SECONDS
            )  # simulated time
            record.msecs = record.created % 1 * 1000
            process.write_log(self.format(record) + "\n")


class VirtualEnvironment:
    """The simulated clock, network and router processes that a rehearsal in virtual time runs on."""

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
        self.decided: dict[str, Decided] = {}  # what each policy module decided, by request

    @property
    def listen(self) -> OpenPort:
        return lambda port, accepted: VirtualListening(self.network, port, accepted)

    def router_system(self, name: str) -> System:
        """The `System` implementation for the router with this name."""
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
        """Does nothing: a simulated run has no startup work that could delay the load."""

    def digest(self) -> str:
        return self.trace.hexdigest()
