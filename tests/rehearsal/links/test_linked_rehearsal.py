"""Fault plans on real routers and in virtual time; no process or socket is left over."""

from __future__ import annotations

import asyncio
import contextlib
import os
from functools import partial
from typing import Any

import psutil
import pytest
import uvloop

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.account.rules import KIT_LATENESS_SECONDS, LATE_ANSWER_TOLERANCE_SECONDS
from ironrail.rehearsal.ground import Router
from ironrail.rehearsal.links.environments import RealLinks, VirtualLinks
from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal, LinkedRehearsalError, play_linked
from ironrail.rehearsal.links.plan import Kind, LinkFault, PlanError, link_fault, steps
from ironrail.rehearsal.links.plan_generator import draw_plan
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.machine_lock import play_until_verdict

RUN_TIMEOUT_SECONDS = 60.0  # seconds for a run, which by itself ends well before
KINDS = (Kind.CUT, Kind.KILL, Kind.STOP, Kind.RESET, Kind.DELAY, Kind.STALL, Kind.CLOCK)
SEED = 1
PLAN_SEED = 4  # its plan has all of these kinds


def world(length: float = 6.0, routers: int = 7, rate: float = 80.0) -> Scenario:
    return Scenario.model_validate(
        {
            "summary": "faults on links",
            "length": f"{length} s",
            "warm_up": "300 ms",
            "load": {"rate": rate},
            "routers": {"count": routers},
            "caches": {"count": 6},
        }
    )


def descriptors() -> set[str]:
    """Returns the open sockets and files of this process; pipes belong to event loops."""
    found = set()
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):  # the descriptor of the listing itself
            found.add(os.readlink(f"/proc/self/fd/{name}"))
    return {name for name in found if not name.startswith("pipe:")}


class RealRun:
    """A rehearsal on real sockets, which records all its processes."""

    def __init__(self, plan: list[LinkFault], scenario: Scenario) -> None:
        self._plan, self._scenario = plan, scenario
        self.pids: set[int] = set()
        self.left: list[int] = []

    def play(self, meanwhile: Any = None) -> tuple[Result, LinkedRehearsal]:
        async def run() -> tuple[Result, LinkedRehearsal]:
            async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
                ground = RealLinks(self._scenario, SEED)
                made = ground.make_router

                def make_router(*args: Any) -> Router:
                    router = made(*args)
                    starts = router.start

                    async def start() -> None:
                        await starts()
                        assert router._process is not None
                        self.pids.add(router._process.pid)

                    router.start = start  # type: ignore[method-assign]
                    return router

                ground.make_router = make_router  # type: ignore
                rehearsal = LinkedRehearsal(
                    self._scenario, SEED, plan=self._plan, ground=ground, observe="/-/ready"
                )
                running = asyncio.ensure_future(rehearsal.run())
                if meanwhile is not None:
                    await meanwhile(rehearsal)
                    running.cancel()
                return await running, rehearsal

        there = descriptors()
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(run())
        finally:
            self.left = [pid for pid in self.pids if psutil.pid_exists(pid)]
            assert descriptors() <= there


@pytest.mark.sockets
def test_seven_routers_keep_the_rules_through_a_drawn_plan() -> None:
    scenario = world()
    plan = [*draw_plan(scenario, PLAN_SEED, 12, KINDS), link_fault("cut", "hall-a <> hall-b", 1.0, 1.5)]
    assert {fault.kind for fault in plan} == set(KINDS)

    def play() -> tuple[Result, LinkedRehearsal]:
        real_run = RealRun(plan, scenario)
        played = real_run.play()
        assert real_run.left == [] and len(real_run.pids) > 7  # a killed router was started again
        return played

    result, rehearsal = play_until_verdict(play, lambda played: played[0].no_verdict)
    assert result.broken == [] and [v for v in result.verdicts if not v.kept] == []
    assert rehearsal.played == steps(plan)
    tries = list(result.record.tries.values())
    taken = [one for one in tries if one.outcome in (Outcome.SERVED, Outcome.REFUSED, Outcome.FAILED)]
    assert all(len(one.answers) == 1 for one in taken)
    assert all(one.outcome is not Outcome.OPEN for one in tries)
    assert sum(bool(one.excuse) for one in tries) < 0.2 * len(tries)
    assert result.service.whole.share > 0.7
    assert {(s.router, s.status) for s in rehearsal.seen} >= {(f"router-{n + 1}", 200) for n in range(7)}
    killed = next(f for f in plan if f.kind is Kind.KILL)
    during = [s for s in rehearsal.seen if s.router == killed.on and killed.at + 0.3 < s.at < killed.ends]
    assert during and all(s.status == 0 for s in during)


@pytest.mark.sockets
def test_a_run_that_is_broken_off_leaves_no_process_and_no_socket() -> None:
    plan = [link_fault("stop", "router-1", 0.1, 3.0), link_fault("cut", "all <> all", 0.1, 3.0)]
    real_run = RealRun(plan, world(routers=3))

    async def until_stopped(rehearsal: LinkedRehearsal) -> None:
        while len(rehearsal.played) < 2:
            await asyncio.sleep(0.01)

    with pytest.raises(asyncio.CancelledError):
        real_run.play(until_stopped)
    assert len(real_run.pids) == 3 and real_run.left == []


