"""A hall is cut off in a change, proposers are killed at each of its steps: one policy, never mixed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from ironrail.peers.consensus import messages as m
from ironrail.rehearsal.links.consensus_checks import spoken
from ironrail.rehearsal.links.consensus_rehearsal import world
from ironrail.rehearsal.links.consensus_stage import Stage, play
from ironrail.rehearsal.links.plan import link_fault
from ironrail.rehearsal.run import Result

TIMES = (8.0, 2.5, 1.5)  # seconds until a change, one left behind, a step left open are ended: 20, 50, 4 else
LONG = 60.0  # seconds for anything that has to come: a bound, which a busy machine doesn't reach
LEASE = 3.0  # seconds: so long a change has to wait for a hall that is cut off, which by itself takes about 1
LOOK = 0.1  # seconds between two looks at a router: what is left of a lease is up to ten of them
HALL_C = ("router-3", "router-6")
OTHERS = ("router-1", "router-2", "router-4", "router-5", "router-7")


def held(stage: Stage, result: Result) -> None:
    """What has to hold whatever happened."""
    assert stage.mixed() == [] and stage.apart() == []
    assert result.no_verdict or not result.broken
    assert {one.router for one in stage.seen} == set(stage.routers)


async def decides(stage: Stage, router: str, versions: list[int]) -> None:
    """Wait until it does; an empty list: it holds no lease."""
    async with asyncio.timeout(LONG):
        while (await stage.policy(router)).get("versions") != versions:
            await asyncio.sleep(LOOK)


async def taken_up(stage: Stage, router: str, version: int, over: Callable[[], bool] = lambda: False) -> None:
    """Ask until it takes the change up: one who just came back, or lost its lease for a moment, says no."""
    async with asyncio.timeout(LONG):
        while not over() and (await stage.propose(router, version))[0] != 202:
            if (await stage.policy(router)).get("change", {}).get("version") == version:
                return  # its answer came too late, or not at all
            await asyncio.sleep(LOOK)


@pytest.mark.sockets
def test_a_hall_cut_off_in_a_change_acts_by_no_old_policy_once_the_others_have_the_new(
    tmp_path: Path,
) -> None:
    cuts = [link_fault("cut", f"hall-c <> {other}", 0.0, LONG) for other in ("hall-a", "hall-b")]

    async def meanwhile(stage: Stage) -> None:
        await stage.found("router-1")
        await taken_up(stage, "router-1", 2)
        numbers = [stage.begin(cut) for cut in cuts]  # its voter is cut off with it
        await stage.until(2, *OTHERS, within=LONG)
        for router in HALL_C:
            await decides(stage, router, [])
        assert not any(one.versions == (2,) for one in stage.seen if one.router in HALL_C)
        for number in numbers:
            stage.end(number)
        assert await stage.same(*stage.routers, within=LONG) == 2

    held(*play(tmp_path, [], 0.0, meanwhile, foreseen=cuts, scenario=world(10.0), every=LOOK, lease=LEASE))


class Killer:
    """Kills a proposer when it first asks for a state that is looked for; so many of those messages pass."""

    def __init__(
        self, stage: Stage, router: str, when: Callable[[m.RegisterState, int], bool], passing: int
    ) -> None:
        self._stage, self._router, self._when, self._passing = stage, router, when, passing
        self._killed: int | None = None
        self.version = 0  # that it was asked for
        self.done = asyncio.Event()
        stage.taps[:] = [self]

    def __call__(self, source: str, datagram: bytes) -> bool:
        said = spoken(datagram) if source == self._router else None
        if not isinstance(said, m.Accept) or not self._when(said.state, self.version):
            return True
        if self._killed is None:
            self._killed = self._stage.begin(link_fault("kill", self._router, 0.0, LONG))
            self.done.set()
        self._passing -= 1
        return self._passing >= 0

    async def ask(self, version: int) -> None:
        """Until it is killed, or says that the change has ended before."""
        self.version = version
        await taken_up(self._stage, self._router, version, self.done.is_set)
        async with asyncio.timeout(LONG):
            while not self.done.is_set():
                change = (await self._stage.policy(self._router)).get("change")
                if change and change["version"] == version and change["state"] != "under way":
                    return
                await asyncio.sleep(LOOK)

    def back(self) -> None:
        """It is started again."""
        assert self._killed is not None
        self._stage.taps.clear()
        self._stage.end(self._killed)


def joins(state: m.RegisterState, version: int) -> bool:
    return state.new is not None and state.new.version == version


def last_step(state: m.RegisterState, version: int) -> bool:
    return state.new is None and state.old.version == version


STEPS = (  # who is killed, at which of his messages, how many of them pass, whether the new one comes of it
    ("router-7", joins, 0, {False}),  # before anyone heard of the joint state
    ("router-6", last_step, 0, {False}),  # all are in the joint state
    ("router-5", last_step, 1, {False, True}),  # one voter has the last step, and it may not take it
    ("router-4", last_step, 3, {True}),  # all voters have it
)


@pytest.mark.sockets
def test_a_proposer_killed_at_any_step_leaves_all_on_the_old_or_all_on_the_new(tmp_path: Path) -> None:
    async def meanwhile(stage: Stage) -> None:
        await stage.found("router-1")
        version = old = 1
        for router, when, passing, ends in STEPS:
            killer = Killer(stage, router, when, passing)
            while not killer.done.is_set():  # a change that a busy machine has given up is no step
                version += 1
                await killer.ask(version)
            rest = [name for name in stage.routers if name != router]
            new = await stage.same(*rest, within=LONG)
            assert new in (old, version) and (new == version) in ends, (router, old, version, new)
            killer.back()
            old = new
        assert await stage.same(*stage.routers, within=LONG) == old

    held(*play(tmp_path, [], 0.0, meanwhile, times=TIMES, scenario=world(10.0), every=LOOK))
