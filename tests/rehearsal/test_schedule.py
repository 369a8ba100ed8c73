"""The load schedule and the plan of faults: reproducible by seed, with independent draws."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from ironrail.rehearsal.faults.plan import PlanError, make_plan, steps
from ironrail.rehearsal.load.popularity import Popularity
from ironrail.rehearsal.load.schedule import digest, make_schedule
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario, read_scenario, shipped

BASE = 'summary = "x"\nlength = "20 s"\n'


def scenario(text: str = "") -> Scenario:
    return parse_scenario(BASE + text, "x.toml")


def fault(kind: str, whom: str = "", at: str = "5 s", lasts: str = "5 s", more: str = "") -> str:
    return f'[[fault]]\nkind = "{kind}"\nwhom = "{whom}"\nat = "{at}"\nlasts = "{lasts}"\n{more}\n'


def test_a_seed_gives_the_same_requests_byte_for_byte_and_another_seed_others() -> None:
    one, again, other = (make_schedule(scenario(), seed) for seed in (1, 1, 2))
    assert [p.line() for p in one] == [p.line() for p in again]
    assert digest(one) == digest(again) != digest(other)


def test_the_schedule_is_the_same_on_every_machine() -> None:
    """Guards against dependence on hash seeds, the clock or the order of a set."""
    assert digest(make_schedule(scenario(), 1)) == "c360d718a5b49dbe"


def test_a_fault_does_not_change_the_draws_of_clients() -> None:
    plain = make_schedule(scenario(), 3)
    hot = make_schedule(scenario(fault("hot-keys", more="hard = 0.4") + fault("vanish", "2 caches")), 3)
    moved = [(a, b) for a, b in zip(plain, hot, strict=True) if a != b]
    assert all(replace(b, key=a.key) == a for a, b in moved)  # nothing but keys
    assert all(5 <= b.at < 10 and b.key.startswith("hot-") for _, b in moved)
    within = [b for b in hot if 5 <= b.at < 10]
    assert len(moved) / len(within) == pytest.approx(0.4, abs=0.06)


def test_an_added_fault_does_not_change_the_targets_of_others() -> None:
    first = make_plan(scenario(fault("vanish", "2 caches")), 9)
    both = make_plan(scenario(fault("vanish", "2 caches") + fault("stall", "3 caches")), 9)
    assert both[0] == first[0]
    assert len(set(both[1].victims)) == 3


def test_the_mix_is_as_the_scenario_has_it() -> None:
    plan = make_schedule(scenario("[load]\nrate = 1000\nkeys = 50\n"), 5)
    rate = len(plan) / 23
    assert rate == pytest.approx(1000, rel=0.03)
    kinds = Counter(p.kind for p in plan)
    assert kinds["prize-entry"] / len(plan) == pytest.approx(0.04, abs=0.006)
    work = sum(p.work for p in plan if p.kind == "grid-read") / kinds["grid-read"]
    assert work == pytest.approx(0.11, rel=0.05)
    keys = Counter(p.key for p in plan)
    assert keys["grid-0"] / len(plan) == pytest.approx(Popularity(50, 1.0).share(0), rel=0.1)
    assert all((p.idempotency != "") is (p.kind == "hint-spend") for p in plan)
    assert len({p.idempotency for p in plan}) == kinds["hint-spend"] + 1


@pytest.mark.parametrize("shape", ["steady", "bursty", "ramp"])
def test_shapes_keep_the_mean_rate(shape: str) -> None:
    load = f'[load]\nrate = 200\nshape = "{shape}"\nswing = 0.9\n'
    plan = make_schedule(parse_scenario('summary = "x"\nlength = "57 s"\n' + load, "x.toml"), 4)
    assert len(plan) / 60 == pytest.approx(200, rel=0.05)


def test_of_two_steps_at_one_time_the_end_comes_first() -> None:
    text = fault("vanish", "cache-1", at="5 s", lasts="5 s") + fault("vanish", "cache-1", at="10 s")
    told = [(s.at, s.begins) for s in steps(make_plan(scenario(text), 1))]
    assert told == [(5, True), (10, False), (10, True), (15, False)]


def test_victims_by_name_by_hall_by_number_and_all() -> None:
    def victims(kind: str, whom: str) -> tuple[str, ...]:
        return make_plan(scenario(fault(kind, whom)), 1)[0].victims

    assert victims("vanish", "cache-3") == ("cache-3",)
    assert victims("vanish", "hall-a") == ("cache-1", "cache-4", "cache-7")
    assert len(victims("stall", "all")) == 8
    assert len(victims("stall", "2 caches")) == 2
    assert len(victims("stall", "")) == 1
    assert victims("hall-cut", "hall-c") == ("hall-c",)
    assert victims("router-kill", "router-2") == ("router-2",)
    assert victims("archive-down", "") == ()


@pytest.mark.parametrize(
    ("kind", "whom"),
    [("vanish", "cache-9"), ("vanish", "9 caches"), ("vanish", "0 caches"), ("archive-slow", "cache-1"),
     ("router-kill", "2 caches"), ("hall-cut", "cache-1")],
)  # fmt: skip
def test_unknown_targets_are_rejected(kind: str, whom: str) -> None:
    with pytest.raises(PlanError, match=f"fault 1 .{kind}."):
        make_plan(scenario(fault(kind, whom)), 1)


def test_every_shipped_scenario_can_be_read_and_planned() -> None:
    assert len(shipped()) >= 10
    for name in shipped():
        read = read_scenario(name)
        assert make_plan(read, 1) == make_plan(read, 1)
        assert any(value is not None for value in (read.bounds.service, read.bounds.worst_window))
