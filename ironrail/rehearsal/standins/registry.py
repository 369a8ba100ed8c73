"""Discovery: carries changes of the caches to the agent beside each router, after a delay."""

from __future__ import annotations

import asyncio

from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.agent import Agent
from ironrail.rehearsal.standins.call_queue import CallQueue
from ironrail.rehearsal.standins.endpoint_list import EndpointRow
from ironrail.rehearsal.standins.world import World


class Registry:
    """Propagates changes of the endpoint list to all agents, to each after its own delay."""

    def __init__(self, world: World, rows: list[EndpointRow], routers: list[str]) -> None:
        self._world = world
        self._loop = asyncio.get_running_loop()
        self._draws = world.draws("registry")
        # when the latest change of a row reaches an agent, by router and server
        self._latest_at: dict[tuple[str, str], float] = {}
        self.rows = {row.id: row for row in rows}
        conf = world.scenario.registry
        self._queue = CallQueue(conf.rate, conf.patience) if conf.asked else None
        self.agents = {router: Agent(world, router, rows, self._queue) for router in routers}
        self._slowdowns: dict[object, float] = {}  # factors on the duration of calls, by cause
        self._delays: dict[object, float] = {}  # seconds, by cause

    def publish(self, row: EndpointRow, delay: float) -> None:
        """Sends a change to all agents after `delay` seconds.

        Changes of one server arrive in order.
        """
        if row.state == "terminated":
            self.rows.pop(row.id, None)
        else:
            self.rows[row.id] = row
        fault_delay = max(self._delays.values(), default=0.0)
        for router, agent in self.agents.items():
            total = delay + self._draws.random() * self._world.scenario.registry.spread + fault_delay
            at = max(self._loop.time() + total, self._latest_at.get((router, row.id), 0.0) + 1e-3)
            self._latest_at[router, row.id] = at
            self._loop.call_at(at, agent.apply_change, row)

    def begin_fault(self, cause: object, kind: FaultKind, severity: float) -> None:
        """Begins a fault.

        Depending on `kind`, `severity` is a factor on the duration of calls, the seconds by which
        changes are delayed, or the share of answers that is corrupted.
        """
        if kind is FaultKind.LIST_CROWDED:
            self._slowdowns[cause] = severity
            self._update_slowdown()
        elif kind is FaultKind.LIST_LATE:
            self._delays[cause] = severity
        else:
            for agent in self.agents.values():
                agent.begin_answer_fault(cause, kind, severity)

    def end_fault(self, cause: object) -> None:
        """Ends the fault of this cause."""
        self._delays.pop(cause, None)
        if self._slowdowns.pop(cause, None) is not None:
            self._update_slowdown()
        for agent in self.agents.values():
            agent.end_answer_fault(cause)

    def mute_open_calls(self) -> None:
        """Never answers the calls that are open now; later ones are, on other connections."""
        for agent in self.agents.values():
            agent.mute_open_calls()

    def reset_watches(self) -> None:
        """Resets the connections of all watches that are open now."""
        for agent in self.agents.values():
            agent.reset_watches()

    def _update_slowdown(self) -> None:
        if self._queue is not None:
            self._queue.slowdown = max([1.0, *self._slowdowns.values()])

    def close(self) -> None:
        """Ends the stand-ins with the run."""
        for agent in self.agents.values():
            agent.close()
