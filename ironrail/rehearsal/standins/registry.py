"""Discovery: carries what happens to the caches to the agent beside each router, some time after it."""

from __future__ import annotations

import asyncio

from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.agent import Agent
from ironrail.rehearsal.standins.call_queue import Desk
from ironrail.rehearsal.standins.endpoint_list import Row
from ironrail.rehearsal.standins.world import World


class Registry:
    """Carries changes to all agents, each after its own delay."""

    def __init__(self, world: World, rows: list[Row], routers: list[str]) -> None:
        self._world = world
        self._loop = asyncio.get_running_loop()
        self._draws = world.draws("registry")
        self._last: dict[tuple[str, str], float] = {}  # when the latest change of a row reaches an agent
        self.rows = {row.id: row for row in rows}
        conf = world.scenario.registry
        self._desk = Desk(conf.rate, conf.patience) if conf.asked else None
        self.agents = {router: Agent(world, router, rows, self._desk) for router in routers}
        self._crowds: dict[object, float] = {}
        self._lates: dict[object, float] = {}  # seconds, by cause

    def change(self, row: Row, after: float) -> None:
        """Something changed: agents hear of it so much later, and of changes of one server in their order."""
        if row.state == "terminated":
            self.rows.pop(row.id, None)
        else:
            self.rows[row.id] = row
        late = max(self._lates.values(), default=0.0)
        for router, agent in self.agents.items():
            delay = after + self._draws.random() * self._world.scenario.registry.spread + late
            at = max(self._loop.time() + delay, self._last.get((router, row.id), 0.0) + 1e-3)
            self._last[router, row.id] = at
            self._loop.call_at(at, agent.learn, row)

    def trouble(self, cause: object, kind: FaultKind, hard: float) -> None:
        """Calls take so many times as long, news comes seconds late, or a share of answers is spoilt."""
        if kind is FaultKind.LIST_CROWDED:
            self._crowds[cause] = hard
            self._pace()
        elif kind is FaultKind.LIST_LATE:
            self._lates[cause] = hard
        else:
            for agent in self.agents.values():
                agent.begin_trouble(cause, kind, hard)

    def well(self, cause: object) -> None:
        """A trouble is over."""
        self._lates.pop(cause, None)
        if self._crowds.pop(cause, None) is not None:
            self._pace()
        for agent in self.agents.values():
            agent.end_trouble(cause)

    def silence_watches(self) -> None:
        """All calls that are open now are never answered; later ones, on other connections, are."""
        for agent in self.agents.values():
            agent.fall_silent()

    def reset_watches(self) -> None:
        """All watches that are open now end with a reset."""
        for agent in self.agents.values():
            agent.reset_watches()

    def _pace(self) -> None:
        if self._desk is not None:
            self._desk.slower = max([1.0, *self._crowds.values()])

    def close(self) -> None:
        for agent in self.agents.values():
            agent.close()
