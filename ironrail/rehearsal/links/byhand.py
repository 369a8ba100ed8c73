"""A run whose faults begin and end when something happens, and that ends when all was seen: for what takes as
long as it takes, so that a busy machine only makes the run longer."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from ironrail.rehearsal.links.plan import LEAST_TERM, Kind, Step, check, link_fault
from ironrail.rehearsal.links.rig import LinkedRehearsal


class ByHand(LinkedRehearsal):
    """One run. Its scenario's length is the longest that it may take."""

    def __init__(self, *args: Any, **others: Any) -> None:
        super().__init__(*args, **others)
        self._number = len(self._steps)
        self.began = asyncio.Event()  # its load has
        self.enough = asyncio.Event()  # to be set: the load ends

    def begin(self, kind: Kind | str, on: str, hard: float | None = None) -> Step:
        """A fault from now on, until `end` is told what this answers; PlanError where there can't be one."""
        now = self._world.now()
        fault = link_fault(kind, on, now, max(LEAST_TERM, self._scenario.length - now), hard)
        check([fault], self._places, math.inf)
        self._number += 1
        self._step(Step(now, True, self._number, fault))
        return Step(now, False, self._number, fault)

    def end(self, begun: Step) -> None:
        """It is over."""
        self._step(begun)

    async def _carry_out(self) -> None:
        self.began.set()
        await super()._carry_out()

    async def _load(self) -> None:
        """What was not sent by the time that it is enough was never planned."""
        load, enough = asyncio.ensure_future(super()._load()), asyncio.ensure_future(self.enough.wait())
        try:
            await asyncio.wait([load, enough], return_when=asyncio.FIRST_COMPLETED)
            if load.done():
                await load
            else:
                now = self._world.now()
                self._schedule = [planned for planned in self._schedule if planned.at <= now]
        finally:
            load.cancel()
            enough.cancel()
            await asyncio.gather(load, enough, return_exceptions=True)
