"""Routers as processes in three halls that come to accords, and who watches them from outside.

    stage, result = play(folder, [], 0.0, meanwhile)     # `meanwhile(stage)` goes on beside the load

The load lasts as long as `meanwhile` does, so that no run ends before what it waits for. Faults of the plan
begin and end by their times; others by `Stage.begin` and `Stage.end`, when something was seen.
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
from ironrail.rehearsal.links.consensus_checks import Decides, apart, mixed
from ironrail.rehearsal.links.consensus_rehearsal import LEASE, LONGEST, Staged, operator_file, world
from ironrail.rehearsal.links.environments import RealLinks
from ironrail.rehearsal.links.linked_rehearsal import judged
from ironrail.rehearsal.links.paths import Places
from ironrail.rehearsal.links.plan import LinkFault, check, steps
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names

TIMES = (20.0, 50.0, 4.0)  # as `accord_launch` has them: the daemon's own
EVERY = 0.03  # seconds between two looks at a router
PATIENCE = 0.5  # seconds for its answer: a process that stands still must not hold up the next look for long
SEED = 3


class StageError(IronrailError):
    """The routers of a run of accords didn't come up."""

    advice = "Look at what they logged; addresses or memory may be taken by other runs on the machine"


@dataclass
class Stage:
    """The doors of all routers, and what goes wrong with them."""

    rehearsal: Staged
    routers: list[str]
    every: float = EVERY
    seen: list[Decides] = field(default_factory=list)
    taps: list[Callable[[str, bytes], bool]] = field(default_factory=list)

    def begin(self, fault: LinkFault) -> int:
        """At once, whatever times it has; it lasts until it is ended by the number."""
        return self.rehearsal.begin(fault)

    def end(self, number: int) -> None:
        self.rehearsal.end(number)

    async def carry(self, plan: Sequence[LinkFault]) -> None:
        """Play a plan whose times count from now."""
        began, numbers = self.rehearsal.now(), dict[int, int]()
        for step in steps(plan):
            await asyncio.sleep(max(0.0, began + step.at - self.rehearsal.now()))
            if step.begins:
                numbers[step.number] = self.begin(step.fault)
            else:
                self.end(numbers[step.number])

    async def call(self, router: str, path: str, body: str | None = None) -> tuple[int, str]:
        """Status and body; 0 where nobody answers."""
        data = (body or "").encode()
        try:
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection(*self.rehearsal.door_of(router))
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
        """Its page, empty where it gives none; what it decides by is kept among what was seen."""
        asked = self.rehearsal.now()
        status, body = await self.call(router, "/-/policy")
        try:
            told = dict(json.loads(body)) if status == 200 else {}
        except ValueError:  # killed while it answered
            return {}
        if told.get("versions"):
            self.seen.append(Decides(router, asked, self.rehearsal.now(), tuple(told["versions"])))
        return told

    async def watch(self, router: str) -> None:
        """Look again and again what it decides by."""
        while True:
            await self.policy(router)
            await asyncio.sleep(self.every)

    async def found(self, router: str) -> None:
        """The first policy is in force everywhere; an offer may be lost, and is made again."""
        while not (await self.policy(router)).get("versions"):
            await self.call(router, "/-/policy/found", "epoch = 1\nversion = 1\n")
            await asyncio.sleep(1.0)
        await self.until(1, *self.routers, within=LONGEST)

    async def propose(self, router: str, version: int) -> tuple[int, str]:
        """Ask for a change."""
        return await self.call(router, "/-/policy", f"version = {version}\nrates = {{ daily = {version} }}\n")

    async def until(self, version: int, *routers: str, within: float = 8.0) -> float:
        """Wait until these decide by this version alone; the seconds that it took."""
        clock = asyncio.get_running_loop().time
        began = clock()
        async with asyncio.timeout(within):
            for router in routers:
                while (await self.policy(router)).get("versions") != [version]:
                    await asyncio.sleep(self.every)
        return clock() - began

    async def same(self, *routers: str, within: float) -> int:
        """Wait until all of these decide by one version alone, and the same; which."""
        async with asyncio.timeout(within):
            while True:
                told = await asyncio.gather(*(self.policy(router) for router in routers))
                versions = {tuple(one.get("versions", ())) for one in told}
                if len(versions) == 1 and len(alone := versions.pop()) == 1:
                    return int(alone[0])
                await asyncio.sleep(self.every)

    def mixed(self) -> list[tuple[Decides, Decides]]:
        return mixed(self.seen)

    def apart(self) -> list[tuple[Decides, Decides]]:
        return apart(self.seen)


def _unready(result: Result) -> str:
    """Who isn't ready, and the end of what it logged."""
    facts = result.record.routers.items()
    return "; ".join(f"{n}: {f.crashed} {result.logs[n][-300:]!r}" for n, f in facts if not f.ready)


def play(
    folder: Path,
    plan: Sequence[LinkFault],
    length: float,
    meanwhile: Callable[[Stage], Awaitable[None]],
    *,
    scenario: Scenario | None = None,
    seed: int = SEED,
    times: tuple[float, float, float] = TIMES,
    foreseen: Sequence[LinkFault] = (),
    every: float = EVERY,
    lease: float = LEASE,
) -> tuple[Stage, Result]:
    """Run all of it; the load ends after `meanwhile`, and lasts so many seconds at the least.

    `foreseen`: faults that `meanwhile` begins itself; what can't be judged with them is not. PlanError if
    one can't be.
    """
    scenario = scenario or world()
    check(foreseen, places := Places.of(scenario), LONGEST)
    scenario = judged(scenario, foreseen, places)
    least = max([length, *(fault.ends for fault in plan)])

    async def run() -> tuple[Stage, Result]:
        path = operator_file(folder, scenario, lease)
        launch = (sys.executable, "-B", "-m", "ironrail.rehearsal.links.accord_launch")
        ground = RealLinks(scenario, seed, (*launch, *map(str, times), "--operator", str(path)))
        rehearsal = Staged(scenario, seed, plan=plan, ground=ground, least=least)
        stage = Stage(rehearsal, router_names(scenario), every)
        ground.datagrams.tap = lambda source, data: all(tap(source, data) for tap in stage.taps)
        running = asyncio.ensure_future(rehearsal.run())
        watchers = []
        try:
            beginning = asyncio.ensure_future(rehearsal.began.wait())
            await asyncio.wait([beginning, running], return_when=asyncio.FIRST_COMPLETED)
            beginning.cancel()
            if running.done():
                raise StageError(_unready(running.result()))
            watchers = [asyncio.ensure_future(stage.watch(router)) for router in stage.routers]
            await meanwhile(stage)
            rehearsal.over.set()
            result = await running
        finally:
            for task in (*watchers, running):
                task.cancel()
            await asyncio.gather(*watchers, running, return_exceptions=True)
        return stage, result

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
