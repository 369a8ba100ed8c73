"""Zones cut off during a change and proposers killed at each step never lead to mixed policies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from ironrail.peers.consensus import messages as m
from ironrail.rehearsal.links.consensus_checks import decode_consensus_message
from ironrail.rehearsal.links.consensus_rehearsal import consensus_scenario
from ironrail.rehearsal.links.consensus_stage import Stage, play
from ironrail.rehearsal.links.plan import link_fault
from ironrail.rehearsal.run import Result

TIMEOUTS_SECONDS = (8.0, 2.5, 1.5)  # as `accord_launch` takes them; the defaults are 20, 50, 4
MAX_WAIT_SECONDS = 60.0  # bound for each wait, which a busy machine doesn't reach
LEASE_SECONDS = 3.0  # a change waits this long for a zone that is cut off; by itself it takes about 1
POLL_SECONDS = 0.1  # between two polls of a router; what is left of a lease is up to ten of them
ZONE_C = ("router-3", "router-6")
OTHERS = ("router-1", "router-2", "router-4", "router-5", "router-7")


def check_invariants(stage: Stage, result: Result) -> None:
    """Checks what must hold whatever faults there were."""
    assert stage.find_mixed() == [] and stage.find_incompatible() == []
    assert result.no_verdict or not result.broken
    assert {one.router for one in stage.seen} == set(stage.routers)


async def wait_until_decides(stage: Stage, router: str, versions: list[int]) -> None:
    """Waits until the router decides by `versions`; an empty list means that it holds no lease."""
    async with asyncio.timeout(MAX_WAIT_SECONDS):
        while (await stage.policy(router)).get("versions") != versions:
            await asyncio.sleep(POLL_SECONDS)


async def propose_until_accepted(
    stage: Stage, router: str, version: int, over: Callable[[], bool] = lambda: False
) -> None:
    """Proposes until accepted: a router that has just restarted or lost its lease for a moment rejects it."""
    async with asyncio.timeout(MAX_WAIT_SECONDS):
        while not over() and (await stage.propose(router, version))[0] != 202:
            if (await stage.policy(router)).get("change", {}).get("version") == version:
                return  # accepted, but the response was late or lost
            await asyncio.sleep(POLL_SECONDS)


@pytest.mark.sockets
def test_a_hall_cut_off_in_a_change_acts_by_no_old_policy_once_the_others_have_the_new(
    tmp_path: Path,
) -> None:
    cuts = [link_fault("cut", f"hall-c <> {other}", 0.0, MAX_WAIT_SECONDS) for other in ("hall-a", "hall-b")]

    async def during_load(stage: Stage) -> None:
        await stage.bootstrap("router-1")
        await propose_until_accepted(stage, "router-1", 2)
        numbers = [stage.begin(cut) for cut in cuts]  # the zone's voter is cut off too
        await stage.wait_until(2, *OTHERS, within=MAX_WAIT_SECONDS)
        for router in ZONE_C:
            await wait_until_decides(stage, router, [])
        assert not any(one.versions == (2,) for one in stage.seen if one.router in ZONE_C)
        for number in numbers:
            stage.end(number)
        assert await stage.wait_until_same(*stage.routers, within=MAX_WAIT_SECONDS) == 2

    check_invariants(
        *play(
            tmp_path,
            [],
            0.0,
            during_load,
            manual_faults=cuts,
            scenario=consensus_scenario(10.0),
            every=POLL_SECONDS,
            lease=LEASE_SECONDS,
        )
    )


class Killer:
    """Kills a proposer when it first sends an Accept that matches `when`; `passing` of these get through."""

    def __init__(
        self, stage: Stage, router: str, when: Callable[[m.RegisterState, int], bool], passing: int
    ) -> None:
        self._stage, self._router, self._when, self._passing = stage, router, when, passing
        self._killed: int | None = None
        self.version = 0  # of the current proposal
        self.done = asyncio.Event()
        stage.taps[:] = [self]

    def __call__(self, source: str, datagram: bytes) -> bool:
        said = decode_consensus_message(datagram) if source == self._router else None
        if not isinstance(said, m.Accept) or not self._when(said.state, self.version):
            return True
        if self._killed is None:
            self._killed = self._stage.begin(link_fault("kill", self._router, 0.0, MAX_WAIT_SECONDS))
            self.done.set()
        self._passing -= 1
        return self._passing >= 0

    async def propose(self, version: int) -> None:
        """Proposes a change and waits until the router is killed or reports that the change has ended."""
        self.version = version
        await propose_until_accepted(self._stage, self._router, version, self.done.is_set)
        async with asyncio.timeout(MAX_WAIT_SECONDS):
            while not self.done.is_set():
                change = (await self._stage.policy(self._router)).get("change")
                if change and change["version"] == version and change["state"] != "under way":
                    return
                await asyncio.sleep(POLL_SECONDS)

    def restart(self) -> None:
        """Starts the killed router again."""
        assert self._killed is not None
        self._stage.taps.clear()
        self._stage.end(self._killed)


def is_joint_step(state: m.RegisterState, version: int) -> bool:
    return state.new is not None and state.new.version == version


def is_final_step(state: m.RegisterState, version: int) -> bool:
    return state.new is None and state.old.version == version


STEPS = (  # router to kill, at which message, how many of these pass, whether the change may succeed
    ("router-7", is_joint_step, 0, {False}),  # no voter has received the joint state
    ("router-6", is_final_step, 0, {False}),  # all are in the joint state
    (
        "router-5",
        is_final_step,
        1,
        {False, True},
    ),  # one voter has received the final step and may not have recorded it
    ("router-4", is_final_step, 3, {True}),  # all voters have received it
)


@pytest.mark.sockets
def test_a_proposer_killed_at_any_step_leaves_all_on_the_old_or_all_on_the_new(tmp_path: Path) -> None:
    async def during_load(stage: Stage) -> None:
        await stage.bootstrap("router-1")
        version = old = 1
        for router, when, passing, ends in STEPS:
            killer = Killer(stage, router, when, passing)
            while not killer.done.is_set():  # a busy machine may give a change up before the step
                version += 1
                await killer.propose(version)
            rest = [name for name in stage.routers if name != router]
            new = await stage.wait_until_same(*rest, within=MAX_WAIT_SECONDS)
            assert new in (old, version) and (new == version) in ends, (router, old, version, new)
            killer.restart()
            old = new
        assert await stage.wait_until_same(*stage.routers, within=MAX_WAIT_SECONDS) == old

    check_invariants(
        *play(
            tmp_path,
            [],
            0.0,
            during_load,
            times=TIMEOUTS_SECONDS,
            scenario=consensus_scenario(10.0),
            every=POLL_SECONDS,
        )
    )
