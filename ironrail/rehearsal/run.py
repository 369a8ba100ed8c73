"""Runs one rehearsal: stand-ins, routers, load and faults, and the evaluation of what was recorded."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from ironrail.rehearsal.account.record import RouterFacts, Try
from ironrail.rehearsal.account.rules import find_violations
from ironrail.rehearsal.account.service import measure_service
from ironrail.rehearsal.faults import plan as faults
from ironrail.rehearsal.faults.injector import FaultInjector
from ironrail.rehearsal.ground import Ground, RealGround, Router, ready
from ironrail.rehearsal.lateness import Lateness
from ironrail.rehearsal.load.schedule import Planned, digest, make_schedule
from ironrail.rehearsal.processes import RouterManager
from ironrail.rehearsal.result import Result, Sample
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names, zone_of
from ironrail.rehearsal.standins.clients import Clients
from ironrail.rehearsal.standins.fleet import Fleet, initial_rows, make_caches
from ironrail.rehearsal.standins.load_balancer import LoadBalancer, RouterState
from ironrail.rehearsal.standins.origin_server import OriginServer
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World
from ironrail.rehearsal.verdicts import judge

LOAD_DELAY_SECONDS = 0.2  # between the readiness of the last router and the first request
SAMPLE_INTERVAL_SECONDS = 0.25  # between two samples of the state of all components
DEPARTURE_NOTICE_SECONDS = 0.1  # after which each router has noticed every client that closed its connection
END_TIMEOUT_SECONDS = 10.0  # for open requests after the last fault; each has an earlier deadline

__all__ = ["Progress", "Rehearsal", "Result"]

Progress = Callable[[float, str], None]


async def do_nothing() -> None:
    """Do nothing before the routers are stopped."""


class Rehearsal(RouterManager):
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        ground: Ground | None = None,
        progress: Progress = lambda at, text: None,
        at_rest: Callable[[], Awaitable[None]] = do_nothing,
        schedule: list[Planned] | None = None,
    ) -> None:
        """Prepare a run.

        Args:
            scenario: The components, the load and the faults.
            seed: Seed of all random draws.
            ground: The environment: real processes, or virtual ones.
            progress: Called with the time and a description of each event.
            at_rest: Awaited when no request is open any more and the routers still run.
            schedule: The clients' requests, in place of those drawn for the scenario.
        """
        super().__init__(scenario, seed, ground if ground is not None else RealGround(OWN_ROUTER))
        self._progress, self._at_rest = progress, at_rest
        self._schedule = make_schedule(scenario, seed) if schedule is None else schedule
        self._plan = faults.make_plan(scenario, seed)
        self._lateness = Lateness()
        self._samples: list[Sample] = []

    async def run(self) -> Result:
        """Run the scenario to its end; releases all processes and ports, also on errors."""
        with tempfile.TemporaryDirectory(prefix="ironrail-") as folder:
            self._build(Path(folder))
            try:
                why = await self._play()
            finally:
                await self._clear()
        return self._result(why)

    # Set-up

    def _build(self, folder: Path) -> None:
        scenario, names = self._scenario, router_names(self._scenario)
        zones = {n: zone_of(scenario, i) for i, n in enumerate(names)}
        zones |= {n: zone_of(scenario, i) for i, n in enumerate(cache_names(scenario))}
        ground = self._ground
        self._world = World(scenario, self._seed, self._record, zones, ground.listen, ground.wall)
        caches = make_caches(self._world, names)
        self._archive = OriginServer(self._world, "archive", "", names)
        addresses = {router: door.address for router, door in self._archive.endpoints.items()}
        rows = initial_rows(self._world, caches, addresses)
        self._rows = rows
        self._registry = Registry(self._world, rows, names)
        self._fleet = Fleet(self._world, caches, self._registry)
        self._front = LoadBalancer(scenario.routers.front_notice, {n: RouterState(zones[n]) for n in names})
        self._folder = folder
        for name in names:
            self._record.routers[name] = RouterFacts()
            self._routers[name] = self._make_router(name, 0)
            self._record_initial_list(name)
        self._clients = Clients(self._world, self._front, {n: r.address for n, r in self._routers.items()})
        self._fault_injector = FaultInjector(
            self._world,
            self._fleet,
            self._archive,
            self._registry,
            self._front,
            self._routers,
            lambda name, patience: self._spawn(self._restart(name, patience)),
            lambda name: self._spawn(self._replace(name)),
            self._reconfigure,
            self._clients.leave,
        )
        self._clients.excuse_of = self._excuse

    def _excuse(self, one: Try) -> str:
        return self._fault_injector.excuse(one.router, one.sent_at, self._world.now())

    def _before_kill(self, router: Router) -> None:
        self._clients.router_killed(router.name)

    # The run

    async def _play(self) -> str:
        """Start the routers, play load and faults, stop; return why there is no verdict, if so."""
        self._progress(0.0, "starting routers")
        for router in self._routers.values():
            await router.start()
        are_ready = await asyncio.gather(*(ready(router) for router in self._routers.values()))
        if not all(are_ready):
            return ""  # reported by a verdict; without routers there is no load
        self._ground.settled()
        loop = asyncio.get_running_loop()
        self._world.start = loop.time() + LOAD_DELAY_SECONDS + self._scenario.warm_up
        self._spawn(self._sample())
        faults_injected = self._spawn(self._inject_faults())
        await self._load()
        await self._finish()
        await faults_injected  # raises if not all planned faults were injected
        return self._lateness.too_late()

    async def _load(self) -> None:
        """Send each first try at its scheduled time, regardless of the results of earlier ones."""
        loop = asyncio.get_running_loop()
        for planned in self._schedule:
            delay = self._world.start + planned.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self._lateness.add(self._world.now() - planned.at)
            self._clients.send(planned)
        await asyncio.sleep(max(0.0, self._scenario.length - self._world.now()))

    async def _inject_faults(self) -> None:
        for step in faults.steps(self._plan):
            await asyncio.sleep(max(0.0, step.at - self._world.now()))
            self._progress(
                self._world.now(), f"{'begins' if step.begins else 'ends'}: {step.planned.label()}"
            )
            self._fault_injector.apply(step)

    async def _finish(self) -> None:
        """Wait for open requests and for faults that outlast the load, then stop the routers."""
        self._progress(self._world.now(), "waiting for what is out")
        last = max((p.ends for p in self._plan), default=0.0)
        await asyncio.sleep(max(0.0, last - self._world.now()))
        try:
            async with asyncio.timeout(END_TIMEOUT_SECONDS):
                await self._clients.wait_until_idle()
        except TimeoutError:  # not expected, as each try has a timer
            self._record.stray(self._world.now(), "clients", f"{self._clients.num_open_tries()} never ended")
        if any(one.left_at is not None for one in self._record.tries.values()):
            await asyncio.sleep(DEPARTURE_NOTICE_SECONDS)
        if (
            not self._scenario.limits.may_cancel
        ):  # attempts that are no longer needed stay open until their time is up
            await asyncio.sleep(max(kind.give_up for kind in self._scenario.classes))
        await self._at_rest()
        self._progress(self._world.now(), "stopping routers")
        self._ending = True
        await asyncio.gather(*(self._stop(router) for router in self._routers.values()))

    async def _sample(self) -> None:
        while not self._ending:
            usage = [u for r in self._routers.values() if (u := r.sample()) is not None]
            caches = self._fleet.caches.values()
            self._samples.append(
                Sample(
                    self._world.now(),
                    self._clients.num_open_tries(),
                    self._archive.load,
                    sum(len(cache.work) for cache in caches),
                    sum(len(cache.connections) for cache in caches),
                    max((memory for memory, _ in usage), default=0),
                    max((descriptors for _, descriptors in usage), default=0),
                )
            )
            self._progress(self._world.now(), "")
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def _clear(self) -> None:
        self._ending = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._clients.close()
        routers = [*self._routers.values(), *self._replaced]
        await asyncio.gather(*(router.kill() for router in routers))
        self._fleet.close()
        self._archive.close()
        self._registry.close()

    def _result(self, why: str) -> Result:
        scenario, record = self._scenario, self._record
        service = measure_service(record, scenario, self._schedule)
        broken = find_violations(record, scenario)
        counted = [s.connections for s in self._samples if s.at >= 0]
        mean = sum(counted) / len(counted) / scenario.caches.count if counted else 0.0
        return Result(
            scenario,
            self._seed,
            self._schedule,
            digest(self._schedule),
            self._plan,
            record,
            service,
            broken,
            judge(scenario, service, record, broken, mean),
            self._lateness,
            self._samples,
            why,
            self._ground.digest(),
            {name: router.log.decode(errors="replace") for name, router in self._routers.items()},
            self._world.start,
        )
