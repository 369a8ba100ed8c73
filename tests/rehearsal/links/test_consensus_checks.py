"""The consensus checks find violations, and generated plans are valid."""

from __future__ import annotations

from ironrail.rehearsal.links.consensus_checks import ObservedDecision, find_incompatible, find_mixed
from ironrail.rehearsal.links.consensus_plan_generator import draw_changes, draw_faults
from ironrail.rehearsal.links.consensus_rehearsal import VOTERS, consensus_scenario
from ironrail.rehearsal.links.paths import PathEnds
from ironrail.rehearsal.links.plan import DISKS, Kind, check


def decision(asked_at: float, *versions: int) -> ObservedDecision:
    return ObservedDecision("router-1", asked_at, asked_at + 0.1, versions)


def test_an_old_policy_surely_after_a_new_one_alone_is_found() -> None:
    new, old = decision(1.0, 2), decision(1.2, 1)
    assert find_mixed([old, new]) == find_incompatible([old, new]) == [(new, old)]
    assert find_mixed([new, decision(1.05, 1)]) == []  # the intervals overlap: which came first is unknown
    assert find_mixed([new, decision(1.2, 1, 2)]) == []  # both obey the new one


def test_a_joint_state_apart_from_an_older_one_is_found() -> None:
    joint = decision(1.0, 2, 3)
    assert find_incompatible([joint, decision(1.2, 1)]) == [(joint, decision(1.2, 1))]
    assert find_incompatible([joint, decision(1.2, 1, 2)]) == [(joint, decision(1.2, 1, 2))]
    assert find_incompatible([joint, decision(1.2, 2), decision(1.3, 3), decision(1.4, 3, 4)]) == []


def test_drawn_plans_can_be_played_are_the_same_each_time_and_have_all_sorts_of_faults() -> None:
    scenario, kinds = consensus_scenario(), set()
    for seed in range(200):
        plan = draw_faults(scenario, seed, 10.0, VOTERS)
        check(plan, PathEnds.of(scenario), 10.0)
        assert plan == draw_faults(scenario, seed, 10.0, VOTERS)
        changes = draw_changes(scenario, seed, 9.0)
        assert [c.version for c in changes] == list(range(2, 2 + len(changes)))
        assert [c.at for c in changes] == sorted(c.at for c in changes)
        kinds |= {fault.kind for fault in plan}
    assert kinds == set(Kind) - {Kind.STALL, Kind.RESET} and set(DISKS) <= kinds
