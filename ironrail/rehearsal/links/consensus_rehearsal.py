"""Seven routers as processes in three halls that have peers, and a run that lasts until it is told to end."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal
from ironrail.rehearsal.links.plan import LinkFault, Step
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import hall_of

ROUTERS = 7
VOTERS = (0, 1, 2)  # one in each hall
LEASE = 1.0  # seconds
LONGEST = 150.0  # seconds of load at the most: whatever was to be seen by then never comes


def world(rate: float = 40.0) -> Scenario:
    """`rate`: requests a second."""
    return Scenario.model_validate(
        {
            "summary": "accords",
            "length": f"{LONGEST} s",
            "warm_up": "300 ms",
            "load": {"rate": rate},
            "routers": {"count": ROUTERS},
            "caches": {"count": 6},
        }
    )


def operator_file(folder: Path, scenario: Scenario, lease: float = LEASE) -> Path:
    """The same for all routers; voters keep their records below `folder`."""
    (folder / "key").write_bytes(b"a key of all routers")
    halls = [hall_of(scenario, n) for n in range(scenario.routers.count)]
    for voter in VOTERS:
        (folder / f"keep-{voter}").mkdir()
    path = folder / "operator.toml"
    path.write_text(
        f"[peers]\nkeys = {{ '1' = '{folder}/key' }}\nsending = 1\nhalls = {halls}\nvoters = {list(VOTERS)}\n"
        f"lease_ms = {lease * 1000:.0f}\nkeep = '{folder}/keep-{{index}}'\nstart = 'floor'\n"
    )
    return path


class Staged(LinkedRehearsal):
    """Tells when its load begins, and ends it once it is told to."""

    def __init__(self, scenario: Scenario, seed: int, *, least: float, **others: Any) -> None:
        """`least`: seconds of load."""
        super().__init__(scenario, seed, **others)
        self._least = least
        self.began, self.over = asyncio.Event(), asyncio.Event()
        self._begun: dict[int, LinkFault] = {}

    def door_of(self, router: str) -> tuple[str, int]:
        return self._routers[router].door

    def log_of(self, router: str) -> str:
        """What its processes said so far, the end of it if it is long."""
        return self._routers[router].log.decode(errors="replace")

    def now(self) -> float:
        """Seconds since the start of the load that counts."""
        return self._world.now()

    async def _carry_out(self) -> None:
        self.began.set()
        await super()._carry_out()

    async def _load(self) -> None:
        loading = asyncio.ensure_future(super()._load())
        over = asyncio.ensure_future(self.over.wait())
        try:
            await asyncio.wait([loading, over], return_when=asyncio.FIRST_COMPLETED)
            if not loading.done():
                await asyncio.sleep(max(0.0, self._least - self.now()))
        finally:
            over.cancel()
            if not loading.cancel():
                loading.result()
            await asyncio.gather(loading, return_exceptions=True)
        ended = min(self.now(), self._scenario.length)
        self._schedule = [planned for planned in self._schedule if planned.at <= ended]
        self._scenario = self._scenario.model_copy(update={"length": ended})

    def begin(self, fault: LinkFault) -> int:
        """At once; to be ended by the number."""
        number = len(self._steps) // 2 + len(self._begun)
        self._begun[number] = fault
        self._step(Step(self.now(), True, number, fault))
        return number

    def end(self, number: int) -> None:
        self._step(Step(self.now(), False, number, self._begun[number]))
