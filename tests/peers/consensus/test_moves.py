"""A replaced set of voters: the promises within bounds, over walks, and with mistakes planted."""

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
from tests.peers.consensus import moved
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.moves import PLAIN, Moves
from tests.peers.consensus.still import EVERY_TICK
from tests.peers.consensus.walk import walk
from tests.peers.consensus.watching import Broken
from tests.peers.consensus.world import World, policy

JOINERS = {6: TargetState.JOINT, 7: TargetState.JOINT, 0: TargetState.JOINT}


@pytest.mark.parametrize(
    ("goals", "how", "states"),
    [({4: TargetState.NEW}, {}, 316), ({4: TargetState.NEW, 0: TargetState.JOINT}, {"late": (0,)}, 1_714)],
)
def test_decides_once_while_voters_change(goals: Any, how: Any, states: int) -> None:
    assert Moves((1, 2, 3), goals, **how).run() > 0.8 * states


def test_rooms_move_their_voters_and_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    for (module, name), value in EVERY_TICK.items():
        monkeypatch.setattr(module, name, value)
    calls = ((1, 6, 2, (3, 4, 5)), (8, 0, 3))
    explorer = Explorer(Bounds(ticks=14, faults=0, routers=7, deadline=8.0, proposals=calls))
    assert explorer.run() > 800 and explorer.ended == {"in force": 2}


@pytest.mark.parametrize("seed", [10])
def test_walks_with_other_voters(seed: int) -> None:
    assert len({state.voters for state in walk(seed, moves=True).decided.values()}) > 1


def followed(plan: str, late: tuple[int, ...] = ()) -> Callable[[], object]:
    return lambda: Moves((3, 4, 5), JOINERS, late=late, moved=True).follow(plan)


def rivals() -> int:
    return Moves((3, 4, 5), {6: TargetState.NEW, 7: TargetState.OLD}).follow(moved.OLD_BESIDE_NEW)


FOUND: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], object]]] = [
    (moved.forward_by_new_alone, rivals),
    (moved.majority_of_all, rivals),
    (moved.removed_still_counted, followed(moved.REMOVED)),
    (moved.found_state_not_heeded, followed(moved.SETTLED_AGAIN, (0,))),
    (moved.votes_before_it_holds, followed(moved.FORGOTTEN)),
    (moved.asks_the_file, followed(moved.FORGOTTEN)),
    (moved.old_grants_forgotten, lambda: walk(5, moves=True)),
    (moved.new_grants_forgotten, lambda: walk(0, moves=True)),
]


