"""Changes of voters: the invariants within bounds, on random walks, and with planted mistakes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ironrail.errors import InputError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.lease import LeaseHolder
from ironrail.peers.consensus.proposal import TargetState
from tests.peers.consensus import voter_change_mistakes as mistakes
from tests.peers.consensus.deterministic_nodes import TICK_CONSTANTS
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.invariants import InvariantViolation
from tests.peers.consensus.random_walk import walk
from tests.peers.consensus.voter_change_explorer import INITIAL_STATE, VoterChangeExplorer
from tests.peers.consensus.world import World, policy

TARGETS = {6: TargetState.JOINT, 7: TargetState.JOINT, 0: TargetState.JOINT}


@pytest.mark.parametrize(
    ("targets", "kwargs", "states"),
    [
        ({4: TargetState.NEW}, {}, 316),
        ({4: TargetState.NEW, 0: TargetState.JOINT}, {"lagging_routers": (0,)}, 1_714),
    ],
)
def test_decides_once_while_voters_change(targets: Any, kwargs: Any, states: int) -> None:
    assert VoterChangeExplorer((1, 2, 3), targets, **kwargs).run() > 0.8 * states


def test_voters_change_and_the_next_change_follows(monkeypatch: pytest.MonkeyPatch) -> None:
    for (module, name), value in TICK_CONSTANTS.items():
        monkeypatch.setattr(module, name, value)
    proposals = ((1, 6, 2, (3, 4, 5)), (8, 0, 3))
    explorer = Explorer(Bounds(ticks=14, faults=0, routers=7, deadline=8.0, proposals=proposals))
    assert explorer.run() > 800 and explorer.outcomes == {"in force": 2}


@pytest.mark.parametrize("seed", [10])
def test_invariants_hold_on_a_random_walk_with_voter_changes(seed: int) -> None:
    assert len({state.voters for state in walk(seed, changes_voters=True).decided.values()}) > 1


def schedule_run(schedule: str, lagging_routers: tuple[int, ...] = ()) -> Callable[[], object]:
    return lambda: VoterChangeExplorer(
        (3, 4, 5), TARGETS, lagging_routers=lagging_routers, is_complete=True
    ).follow_schedule(schedule)


def run_competing_steps() -> int:
    return VoterChangeExplorer((3, 4, 5), {6: TargetState.NEW, 7: TargetState.OLD}).follow_schedule(
        mistakes.COMPETING_STEPS
    )


FOUND: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], object]]] = [
    (mistakes.requires_new_majority_only, run_competing_steps),
    (mistakes.counts_all_voters_as_one_set, run_competing_steps),
    (mistakes.counts_removed_voters, schedule_run(mistakes.REMOVED_VOTERS)),
    (mistakes.ignores_discovered_voters, schedule_run(mistakes.REPEATED_FINAL_STEP, (0,))),
    (mistakes.new_voter_votes_without_recovery, schedule_run(mistakes.RESTARTED_NEW_VOTER)),
    (mistakes.recovers_from_configured_voters, schedule_run(mistakes.RESTARTED_NEW_VOTER)),
    (mistakes.joint_lease_from_new_voters_only, lambda: walk(5, changes_voters=True)),
    (mistakes.joint_lease_from_old_voters_only, lambda: walk(0, changes_voters=True)),
]


@pytest.mark.parametrize(("mistake", "run"), FOUND, ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(InvariantViolation):
        run()


def test_schedules_pass_without_the_mistake() -> None:
    for schedule in (mistakes.REMOVED_VOTERS, mistakes.RESTARTED_NEW_VOTER):
        assert schedule_run(schedule)()
    assert run_competing_steps() and schedule_run(mistakes.REPEATED_FINAL_STEP, (0,))()
    assert {mistake for mistake, _ in FOUND} == set(mistakes.ALL)


def run_change(
    world: World, proposer: int, version: int, voters: tuple[int, ...], seconds: float = 12.0
) -> Any:
    """Propose a change and return its handle after some time."""
    handle = world.propose(proposer, policy(version), 10.0, voters)
    world.run(seconds)
    return handle


def test_a_lost_voter_is_replaced() -> None:
    world = World(1, routers=6).started()
    world.crash(2, True, 1e9)
    assert run_change(world, 5, 2, (0, 1, 3)).in_force
    world.crash(1, True, 1e9)  # one of the former majority
    assert run_change(world, 5, 3, (), 5).in_force
    assert set(world.scopes().values()) == {(m.STEPS_PER_EPOCH + 3,)}


def test_all_voters_are_replaced_and_a_disconnected_router_finds_them() -> None:
    world = World(2, routers=7).started()
    world.disconnected = {frozenset((6, other)) for other in range(6)}
    assert run_change(world, 3, 2, (3, 4, 5)).in_force
    for voter in (0, 1, 2):
        world.crash(voter, True, 1e9)
    world.disconnected = set()
    world.crash(5, True, 0.0)  # knows nothing, and its operator's file names the old voters
    world.run(14)
    assert set(world.scopes()) == {3, 4, 5, 6} and set(world.scopes().values()) == {(m.STEPS_PER_EPOCH + 2,)}
    for voter in (0, 1, 2):
        # as in the operator's file, without their state: they are no voters any more
        world.start(voter)
    world.run(4)
    assert run_change(world, 0, 3, (), 5).in_force and len(world.scopes()) == 7


def test_removed_voters_become_heads() -> None:
    world = World(5, routers=7, max_direct_routers=0).started()
    assert run_change(world, 6, 2, (3, 4, 5)).in_force
    assert len(world.scopes()) == 7
    assert any(world.nodes[voter].protocol.delegated_leases.entries for voter in (0, 1, 2))


def test_unreachable_new_voters_change_nothing() -> None:
    world = World(3, routers=7).started()
    for voter in (4, 5):
        world.crash(voter, True, 1e9)
    handle = run_change(world, 6, 2, (3, 4, 5), 14)
    assert isinstance(handle.error, errors.NoMajorityError)
    assert run_change(world, 6, 3, (), 5).in_force


def test_new_voters_that_crash_in_the_joint_state_block_nothing() -> None:
    world = World(6, routers=7).started()
    handle = world.propose(6, policy(2), 10.0, (3, 4, 5))
    # the final step is not taken yet
    while (m.STEPS_PER_EPOCH + 1, m.STEPS_PER_EPOCH + 2) not in world.scopes().values():
        world.run(0.005)
    for voter in (3, 4, 5):
        world.crash(voter, True, 1e9)
    world.run(20)
    assert handle and isinstance(handle.error, errors.NoMajorityError)
    assert run_change(world, 6, 3, (0, 1, 6), 8).in_force


def test_new_voters_forward_decisions_at_once() -> None:
    world = World(4, routers=7).started()
    assert run_change(world, 6, 2, (3, 4, 5)).in_force
    assert run_change(world, 6, 3, (), 1.2).in_force  # with the next renewals it would take 1.5 s
    assert set(world.scopes().values()) == {(m.STEPS_PER_EPOCH + 3,)} and len(world.scopes()) == 7


def test_a_renewal_takes_a_majority_of_each_set() -> None:
    holder = LeaseHolder(3.0)
    holder.next_request(0.0, INITIAL_STATE)
    sets = ((0, 1, 2), (2, 3, 4))
    for voter, is_renewed in ((0, False), (1, False), (2, False), (3, True)):
        holder.on_granted(0.1, voter, 1)
        assert holder.is_renewed(sets) is is_renewed
    holder.next_request(1.0, INITIAL_STATE)
    assert not holder.is_renewed(sets)


def test_a_bootstrap_offer_that_names_other_voters_is_ignored() -> None:
    voter = Acceptor(0, 1, (0, 1, 2), 0.0, 1.0, None, False)
    voter.on_decided(INITIAL_STATE.successor(INITIAL_STATE.old, m.PolicyRef(2, b"x" * 16, (3, 4, 5))))
    voter.on_bootstrap_offer(m.RegisterState(2 * m.STEPS_PER_EPOCH, INITIAL_STATE.old))
    assert voter.offered_state is None
    voter.on_decided(INITIAL_STATE)
    voter.on_bootstrap_offer(m.RegisterState(2 * m.STEPS_PER_EPOCH, INITIAL_STATE.old))
    assert voter.offered_state


def test_records_without_voters_get_those_of_the_operator_file() -> None:
    old = msgspec.structs.replace(INITIAL_STATE, old=m.PolicyRef(1, b"x" * 16))
    record = msgspec.msgpack.encode(m.AcceptorState(m.Ballot(1), m.Ballot(1), old))
    accepted = Acceptor(0, 1, (0, 1, 2), 0.0, 1.0, record, False).acceptor_state.accepted
    assert accepted and accepted.voters == (0, 1, 2)


def test_impossible_sets_of_voters_are_rejected() -> None:
    world = World(4).started()
    for voters in ((0, 1), (0, 0, 1), (0, 1, 9)):
        with pytest.raises(InputError):
            world.propose(3, policy(2), 10.0, voters)
