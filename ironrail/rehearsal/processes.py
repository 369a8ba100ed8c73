"""Starts, stops, restarts, replaces and reconfigures the routers of a rehearsal."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from ironrail.rehearsal.account.record import Record
from ironrail.rehearsal.faults.injector import FaultInjector
from ironrail.rehearsal.ground import Ground, Router, handles_signals, is_ready_to_take_over, ready
from ironrail.rehearsal.routers import Exit
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.settings import config_of
from ironrail.rehearsal.standins.endpoint_list import EndpointRow
from ironrail.rehearsal.standins.load_balancer import LoadBalancer
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World

ADMIN_PORT = 19000  # admin endpoint of a router's first process; its replacements use the next ports
CLIENT_PORT = 11211  # of every router; each has its own loopback address
STOP_TIMEOUT_SECONDS = 8.0  # from SIGTERM until a router is killed


class RouterManager:
    """The router processes of one run, by name; a subclass creates the stand-ins around them."""

    _folder: Path
    _world: World
    _rows: list[EndpointRow]
    _registry: Registry
    _front: LoadBalancer
    _fault_injector: FaultInjector

    def __init__(self, scenario: Scenario, seed: int, ground: Ground) -> None:
        self._scenario, self._seed, self._ground = scenario, seed, ground
        self._record = Record()
        self._routers: dict[str, Router] = {}
        self._replaced: list[Router] = []  # processes that were replaced, or that are about to replace one
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled at the end of the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _make_router(self, name: str, turn: int) -> Router:
        """Create a router's process; `turn` is the number of processes it had before."""
        number, ground = router_names(self._scenario).index(name), self._ground
        address = ground.address_of(number)
        config = config_of(
            self._scenario,
            self._seed,
            number,
            name,
            f"{address}:{CLIENT_PORT}",
            self._registry.agents[name].endpoint.address,
            [row.to_dict(name) for row in self._rows],
            f"{address}:{ADMIN_PORT + turn}",
        )
        return ground.make_router(name, config, self._folder, self._record.routers[name], self._on_exit)

    def _record_initial_list(self, name: str) -> None:
        """Record what a new process knows: the list in its configuration and nothing else."""
        rows, now = {row.id for row in self._rows}, self._world.now()
        for router, server in list(self._record.state_notices):  # known to the previous process
            if router == name and server not in rows:
                self._record.add_state_notice(name, server, "in_service", now)
        for row in self._rows:
            self._record.add_state_notice(name, row.id, row.state, now)
        self._registry.agents[name].router_started()

    async def _stop(self, router: Router) -> None:
        if not router.running:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        router.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await router.ended()
        except TimeoutError:
            return  # reported by a verdict; the process is killed at the end of the run
        router.facts.stopped_in = loop.time() - began

    def _reconfigure(self, name: str, discovery: str) -> None:
        """Set another address of the endpoint list for every process of a router."""
        processes = [self._routers[name], *(r for r in self._replaced if r.name == name)]
        for router in dict.fromkeys(processes):
            router.configure(discovery=discovery)
            if router.running:
                self._spawn(self._send_sighup(router))

    async def _send_sighup(self, router: Router) -> None:
        """Send SIGHUP once the process handles it.

        The signal would end a process that is still starting, which reads the changed file anyway.
        """
        if await handles_signals(router) and not self._ending:
            router.signal(signal.SIGHUP, asked=False)

    async def _restart(self, name: str, patience: float) -> None:
        """Start a router again after its end; kill it first if it runs for `patience` more seconds."""
        router = self._routers[name]
        if patience:
            try:
                async with asyncio.timeout(patience):
                    await router.ended()
            except TimeoutError:
                self._before_kill(router)
        await router.kill()
        if self._ending:
            return
        self._record_initial_list(name)
        await self._start_again(router)
        if await ready(router):
            self._front.mark_ready(name)
            self._fault_injector.recovered(name)
        else:
            router.facts.ready = False

    async def _start_again(self, router: Router) -> None:
        """Start an ended process again; a subclass may do more."""
        await router.start()

    def _before_kill(self, router: Router) -> None:
        """Record the unanswered tries of a router that did not end in time, right before its SIGKILL."""

    async def _replace(self, name: str) -> None:
        """Start a second process and stop the serving one as soon as the new one is ready."""
        old = self._routers[name]
        turn = 1 + sum(router.name == name for router in self._replaced)
        new = self._make_router(name, turn)
        self._replaced.append(new)  # until it serves, so that it is killed with the others in any case
        await new.start()
        if not await is_ready_to_take_over(new):
            if not self._ending:
                new.facts.crashed = "the process that was to take over never said yes"
            return
        self._replaced[self._replaced.index(new)] = old
        self._routers[name] = new
        await self._stop(old)
        if old.running and not self._ending:
            old.facts.crashed = "it did not end after another process had taken over"

    def _on_exit(self, router: Router, end: Exit) -> None:
        facts = router.facts
        if end.asked:
            facts.stop_code = end.code
            if end.code not in (0, -signal.SIGKILL):
                facts.crashed = f"{end} on SIGTERM"
        else:
            facts.crashed = str(end)
            self._front.mark_dead(router.name, self._world.now())