@pytest.mark.parametrize(("mistake", "run"), FOUND, ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(Broken):
        run()


def test_runs_do_no_harm_without_the_mistake() -> None:
    for plan in (moved.REMOVED, moved.FORGOTTEN):
        assert followed(plan)()
    assert rivals() and followed(moved.SETTLED_AGAIN, (0,))()
    assert {mistake for mistake, _ in FOUND} == set(moved.ALL)


def change(world: World, by: int, version: int, voters: tuple[int, ...], seconds: float = 12.0) -> Any:
    """What came of it."""
    ticket = world.propose(by, policy(version), 10.0, voters)
    world.run(seconds)
    return ticket


def test_one_that_is_gone_for_good_is_replaced() -> None:
    world = World(1, routers=6).up()
    world.crash(2, True, 1e9)
    assert change(world, 5, 2, (0, 1, 3)).in_force
    world.crash(1, True, 1e9)  # one of the former majority
    assert change(world, 5, 3, (), 5).in_force
    assert set(world.scopes().values()) == {(m.EPOCH + 3,)}


def test_all_are_replaced_and_who_was_away_finds_them() -> None:
    world = World(2, routers=7).up()
    world.cut = {frozenset((6, other)) for other in range(6)}
    assert change(world, 3, 2, (3, 4, 5)).in_force
    for voter in (0, 1, 2):
        world.crash(voter, True, 1e9)
    world.cut = set()
    world.crash(5, True, 0.0)  # knows nothing, and its file names the old ones
    world.run(14)
    assert set(world.scopes()) == {3, 4, 5, 6} and set(world.scopes().values()) == {(m.EPOCH + 2,)}
    for voter in (0, 1, 2):
        world.start(voter)  # as the file has it, without a memory: they are no voters any more
    world.run(4)
    assert change(world, 0, 3, (), 5).in_force and len(world.scopes()) == 7


def test_removed_voters_answer_for_others() -> None:
    world = World(5, routers=7, direct=0).up()
    assert change(world, 6, 2, (3, 4, 5)).in_force
    assert len(world.scopes()) == 7
    assert any(world.nodes[voter].room.lent.entries for voter in (0, 1, 2))


def test_new_ones_that_are_not_there_change_nothing() -> None:
    world = World(3, routers=7).up()
    for voter in (4, 5):
        world.crash(voter, True, 1e9)
    ticket = change(world, 6, 2, (3, 4, 5), 14)
    assert isinstance(ticket.error, errors.NoMajorityError)
    assert change(world, 6, 3, (), 5).in_force


def test_new_ones_that_die_in_the_joint_state_block_nothing() -> None:
    world = World(6, routers=7).up()
    ticket = world.propose(6, policy(2), 10.0, (3, 4, 5))
    while (m.EPOCH + 1, m.EPOCH + 2) not in world.scopes().values():  # not yet the last step
        world.run(0.005)
    for voter in (3, 4, 5):
        world.crash(voter, True, 1e9)
    world.run(20)
    assert ticket and isinstance(ticket.error, errors.NoMajorityError)
    assert change(world, 6, 3, (0, 1, 6), 8).in_force


def test_new_voters_tell_the_news_at_once() -> None:
    world = World(4, routers=7).up()
    assert change(world, 6, 2, (3, 4, 5)).in_force
    assert change(world, 6, 3, (), 1.2).in_force  # by the next renewals alone it takes 1.5 s
    assert set(world.scopes().values()) == {(m.EPOCH + 3,)} and len(world.scopes()) == 7


def test_a_renewal_takes_a_majority_of_each_set() -> None:
    holder = LeaseHolder(3.0)
    holder.next_request(0.0, PLAIN)
    sets = ((0, 1, 2), (2, 3, 4))
    for voter, fresh in ((0, False), (1, False), (2, False), (3, True)):
        holder.on_granted(0.1, voter, 1)
        assert holder.is_renewed(sets) is fresh
    holder.next_request(1.0, PLAIN)
    assert not holder.is_renewed(sets)


def test_founding_for_others_than_are_in_force_is_nothing() -> None:
    voter = Acceptor(0, 1, (0, 1, 2), 0.0, 1.0, None, False)
    voter.learned(PLAIN.next(PLAIN.old, m.PolicyRef(2, b"x" * 16, (3, 4, 5))))
    voter.offered(m.RegisterState(2 * m.EPOCH, PLAIN.old))
    assert voter.offer is None
    voter.learned(PLAIN)
    voter.offered(m.RegisterState(2 * m.EPOCH, PLAIN.old))
    assert voter.offer


def test_records_of_before_name_the_files_voters() -> None:
    old = msgspec.structs.replace(PLAIN, old=m.PolicyRef(1, b"x" * 16))
    record = msgspec.msgpack.encode(m.AcceptorState(m.Ballot(1), m.Ballot(1), old))
    accepted = Acceptor(0, 1, (0, 1, 2), 0.0, 1.0, record, False).vouched.accepted
    assert accepted and accepted.voters == (0, 1, 2)


def test_voters_that_cannot_be() -> None:
    world = World(4).up()
    for voters in ((0, 1), (0, 0, 1), (0, 1, 9)):
        with pytest.raises(InputError):
            world.propose(3, policy(2), 10.0, voters)
