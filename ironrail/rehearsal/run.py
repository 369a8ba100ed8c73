"""One rehearsal from start to end: stand-ins, routers, load and faults, and what was seen of it."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from ironrail.rehearsal.account.record import RouterFacts, Try
from ironrail.rehearsal.account.rules import find_violations
from ironrail.rehearsal.account.service import measure_service
from ironrail.rehearsal.faults import plan as faults
from ironrail.rehearsal.faults.injector import Carrier
from ironrail.rehearsal.ground import Ground, RealGround, Router, ready
from ironrail.rehearsal.lateness import Lateness
from ironrail.rehearsal.load.schedule import Planned, digest, make_schedule
from ironrail.rehearsal.processes import Processes
from ironrail.rehearsal.result import Result, Sample
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, hall_of, router_names
from ironrail.rehearsal.standins.archive import Archive
from ironrail.rehearsal.standins.clients import Clients
from ironrail.rehearsal.standins.fleet import Fleet, make_caches, rows_of
from ironrail.rehearsal.standins.front import Front, Seen
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World
from ironrail.rehearsal.verdicts import judge

START = 0.2  # seconds between the last router's being ready and the first request
SAMPLE = 0.25  # seconds between looks at the state of everything
HEARD = 0.1  # seconds in which a router has heard of a client that closed: none may still be on its way
END_PATIENCE = 10.0  # seconds for what is out after the last fault: every request has a deadline before that

__all__ = ["Progress", "Rehearsal", "Result"]

Progress = Callable[[float, str], None]


async def ask_nothing() -> None:
    """Look at nothing before the routers are stopped."""


class Rehearsal(Processes):
    """One run."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        ground: Ground | None = None,
        progress: Progress = lambda at, text: None,
        at_rest: Callable[[], Awaitable[None]] = ask_nothing,
        schedule: list[Planned] | None = None,
    ) -> None:
        """Prepare a run.

        Args:
            scenario: The world, its load and its faults.
            seed: Of all draws.
            ground: Real processes, or virtual ones.
            progress: Told what happens, and when.
            at_rest: Awaited once nothing is out any more and the routers still run.
            schedule: What clients ask for, in place of what the scenario would have drawn.
        """
        super().__init__(scenario, seed, ground if ground is not None else RealGround(OWN_ROUTER))
        self._progress, self._at_rest = progress, at_rest
        self._schedule = make_schedule(scenario, seed) if schedule is None else schedule
        self._plan = faults.make_plan(scenario, seed)
        self._lateness = Lateness()
        self._samples: list[Sample] = []

    async def run(self) -> Result:
        """Play it to its end. Whatever happens no process and no port is left."""
        with tempfile.TemporaryDirectory(prefix="ironrail-") as folder:
            self._build(Path(folder))
            try:
                why = await self._play()
            finally:
                await self._clear()
        return self._result(why)

    # Parts

    def _build(self, folder: Path) -> None:
        scenario, names = self._scenario, router_names(self._scenario)
        halls = {n: hall_of(scenario, i) for i, n in enumerate(names)}
        halls |= {n: hall_of(scenario, i) for i, n in enumerate(cache_names(scenario))}
        ground = self._ground
        self._world = World(scenario, self._seed, self._record, halls, ground.listen, ground.wall)
        caches = make_caches(self._world, names)
        self._archive = Archive(self._world, "archive", "", names)
        addresses = {router: door.address for router, door in self._archive.doors.items()}
        rows = rows_of(self._world, caches, addresses)
        self._rows = rows
        self._registry = Registry(self._world, rows, names)
        self._fleet = Fleet(self._world, caches, self._registry)
        self._front = Front(scenario.routers.front_notice, {n: Seen(halls[n]) for n in names})
        self._folder = folder
        for name in names:
            self._record.routers[name] = RouterFacts()
            self._routers[name] = self._make_router(name, 0)
            self._told_at_start(name)
        self._clients = Clients(self._world, self._front, {n: r.address for n, r in self._routers.items()})
        self._carrier = Carrier(
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
        self._clients.excused = self._excuse

    def _excuse(self, one: Try) -> str:
        return self._carrier.excuse(one.router, one.sent_at, self._world.now())

    def _will_kill(self, router: Router) -> None:
        self._clients.router_killed(router.name)

    # The run

    async def _play(self) -> str:
        """Start, load, end; answers with why the run tells nothing, if so."""
        self._progress(0.0, "starting routers")
        for router in self._routers.values():
            await router.start()
        are_ready = await asyncio.gather(*(ready(router) for router in self._routers.values()))
        if not all(are_ready):
            return ""  # a verdict, and nothing to send to
        self._ground.settled()
        loop = asyncio.get_running_loop()
        self._world.start = loop.time() + START + self._scenario.warm_up
        self._spawn(self._sample())
        faults_carried_out = self._spawn(self._carry_out())
        await self._load()
        await self._finish()
        await faults_carried_out  # an error there means that fewer were played than planned
        return self._lateness.too_late()

    async def _load(self) -> None:
        """Send each first try when it is due, whatever became of those before."""
        loop = asyncio.get_running_loop()
        for planned in self._schedule:
            delay = self._world.start + planned.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self._lateness.add(self._world.now() - planned.at)
            self._clients.send(planned)
        await asyncio.sleep(max(0.0, self._scenario.length - self._world.now()))

    async def _carry_out(self) -> None:
        for step in faults.steps(self._plan):
            await asyncio.sleep(max(0.0, step.at - self._world.now()))
            self._progress(
                self._world.now(), f"{'begins' if step.begins else 'ends'}: {step.planned.label()}"
            )
            self._carrier.carry_out(step)

    async def _finish(self) -> None:
        """Wait for what is out, and for faults that outlast the load, then stop the routers."""
        self._progress(self._world.now(), "waiting for what is out")
        last = max((p.ends for p in self._plan), default=0.0)
        await asyncio.sleep(max(0.0, last - self._world.now()))
        try:
            async with asyncio.timeout(END_PATIENCE):
                await self._clients.quiet()
        except TimeoutError:  # can't be: each try has a timer
            self._record.stray(self._world.now(), "clients", f"{self._clients.waiting()} never ended")
        if any(one.left_at is not None for one in self._record.tries.values()):
            await asyncio.sleep(HEARD)
        if not self._scenario.limits.may_cancel:  # what lost to another attempt stays out for its time
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
                    self._clients.waiting(),
                    self._archive.load,
                    sum(len(cache.work) for cache in caches),
                    sum(len(cache.connections) for cache in caches),
                    max((memory for memory, _ in usage), default=0),
                    max((descriptors for _, descriptors in usage), default=0),
                )
            )
            self._progress(self._world.now(), "")
            await asyncio.sleep(SAMPLE)

    async def _clear(self) -> None:
        self._ending = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._clients.close()
        everybody = [*self._routers.values(), *self._replaced]
        await asyncio.gather(*(router.kill() for router in everybody))
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