@pytest.mark.sockets
def test_a_step_that_fails_ends_the_run_in_an_error_and_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fails(*_: Any) -> None:
        raise RuntimeError("no such door")

    monkeypatch.setattr(LinkedRehearsal, "_door", fails)
    real_run = RealRun([link_fault("cut", "router-1 > cache-1", 0.1, 0.2)], world(1.0, routers=2))
    with pytest.raises(LinkedRehearsalError, match="0 of 2 steps") as caught:
        real_run.play()
    assert str(caught.value.__cause__) == "no such door"
    assert len(real_run.pids) == 2 and real_run.left == []


def test_a_plan_that_outlasts_the_run_is_refused() -> None:
    with pytest.raises(PlanError, match="ends at 7 s"):
        play_linked(world(), SEED, [link_fault("stop", "router-1", 1.0, 6.0)])


@pytest.mark.parametrize("seed", range(6))
def test_the_same_plan_in_virtual_time_gives_the_same_events_and_keeps_the_rules(seed: int) -> None:
    scenario = world(8.0)
    plan = draw_plan(scenario, seed, 14)
    one, other = (play_linked(scenario, seed, plan) for _ in range(2))
    assert one.result.digest == other.result.digest
    assert one.result.broken == [] and one.violations == []
    assert [v for v in one.result.verdicts if not v.kept] == []
    assert one.result.digest != play_linked(scenario, seed, []).result.digest


def attempts(result: Result, router: str, server: str, began: float, ended: float) -> int:
    """Returns how many requests of a router a server read in a time."""
    there = [a for one in result.record.tries.values() for a in one.attempts]
    return sum(a.router == router and a.server == server and began < a.last_at < ended for a in there)


@pytest.mark.parametrize("kind", ["cut", "stall"])
def test_nothing_passes_a_path_that_is_silent_and_others_stay_open(kind: str) -> None:
    scenario = world(5.0, routers=2, rate=200.0)
    plan = [link_fault(kind, "router-1 > caches", 1.0, 2.0)]
    result = play_linked(scenario, SEED, plan).result
    names = [f"cache-{n + 1}" for n in range(6)]

    def passed(router: str, began: float, ended: float) -> int:
        return sum(attempts(result, router, name, began, ended) for name in names)

    assert passed("router-1", 1.01, 2.99) == 0 < passed("router-2", 1.01, 2.99)
    assert passed("router-1", 0.0, 1.0) > 0 < passed("router-1", 3.1, 5.0)


def test_answers_that_are_cut_are_read_and_never_come() -> None:
    scenario = world(5.0, routers=2, rate=200.0)
    result = play_linked(scenario, SEED, [link_fault("cut", "archive > router-1", 1.0, 2.0)]).result
    assert attempts(result, "router-1", "archive", 1.1, 2.9) > 0  # requests still reach it

    def filled(began: float, ended: float) -> int:
        """Returns how many reads router-1 answered with values of the origin."""
        there = [
            o for o in result.record.tries.values() if o.router == "router-1" and o.outcome is Outcome.SERVED
        ]
        asked = [o for o in there if any(a.server == "archive" for a in o.attempts)]
        return sum(began < o.answers[0].at < ended for o in asked)

    assert filled(1.05, 3.0) == 0 < filled(0.0, 1.0) and filled(3.1, 5.0) > 0
    assert result.broken == []


@pytest.mark.parametrize("kind", ["cut", "stall"])
def test_clients_of_a_cut_path_cannot_connect_and_of_one_that_stalls_can(kind: str) -> None:
    result = play_linked(world(4.0, 2), SEED, [link_fault(kind, "clients > router-1", 1.0, 2.0)]).result
    tries = [
        o
        for o in result.record.tries.values()  # whose client has given up when the fault ends
        if o.router == "router-1"
        and o.sent_at > 1.0
        and o.due + LATE_ANSWER_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS < 3.0
    ]
    assert any(o.outcome is Outcome.UNCONNECTED for o in tries) is (kind == "cut")
    assert all(o.outcome in (Outcome.UNCONNECTED, Outcome.UNANSWERED) and o.excuse for o in tries)
    assert tries and result.broken == []


def test_a_clock_runs_fast_in_virtual_time_as_it_is_told() -> None:
    shown: list[tuple[float, float]] = []

    class Watch(LinkedRehearsal):
        async def _play_link_faults(self) -> None:
            await super()._play_link_faults()
            system = self._routers["router-1"].node._system  # type: ignore[attr-defined]
            shown.append((system.now(), self._linked.system.now()))  # type: ignore[attr-defined]

    plan = [link_fault("clock", "router-1", 0.5, 2.0, 0.05)]
    played = run_virtual(
        world(4.0, 2), SEED, make_environment=VirtualLinks, make_rehearsal=partial(Watch, plan=plan)
    )
    assert played.result.broken == []
    [(fast, true)] = shown
    assert fast - true == pytest.approx(0.1, abs=0.01)
