"""The observer of accords finds what must not be, and drawn plans can be played."""

from __future__ import annotations

from ironrail.rehearsal.links.consensus_checks import Decides, apart, mixed
from ironrail.rehearsal.links.consensus_plan_generator import draw_changes, draw_faults
from ironrail.rehearsal.links.consensus_rehearsal import VOTERS, world
from ironrail.rehearsal.links.paths import Places
from ironrail.rehearsal.links.plan import DISKS, Kind, check


def one(asked: float, *versions: int) -> Decides:
    return Decides("router-1", asked, asked + 0.1, versions)


def test_an_old_policy_surely_after_a_new_one_alone_is_found() -> None:
    new, old = one(1.0, 2), one(1.2, 1)
    assert mixed([old, new]) == apart([old, new]) == [(new, old)]
    assert mixed([new, one(1.05, 1)]) == []  # which was first is not known
    assert mixed([new, one(1.2, 1, 2)]) == []  # they have the new one in common


def test_a_joint_state_apart_from_an_older_one_is_found() -> None:
    joint = one(1.0, 2, 3)
    assert apart([joint, one(1.2, 1)]) == [(joint, one(1.2, 1))]
    assert apart([joint, one(1.2, 1, 2)]) == [(joint, one(1.2, 1, 2))]
    assert apart([joint, one(1.2, 2), one(1.3, 3), one(1.4, 3, 4)]) == []


def test_drawn_plans_can_be_played_are_the_same_each_time_and_have_all_sorts_of_faults() -> None:
    scenario, kinds = world(), set()
    for seed in range(200):
        plan = draw_faults(scenario, seed, 10.0, VOTERS)
        check(plan, Places.of(scenario), 10.0)
        assert plan == draw_faults(scenario, seed, 10.0, VOTERS)
        changes = draw_changes(scenario, seed, 9.0)
        assert [c.version for c in changes] == list(range(2, 2 + len(changes)))
        assert [c.at for c in changes] == sorted(c.at for c in changes)
        kinds |= {fault.kind for fault in plan}
    assert kinds == set(Kind) - {Kind.STALL, Kind.RESET} and set(DISKS) <= kinds
