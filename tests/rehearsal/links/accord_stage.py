"""Seven routers as processes in three halls that come to accords, and who watches them from outside."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from ironrail.rehearsal.links.byhand import ByHand
from ironrail.rehearsal.links.grounds import LAUNCH, RealLinks
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import hall_of

ROUTERS = 7
VOTERS = (0, 1, 2)  # one in each hall
LEASE = 1.0  # seconds
EVERY = 0.03  # seconds between two looks at a router
SEED = 3
MOST = 90.0  # seconds of a run: it ends as soon as all was seen, so only a failing one comes near
WITHIN = 30.0  # seconds for a change, likewise


def world(length: float) -> Scenario:
    return Scenario.model_validate(
        {
            "summary": "accords",
            "length": f"{length} s",
            "warm_up": "300 ms",
            "load": {"rate": 40},
            "routers": {"count": ROUTERS},
            "caches": {"count": 6},
        }
    )


def operator_file(folder: Path, scenario: Scenario) -> Path:
    (folder / "key").write_bytes(b"a key of all routers")
    halls = [hall_of(scenario, n) for n in range(ROUTERS)]
    for voter in VOTERS:
        (folder / f"keep-{voter}").mkdir()
    path = folder / "operator.toml"
    path.write_text(
        f"[peers]\nkeys = {{ '1' = '{folder}/key' }}\nsending = 1\nhalls = {halls}\nvoters = {list(VOTERS)}\n"
        f"lease_ms = {LEASE * 1000:.0f}\nkeep = '{folder}/keep-{{index}}'\nstart = 'floor'\n"
    )
    return path


@dataclass(frozen=True, slots=True)
class Decides:
    """What a router decided by at some moment between the two."""

    router: str
    asked: float
    told: float
    versions: tuple[int, ...]


@dataclass
class Stage:
    """The doors of all routers."""

    rehearsal: ByHand
    seen: list[Decides] = field(default_factory=list)

    async def call(self, router: str, path: str, body: str | None = None) -> tuple[int, str]:
        """Status and body; 0 where nobody answers."""
        made = self.rehearsal._routers.get(router)
        if made is None:
            return 0, ""
        data = (body or "").encode()
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*made.door)
                method = "POST" if body is not None else "GET"
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, ""
        head_bytes, _, rest = answer.partition(b"\r\n\r\n")
        return (int(head_bytes.split()[1]), rest.decode()) if head_bytes else (0, "")

    async def policy(self, router: str) -> dict[str, Any]:
        status, body = await self.call(router, "/-/policy")
        return dict(json.loads(body)) if status == 200 else {}

    async def watch(self, router: str) -> None:
        """Look again and again what it decides by."""
        clock = asyncio.get_running_loop().time
        while True:
            asked = clock()
            told = await self.policy(router)
            if told.get("versions"):
                self.seen.append(Decides(router, asked, clock(), tuple(told["versions"])))
            await asyncio.sleep(EVERY)

    async def until(self, version: int, *routers: str, within: float = WITHIN) -> float:
        """Wait until these decide by this version alone; the seconds that it took."""
        clock = asyncio.get_running_loop().time
        began = clock()
        async with asyncio.timeout(within):
            for router in routers:
                while (await self.policy(router)).get("versions") != [version]:
                    await asyncio.sleep(EVERY)
        return clock() - began

    async def able(self, voter: str) -> None:
        """Wait until it has no trouble to tell of."""
        while (await self.policy(voter)).get("troubles") != []:
            await asyncio.sleep(EVERY)

    async def ended(self, router: str, version: int) -> str:
        """What became of the change that this router was asked for."""
        while True:
            change = (await self.policy(router)).get("change", {})
            if change.get("version") == version and change["state"] != "under way":
                return str(change["state"])
            await asyncio.sleep(EVERY)

    def mixed(self) -> list[tuple[Decides, Decides]]:
        """Decisions by an old policy surely after one by a new policy alone: there must be none.

        Versions only grow here. What goes together holds all versions of the other.
        """
        found: list[tuple[Decides, Decides]] = []
        first: dict[int, Decides] = {}  # by version: the earliest decision by it alone that was told
        for one in sorted(self.seen, key=lambda d: d.told):
            if len(one.versions) == 1:
                first.setdefault(one.versions[0], one)
        for one in self.seen:
            newer = [d for v, d in first.items() if v > max(one.versions) and d.told <= one.asked]
            found += [(d, one) for d in newer]
        return found


def play(
    folder: Path, meanwhile: Callable[[Stage], Awaitable[None]], longest: float = MOST
) -> tuple[Stage, Result]:
    """Run all of it; `meanwhile` goes on beside the load, and the run ends after it."""

    async def run() -> tuple[Stage, Result]:
        scenario = world(longest)
        path = operator_file(folder, scenario)
        ground = RealLinks(scenario, SEED, (*LAUNCH, "--operator", str(path)))
        rehearsal = ByHand(scenario, SEED, plan=[], ground=ground)
        stage = Stage(rehearsal)
        running = asyncio.ensure_future(rehearsal.run())
        try:
            beginning = asyncio.ensure_future(rehearsal.began.wait())
            await asyncio.wait([beginning, running], return_when=asyncio.FIRST_COMPLETED)
            beginning.cancel()
            assert not running.done(), running.result().no_verdict
            watchers = [asyncio.ensure_future(stage.watch(f"router-{n + 1}")) for n in range(ROUTERS)]
            seeing = asyncio.ensure_future(meanwhile(stage))
            try:
                await asyncio.wait([seeing, running], return_when=asyncio.FIRST_COMPLETED)
                assert seeing.done(), f"not all was seen within {longest} s"
                await seeing
            finally:
                seeing.cancel()
            rehearsal.enough.set()
            result = await running
            for watcher in watchers:
                watcher.cancel()
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        return stage, result

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
