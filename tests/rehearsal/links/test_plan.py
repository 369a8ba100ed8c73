"""Fault plans: what is valid, what is rejected, and that each fault that begins also ends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.rehearsal.links.paths import PathEnds, PathError, path_of
from ironrail.rehearsal.links.plan import Kind, PlanError, check, link_fault, read_plan, steps
from ironrail.rehearsal.links.plan_generator import QUIET_END_SECONDS, draw_plan
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError


def scenario(routers: int = 7, length: float = 8.0) -> Scenario:
    return Scenario.model_validate(
        {"summary": "x", "length": f"{length} s", "routers": {"count": routers}, "caches": {"count": 6}}
    )


PATH_ENDS = PathEnds.of(scenario())


@given(st.integers(0, 10_000), st.integers(0, 60), st.integers(1, 20), st.floats(1.0, 30.0))
def test_a_drawn_plan_is_the_same_again_fits_and_ends(
    seed: int, count: int, routers: int, length: float
) -> None:
    world = scenario(routers, round(length, 3))
    plan = draw_plan(world, seed, count)
    assert plan == draw_plan(world, seed, count)
    check(plan, PathEnds.of(world), world.length)
    assert all(0.0 <= f.at < f.ends <= world.length - QUIET_END_SECONDS + 1e-6 for f in plan)
    told = steps(plan)
    assert [s.at for s in told] == sorted(s.at for s in told)
    for number, fault in enumerate(plan):
        mine = [s for s in told if s.number == number]
        assert [(s.begins, s.at) for s in mine] == [(True, fault.at), (False, fault.ends)]


def test_seeds_draw_different_plans_and_all_kinds() -> None:
    plans = [draw_plan(scenario(), seed, 12) for seed in range(40)]
    assert len({str(plan) for plan in plans}) == 40
    assert {fault.kind for plan in plans for fault in plan} == set(Kind)


def test_of_two_at_one_time_an_end_comes_first() -> None:
    plan = [link_fault("stop", "router-1", 1.0, 1.0), link_fault("stop", "router-1", 0.5, 0.5)]
    check(plan, PATH_ENDS, 8.0)
    assert [(s.number, s.begins) for s in steps(plan)] == [(1, True), (1, False), (0, True), (0, False)]
    assert steps(plan)[1].line() == "   1.000 s  ends: stop on router-1"


def test_a_file_says_it_in_toml() -> None:
    text = '[[fault]]\nkind = "delay"\non = "hall-a > hall-b"\nat = "250 ms"\nlasts = "2 s"\nhard = 0.05\n'
    assert read_plan(text, "plan.toml") == [link_fault(Kind.DELAY, "hall-a > hall-b", 0.25, 2.0, 0.05)]
    with pytest.raises(ScenarioError, match=r"plan.toml:4: fault.1.at: a time needs its unit"):
        read_plan(text.replace('"250 ms"', "250"), "plan.toml")


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        (link_fault("cut", "router-1 > router-8", 0, 1), "nobody is called 'router-8'"),
        (link_fault("cut", "router-1", 0, 1), "is no path"),
        (link_fault("cut", "cache-1 <> cache-2", 0, 1), "nothing goes there"),
        (link_fault("cut", "router-1 <> router-1", 0, 1), "nothing goes there"),
        (link_fault("loss", "clients > router-1", 0, 1), "nothing goes there"),
        (link_fault("reset", "router-1 > router-2", 0, 1), "nothing goes there"),
        (link_fault("kill", "cache-1", 0, 1), "no router is called 'cache-1'"),
        (link_fault("kill", "router-1", 7.5, 1), "ends at 8.5 s"),
        (link_fault("term", "router-1", 0, 1), "less than 4 s"),
        (link_fault("clock", "router-1", 0, 1, 0.2), "hard = 0.2"),
        (link_fault("loss", "routers > routers", 0, 1, 1.1), "hard = 1.1"),
        (link_fault("stop", "router-1", 0, 1, 1.0), "hard = 1"),
    ],
)
def test_a_fault_that_cannot_be_is_named(fault: object, message: str) -> None:
    with pytest.raises((PlanError, PathError), match=message):
        check([fault], PATH_ENDS, 8.0)  # type: ignore[list-item]


def test_two_faults_of_one_process_may_not_meet() -> None:
    stop, kill = link_fault("stop", "router-1", 1.0, 2.0), link_fault("kill", "router-1", 2.0, 1.0)
    with pytest.raises(PlanError, match="begins before another"):
        check([kill, stop], PATH_ENDS, 8.0)
    check(
        [stop, link_fault("kill", "router-2", 2.0, 1.0), link_fault("clock", "router-1", 2.0, 1.0)],
        PATH_ENDS,
        8.0,
    )


def test_paths_cover_what_they_say() -> None:
    one, both = path_of("hall-a > hall-b", PATH_ENDS), path_of("hall-a<>hall-b", PATH_ENDS)
    for source, target, there in (
        ("router-1", "router-2", True),  # routers and caches are assigned to zones in turn
        ("router-4", "cache-5", True),
        ("cache-1", "router-5", True),
        ("router-1", "router-4", False),
        ("router-1", "router-3", False),
        ("router-1", "archive", False),
    ):
        assert one.covers(source, target) is there
        assert not one.covers(target, source)
        assert both.covers(source, target) is both.covers(target, source) is there
