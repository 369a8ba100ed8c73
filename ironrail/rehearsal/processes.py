"""The routers of a rehearsal: how each is started, told to end, started again or replaced by another."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from ironrail.rehearsal.account.record import Record
from ironrail.rehearsal.faults.injector import Carrier
from ironrail.rehearsal.ground import Ground, Router, ready, says_yes, takes_signals
from ironrail.rehearsal.routers import Exit
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.settings import config_of
from ironrail.rehearsal.standins.front import Front
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.rows import Row
from ironrail.rehearsal.standins.world import World

DOOR = 19000  # port of the first process's door for operators; of those that replace it the next ones
PORT = 11211  # of every router, each at a loopback address of its own
STOP_PATIENCE = 8.0  # seconds from SIGTERM until a router is killed


class Processes:
    """All routers of one run, by name; a subclass builds the world they stand in."""

    _folder: Path
    _world: World
    _rows: list[Row]
    _registry: Registry
    _front: Front
    _carrier: Carrier

    def __init__(self, scenario: Scenario, seed: int, ground: Ground) -> None:
        self._scenario, self._seed, self._ground = scenario, seed, ground
        self._record = Record()
        self._routers: dict[str, Router] = {}
        self._replaced: list[Router] = []  # processes that another one has taken over from, or is to
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that ends with the run at the latest."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _make_router(self, name: str, turn: int) -> Router:
        """A process for a router; `turn` counts those that replace one another."""
        number, ground = router_names(self._scenario).index(name), self._ground
        address = ground.address_of(number)
        config = config_of(
            self._scenario,
            self._seed,
            number,
            name,
            f"{address}:{PORT}",
            self._registry.agents[name].door.address,
            [row.told(name) for row in self._rows],
            f"{address}:{DOOR + turn}",
        )
        return ground.make_router(name, config, self._folder, self._record.routers[name], self._on_exit)

    def _told_at_start(self, name: str) -> None:
        """It begins from nothing, with the list that its configuration has: that is what it knows."""
        rows, now = {row.id for row in self._rows}, self._world.now()
        for router, server in list(self._record.told):  # what was told to the process before it
            if router == name and server not in rows:
                self._record.tell(name, server, "in_service", now)
        for row in self._rows:
            self._record.tell(name, row.id, row.state, now)
        self._registry.agents[name].started()

    async def _stop(self, router: Router) -> None:
        if not router.running:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        router.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_PATIENCE):
                await router.ended()
        except TimeoutError:
            return  # a verdict; it is killed with what else is left
        router.facts.stopped_in = loop.time() - began

    def _reconfigure(self, name: str, discovery: str) -> None:
        """Tell every process of this name that the list is told at another address."""
        there = [self._routers[name], *(r for r in self._replaced if r.name == name)]
        for router in dict.fromkeys(there):
            router.configure(discovery=discovery)
            if router.running:
                self._spawn(self._hang_up(router))

    async def _hang_up(self, router: Router) -> None:
        """SIGHUP once it can take one: a process that is only starting would end, and reads the file."""
        if await takes_signals(router) and not self._ending:
            router.signal(signal.SIGHUP, asked=False)

    async def _restart(self, name: str, patience: float) -> None:
        """Start it again once it has ended; it is killed after so many seconds."""
        router = self._routers[name]
        if patience:
            try:
                async with asyncio.timeout(patience):
                    await router.ended()
            except TimeoutError:
                self._will_kill(router)
        await router.kill()
        if self._ending:
            return
        self._told_at_start(name)
        await self._start_again(router)
        if await ready(router):
            self._front.ready(name)
            self._carrier.recovered(name)
        else:
            router.facts.ready = False

    async def _start_again(self, router: Router) -> None:
        """Start a process that has ended."""
        await router.start()

    def _will_kill(self, router: Router) -> None:
        """Record what is unanswered at a router that did not end in time, right before its SIGKILL."""

    async def _replace(self, name: str) -> None:
        """Start another process beside the one that serves, and end that once the new one says yes."""
        old = self._routers[name]
        turn = 1 + sum(router.name == name for router in self._replaced)
        new = self._make_router(name, turn)
        self._replaced.append(new)  # until it serves, to be ended with the others whatever happens
        await new.start()
        if not await says_yes(new):
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
            self._front.died(router.name, self._world.now())
