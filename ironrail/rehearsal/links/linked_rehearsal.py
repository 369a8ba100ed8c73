"""A rehearsal with a fault plan for links, processes, clocks and disks beside its scenario's own faults."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from ironrail.errors import IronrailError
from ironrail.rehearsal.account.record import Try
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.faults import plan as faults
from ironrail.rehearsal.links.environments import LinkedGround, VirtualLinks
from ironrail.rehearsal.links.observer import Observation, Observer
from ironrail.rehearsal.links.paths import (
    ARCHIVE,
    CLIENTS,
    DISCOVERY,
    Path,
    PathEnds,
    on_connections,
    path_of,
)
from ironrail.rehearsal.links.plan import (
    CONNECTIONS,
    DATAGRAMS,
    LINKS,
    PROCESSES,
    Kind,
    LinkFault,
    Step,
    check,
    steps,
)
from ironrail.rehearsal.links.switch import Slot
from ironrail.rehearsal.run import Rehearsal, Result
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.units import write_time
from ironrail.rehearsal.standins.delay_line import Direction
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual

SIGNALS = {
    Kind.KILL: FaultKind.ROUTER_KILL,
    Kind.STOP: FaultKind.ROUTER_STOP,
    Kind.TERM: FaultKind.ROUTER_RESTART,
}
SLOTS = {
    Kind.CLOCK: Slot.CLOCK,
    Kind.DISK_FULL: Slot.DISK_FULL,
    Kind.DISK_READ_ONLY: Slot.DISK_READ_ONLY,
    Kind.DISK_FAILING: Slot.DISK_FAILING,
    Kind.DISK_SLOW: Slot.DISK_SLOW,
}


NO_BOUND = 10**9  # bound on answers kept back that no run reaches


class LinkedRehearsalError(IronrailError):
    """The fault injection itself failed; the run has no result."""

    advice = "Report it with the plan and the seed"


@dataclass(slots=True)
class ClientOutage:
    """A time in which a fault affected the path from clients to a router."""

    router: str
    number: int  # of the fault
    why: str
    began: float
    ended: float = math.inf


class LinkedRehearsal(Rehearsal):
    """One run; raises PlanError if the plan does not fit the scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        plan: Sequence[LinkFault],
        ground: LinkedGround,
        observe: str = "",
        every: float = 0.25,
        **others: Any,
    ) -> None:
        """Creates the run; `observe` is an admin page of the routers to poll every `every` seconds."""
        self._places = PathEnds.of(scenario)
        check(plan, self._places, scenario.length)
        super().__init__(
            without_unobservable_bounds(scenario, plan, self._places), seed, ground=ground, **others
        )
        self._linked, self._steps = ground, steps(plan)
        self._client_outages: list[ClientOutage] = []
        self._failed: Exception | None = None
        self.played: list[Step] = []
        self._page, self._every = observe, every
        self.seen: list[Observation] = []

    async def run(self) -> Result:
        result = await super().run()
        begun = all(facts.ready for facts in result.record.routers.values())
        if self._failed is not None or begun and len(self.played) < len(self._steps):
            raise LinkedRehearsalError(
                f"carried out {len(self.played)} of {len(self._steps)} steps"
            ) from self._failed
        return result

    async def _clear(self) -> None:
        try:
            await super()._clear()
        finally:
            self._linked.close()

    def _excuse(self, one: Try) -> str:
        now = self._world.now()
        for outage in self._client_outages:
            if outage.router == one.router and outage.began <= now and outage.ended >= one.sent_at:
                return outage.why
        return super()._excuse(one)

    # The plan

    async def _inject_faults(self) -> None:
        if self._page:
            observer = Observer(self._routers.values, self._page, self._every, self._world.now)
            self.seen = observer.seen
            self._spawn(observer.run())
        self._spawn(self._play_link_faults())
        await super()._inject_faults()

    async def _play_link_faults(self) -> None:
        try:
            for step in self._steps:
                await asyncio.sleep(max(0.0, step.at - self._world.now()))
                self._progress(self._world.now(), step.line().partition("  ")[2])
                self._step(step)
                self.played.append(step)
        except Exception as e:
            self._failed = e

    def _step(self, step: Step) -> None:
        fault, cause = step.fault, ("link", step.number)
        if fault.kind in PROCESSES:
            self._fault_injector.apply(faults.Step(step.at, step.begins, self._signal(step)))
        elif fault.kind in SLOTS:
            self._linked.links.switches[fault.on][SLOTS[fault.kind]] = fault.hardness if step.begins else 0.0
        else:
            path = path_of(fault.on, self._places)
            if fault.kind not in CONNECTIONS:
                self._datagrams(step, path)
            if fault.kind not in DATAGRAMS:
                self._connections(step, cause, path)

    def _connections(self, step: Step, cause: object, path: Path) -> None:
        for source, target, door in self._doors():
            way = Direction.IN if path.covers(source, target) else Direction(0)
            way |= Direction.OUT if path.covers(target, source) else Direction(0)
            if not way:
                continue
            self._door(step, cause, door, way, f"links.{step.number}.{source}>{target}")
            if source == CLIENTS:
                self._excuse_clients(step, target)
            elif target == DISCOVERY and step.fault.kind in (Kind.CUT, Kind.STALL):
                self._agent(step, cause, source)

    def _signal(self, step: Step) -> faults.Planned:
        fault = step.fault
        times = {"at": write_time(fault.at), "lasts": write_time(fault.lasts)}
        told = Fault.model_validate({"kind": SIGNALS[fault.kind], "whom": fault.on, **times})
        return faults.Planned(step.number, told, (fault.on,))

    def _datagrams(self, step: Step, path: Path) -> None:
        exchange = self._linked.links.exchange
        if step.begins:
            exchange.begin(step.number, step.fault, path)
        else:
            exchange.end(step.number)

    def _doors(self) -> Iterator[tuple[str, str, FaultyEndpoint]]:
        """Yields all connection paths: who connects, who accepts, and the door between."""
        for name, cache in self._fleet.caches.items():
            yield from ((router, name, door) for router, door in cache.endpoints.items())
        yield from ((router, ARCHIVE, door) for router, door in self._archive.endpoints.items())
        yield from ((router, DISCOVERY, agent.endpoint) for router, agent in self._registry.agents.items())
        yield from ((CLIENTS, router, before.door) for router, before in self._linked.links.doors.items())

    def _door(self, step: Step, cause: object, door: FaultyEndpoint, way: Direction, draws: str) -> None:
        fault = step.fault
        if fault.kind is Kind.RESET:
            door.reset_all()
        elif fault.kind in (Kind.CUT, Kind.STALL) and step.begins:
            door.begin_silence(cause, way, hang=fault.kind is Kind.CUT)
        elif fault.kind in (Kind.CUT, Kind.STALL):
            door.end_silence(cause)
        elif step.begins:
            # a loopback port can't delay its answer to a connect: see `SocketListeningPort`
            door.delays_connects = isinstance(self._linked, VirtualLinks)
            door.begin_delay(cause, way, self._delay_source(fault, draws))
        else:
            door.end_delay(cause)

    def _delay_source(self, fault: LinkFault, name: str) -> Callable[[], float]:
        if not fault.spread:
            return lambda: fault.hardness
        draws = stream(self._seed, name)
        return lambda: fault.hardness + draws.random() * fault.spread

    def _agent(self, step: Step, cause: object, router: str) -> None:
        """Keeps an agent that is cut off in either direction from counting as having notified its router."""
        agent = self._registry.agents[router]
        (agent.begin_silence if step.begins else agent.end_silence)(("told", cause))

    def _excuse_clients(self, step: Step, router: str) -> None:
        """Records the outage, as errors that clients see on a faulty path are not the router's."""
        if step.begins:
            self._client_outages.append(
                ClientOutage(router, step.number, step.fault.label(), self._world.now())
            )
            return
        late = step.fault.hardness + step.fault.spread if step.fault.kind is Kind.DELAY else 0.0
        for outage in self._client_outages:
            if outage.router == router and outage.number == step.number:
                outage.ended = self._world.now() + late


def without_unobservable_bounds(scenario: Scenario, plan: Sequence[LinkFault], places: PathEnds) -> Scenario:
    """Returns the scenario without the bound on answers kept back if a link fault hides traffic.

    A stand-in does not know of bytes held on a path, and a router that waits for the answer to them looks
    as if it kept its own answer back.
    """
    hidden = any(f.kind in LINKS and on_connections(path_of(f.on, places), places) for f in plan)
    bounds = scenario.bounds.model_copy(update={"kept_back": NO_BOUND} if hidden else {})
    return scenario.model_copy(update={"bounds": bounds})


def play_linked(
    scenario: Scenario, seed: int, plan: Sequence[LinkFault], observe: str = "", **others: Any
) -> VirtualRun:
    """Plays a scenario with a fault plan in virtual time, as `run_virtual` does."""
    made = partial(LinkedRehearsal, plan=plan, observe=observe)
    return run_virtual(scenario, seed, make_environment=VirtualLinks, make_rehearsal=made, **others)
