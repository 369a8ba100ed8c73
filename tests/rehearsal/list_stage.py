"""Discovery on a network in virtual time, with a router that a test plays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from ironrail.rehearsal.account.record import Record
from ironrail.rehearsal.standins.fleet import initial_rows, make_caches
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World
from ironrail.rehearsal.virtual.environment import VirtualEnvironment
from ironrail.rehearsal.virtual.loop import VirtualLoop
from tests.rehearsal.facts import scenario
from tests.rehearsal.stage import Wire, ask, wire

R, CACHE = "router-1", "cache-1"
ASKED = '[registry]\nasked = true\nrate = 2.0\nmust_ask = "10 s"\n'


class ListStage:
    """The agent of one router, and what the record says that the router was told."""

    def __init__(self, ground: VirtualEnvironment, text: str) -> None:
        self.record = Record()
        halls = {R: "hall-a", CACHE: "hall-a", "cache-2": "hall-b"}
        conf = scenario("[caches]\ncount = 2\n" + text)
        self.world = World(conf, 1, self.record, halls, ground.listen, ground.wall)
        caches = make_caches(self.world, [R])
        self.rows = {row.id: row for row in initial_rows(self.world, caches, {R: "127.0.0.1:1"})}
        self.registry = Registry(self.world, list(self.rows.values()), [R])
        self.agent = self.registry.agents[R]
        self.starts()

    def starts(self) -> None:
        """A process of the router, which knows the list of its configuration."""
        for row in self.rows.values():
            self.record.add_state_notice(R, row.id, row.state, self.world.now())
        self.agent.router_started()

    def learn(self, state: str) -> None:
        """The agent hears that the cache is in this state."""
        self.agent.apply_change(replace(self.rows[CACHE], state=state))

    async def connect(self) -> Wire:
        return await wire(self.agent.endpoint.address)

    async def watch(self, wait: float) -> tuple[Wire, asyncio.Task[dict[str, object]]]:
        """A connection with a watch that is open, and its answer."""
        connection = await self.connect()
        version = (await ask(connection, "/api/targets"))["version"]
        target = f"/api/targets?index={version}&wait={round(wait * 1000)}"
        answer = asyncio.ensure_future(ask(connection, target))
        await asyncio.sleep(0.05)
        assert self.agent._watches
        return connection, answer

    async def at(self, when: float) -> None:
        await asyncio.sleep(when - self.world.now())

    def told(self) -> list[tuple[float, str]]:
        """When the router was told of the cache, or counts as told: in tenths of a second."""
        return [(round(told.at, 1), told.state) for told in self.record.state_notices[R, CACHE]][1:]


def on_stage(test: Callable[[ListStage], Coroutine[Any, Any, None]], text: str = "") -> None:
    """Play a test to its end, in no time."""
    loop = VirtualLoop(1)
    ground = VirtualEnvironment(loop, scenario(), 1)

    async def bounded() -> None:
        async with asyncio.timeout(300.0):
            await test(ListStage(ground, text))

    try:
        loop.run_until_complete(bounded())
        assert not loop.errors, loop.errors
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.1))
        loop.close()
