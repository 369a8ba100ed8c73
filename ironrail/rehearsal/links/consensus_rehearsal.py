"""A rehearsal with seven peer routers in three zones whose load lasts until the caller ends it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal
from ironrail.rehearsal.links.plan import LinkFault, Step
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import zone_of

ROUTERS = 7
VOTERS = (0, 1, 2)  # one in each zone
LEASE_SECONDS = 1.0
MAX_LOAD_SECONDS = 150.0  # bound of a run; an event that has not come by then never comes


def consensus_scenario(rate: float = 40.0) -> Scenario:
    """Returns the scenario of a consensus run; `rate` is in requests per second."""
    return Scenario.model_validate(
        {
            "summary": "accords",
            "length": f"{MAX_LOAD_SECONDS} s",
            "warm_up": "300 ms",
            "load": {"rate": rate},
            "routers": {"count": ROUTERS},
            "caches": {"count": 6},
        }
    )


def operator_file(folder: Path, scenario: Scenario, lease: float = LEASE_SECONDS) -> Path:
    """Writes the operator file of all routers and creates the voters' record folders below `folder`."""
    (folder / "key").write_bytes(b"a key of all routers")
    zones = [zone_of(scenario, n) for n in range(scenario.routers.count)]
    for voter in VOTERS:
        (folder / f"keep-{voter}").mkdir()
    path = folder / "operator.toml"
    path.write_text(
        f"[peers]\nkeys = {{ '1' = '{folder}/key' }}\nsending = 1\nhalls = {zones}\nvoters = {list(VOTERS)}\n"
        f"lease_ms = {lease * 1000:.0f}\nkeep = '{folder}/keep-{{index}}'\nstart = 'floor'\n"
    )
    return path


class ConsensusRehearsal(LinkedRehearsal):
    """A rehearsal that sets `load_started`, and ends its load once `load_may_end` is set."""

    def __init__(self, scenario: Scenario, seed: int, *, min_load_seconds: float, **others: Any) -> None:
        """Creates the rehearsal; `min_load_seconds` is the minimum duration of its load."""
        super().__init__(scenario, seed, **others)
        self._min_load_seconds = min_load_seconds
        self.load_started, self.load_may_end = asyncio.Event(), asyncio.Event()
        self._begun: dict[int, LinkFault] = {}

    def admin_address_of(self, router: str) -> tuple[str, int]:
        return self._routers[router].admin_endpoint

    def log_of(self, router: str) -> str:
        """Returns the log of the router's processes so far; only its end if it is long."""
        return self._routers[router].log.decode(errors="replace")

    def now(self) -> float:
        """Returns the seconds since the start of the measured load."""
        return self._world.now()

    async def _inject_faults(self) -> None:
        self.load_started.set()
        await super()._inject_faults()

    async def _load(self) -> None:
        loading = asyncio.ensure_future(super()._load())
        over = asyncio.ensure_future(self.load_may_end.wait())
        try:
            await asyncio.wait([loading, over], return_when=asyncio.FIRST_COMPLETED)
            if not loading.done():
                await asyncio.sleep(max(0.0, self._min_load_seconds - self.now()))
        finally:
            over.cancel()
            if not loading.cancel():
                loading.result()
            await asyncio.gather(loading, return_exceptions=True)
        ended = min(self.now(), self._scenario.length)
        self._schedule = [planned for planned in self._schedule if planned.at <= ended]
        self._scenario = self._scenario.model_copy(update={"length": ended})

    def begin(self, fault: LinkFault) -> int:
        """Begins a fault now; returns the number to end it with."""
        number = len(self._steps) // 2 + len(self._begun)
        self._begun[number] = fault
        self._step(Step(self.now(), True, number, fault))
        return number

    def end(self, number: int) -> None:
        self._step(Step(self.now(), False, number, self._begun[number]))
