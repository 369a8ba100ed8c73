"""Runs router processes in three zones that reach consensus, and observes their decisions from outside.

    stage, result = play(folder, [], 0.0, during_load)     # `during_load(stage)` runs beside the load

The load lasts as long as `during_load` does, so no run ends before what it waits for. Faults of the plan
begin and end at their times; others through `Stage.begin` and `Stage.end`, in reaction to what was observed.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from ironrail.errors import IronrailError
from ironrail.rehearsal.links.consensus_checks import ObservedDecision, find_incompatible, find_mixed
from ironrail.rehearsal.links.consensus_rehearsal import (
    LEASE_SECONDS,
    MAX_LOAD_SECONDS,
    ConsensusRehearsal,
    consensus_scenario,
    operator_file,
)
from ironrail.rehearsal.links.environments import RealLinks
from ironrail.rehearsal.links.linked_rehearsal import without_unobservable_bounds
from ironrail.rehearsal.links.paths import PathEnds
from ironrail.rehearsal.links.plan import LinkFault, check, steps
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names

TIMEOUTS_SECONDS = (20.0, 50.0, 4.0)  # in the order of `accord_launch`; the daemon's defaults
POLL_SECONDS = 0.03  # between two polls of a router
CALL_TIMEOUT_SECONDS = 0.5  # short, as a stopped process must not delay the next poll
SEED = 3


class StageError(IronrailError):
    """The routers of a consensus run did not start."""

    advice = "Look at what they logged; addresses or memory may be taken by other runs on the machine"


@dataclass
class Stage:
    """Controls a run: calls the routers' admin endpoints, begins and ends faults, records decisions."""

    rehearsal: ConsensusRehearsal
    routers: list[str]
    every: float = POLL_SECONDS
    seen: list[ObservedDecision] = field(default_factory=list)
    taps: list[Callable[[str, bytes], bool]] = field(default_factory=list)

    def begin(self, fault: LinkFault) -> int:
        """Begins a fault now, whatever its times; returns the number to end it with."""
        return self.rehearsal.begin(fault)

    def end(self, number: int) -> None:
        self.rehearsal.end(number)

    async def play_plan(self, plan: Sequence[LinkFault]) -> None:
        """Plays a plan whose times count from now."""
        began, numbers = self.rehearsal.now(), dict[int, int]()
        for step in steps(plan):
            await asyncio.sleep(max(0.0, began + step.at - self.rehearsal.now()))
            if step.begins:
                numbers[step.number] = self.begin(step.fault)
            else:
                self.end(numbers[step.number])

    async def call(self, router: str, path: str, body: str | None = None) -> tuple[int, str]:
        """Calls the admin endpoint; returns status and body, status 0 if there is no answer."""
        data = (body or "").encode()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.rehearsal.admin_address_of(router))
                try:
                    method = "POST" if body is not None else "GET"
                    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
                    writer.write(head.encode() + data)
                    answer = await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0, ""
        head_bytes, _, rest = answer.partition(b"\r\n\r\n")
        return (int(head_bytes.split()[1]), rest.decode()) if head_bytes else (0, "")

    async def policy(self, router: str) -> dict[str, Any]:
        """Returns the router's policy page, empty if it gives none, and records its decision in `seen`."""
        asked = self.rehearsal.now()
        status, body = await self.call(router, "/-/policy")
        try:
            page = dict(json.loads(body)) if status == 200 else {}
        except ValueError:  # killed while it answered
            return {}
        if page.get("versions"):
            self.seen.append(ObservedDecision(router, asked, self.rehearsal.now(), tuple(page["versions"])))
        return page

    async def poll(self, router: str) -> None:
        """Polls the router's policy page until cancelled."""
        while True:
            await self.policy(router)
            await asyncio.sleep(self.every)

    async def bootstrap(self, router: str) -> None:
        """Bootstraps the first policy and waits until all decide by it; repeats an offer that was lost."""
        while not (await self.policy(router)).get("versions"):
            await self.call(router, "/-/policy/found", "epoch = 1\nversion = 1\n")
            await asyncio.sleep(1.0)
        await self.wait_until(1, *self.routers, within=MAX_LOAD_SECONDS)

    async def propose(self, router: str, version: int) -> tuple[int, str]:
        """Proposes a policy change; returns status and body."""
        return await self.call(router, "/-/policy", f"version = {version}\nrates = {{ daily = {version} }}\n")

    async def wait_until(self, version: int, *routers: str, within: float = 8.0) -> float:
        """Waits until these routers decide by this version alone; returns the seconds that it took."""
        clock = asyncio.get_running_loop().time
        began = clock()
        async with asyncio.timeout(within):
            for router in routers:
                while (await self.policy(router)).get("versions") != [version]:
                    await asyncio.sleep(self.every)
        return clock() - began

    async def wait_until_same(self, *routers: str, within: float) -> int:
        """Waits until these routers decide by one and the same version alone; returns it."""
        async with asyncio.timeout(within):
            while True:
                page = await asyncio.gather(*(self.policy(router) for router in routers))
                versions = {tuple(one.get("versions", ())) for one in page}
                if len(versions) == 1 and len(alone := versions.pop()) == 1:
                    return int(alone[0])
                await asyncio.sleep(self.every)

    def find_mixed(self) -> list[tuple[ObservedDecision, ObservedDecision]]:
        return find_mixed(self.seen)

    def find_incompatible(self) -> list[tuple[ObservedDecision, ObservedDecision]]:
        return find_incompatible(self.seen)


def _describe_unready(result: Result) -> str:
    """Names the routers that are not ready, with the end of their logs."""
    facts = result.record.routers.items()
    return "; ".join(f"{n}: {f.crashed} {result.logs[n][-300:]!r}" for n, f in facts if not f.ready)


def play(
    folder: Path,
    plan: Sequence[LinkFault],
    length: float,
    during_load: Callable[[Stage], Awaitable[None]],
    *,
    scenario: Scenario | None = None,
    seed: int = SEED,
    times: tuple[float, float, float] = TIMEOUTS_SECONDS,
    manual_faults: Sequence[LinkFault] = (),
    every: float = POLL_SECONDS,
    lease: float = LEASE_SECONDS,
) -> tuple[Stage, Result]:
    """Runs the routers under load until `during_load` has ended.

    Args:
        folder: Where the files of the run are written.
        plan: Faults that begin and end at their times.
        length: Minimum seconds of load.
        during_load: Runs beside the load, with the stage.
        scenario: Scenario to play; `consensus_scenario()` by default.
        seed: Seed of the run.
        times: Timeouts of a change in seconds, as `accord_launch` takes them.
        manual_faults: Faults that `during_load` begins itself; bounds that can't be checked under them are
            not checked.
        every: Seconds between two polls of a router.
        lease: Lease duration in seconds.

    Raises:
        PlanError: A fault is invalid.
        StageError: The routers did not start.
    """
    scenario = scenario or consensus_scenario()
    check(manual_faults, places := PathEnds.of(scenario), MAX_LOAD_SECONDS)
    scenario = without_unobservable_bounds(scenario, manual_faults, places)
    min_load_seconds = max([length, *(fault.ends for fault in plan)])

    async def run() -> tuple[Stage, Result]:
        path = operator_file(folder, scenario, lease)
        launch = (sys.executable, "-B", "-m", "ironrail.rehearsal.links.accord_launch")
        ground = RealLinks(scenario, seed, (*launch, *map(str, times), "--operator", str(path)))
        rehearsal = ConsensusRehearsal(
            scenario, seed, plan=plan, ground=ground, min_load_seconds=min_load_seconds
        )
        stage = Stage(rehearsal, router_names(scenario), every)
        ground.datagrams.tap = lambda source, data: all(tap(source, data) for tap in stage.taps)
        running = asyncio.ensure_future(rehearsal.run())
        watchers = []
        try:
            beginning = asyncio.ensure_future(rehearsal.load_started.wait())
            await asyncio.wait([beginning, running], return_when=asyncio.FIRST_COMPLETED)
            beginning.cancel()
            if running.done():
                raise StageError(_describe_unready(running.result()))
            watchers = [asyncio.ensure_future(stage.poll(router)) for router in stage.routers]
            await during_load(stage)
            rehearsal.load_may_end.set()
            result = await running
        finally:
            for task in (*watchers, running):
                task.cancel()
            await asyncio.gather(*watchers, running, return_exceptions=True)
        return stage, result

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
