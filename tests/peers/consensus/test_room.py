"""Changes as an operator sees them."""

from __future__ import annotations

import pytest

from ironrail.errors import InputError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.messages import Received
from tests.peers.consensus.world import FACTS, FLOOR, World, policy


def versions(world: World) -> set[tuple[int, ...]]:
    """What routers decide by."""
    return {node.room.effective_policy(world.clock(node)).versions for node in world.nodes.values()}


def test_takes_hold_everywhere() -> None:
    world = World(1).up()
    ticket = world.propose(4, policy(2))
    world.run(4)
    assert ticket and ticket.in_force and versions(world) == {(2,)}


def test_one_that_cannot_work_by_it_keeps_all_on_the_old() -> None:
    world = World(
        1, facts=lambda me: p.Facts(titles=frozenset({"fonts"} if me == 4 else {"fonts", "more"}))
    ).up()
    ticket = world.propose(3, p.Policy(2, rates={"fonts": 1, "more": 1}))
    world.run(6)
    assert ticket and isinstance(ticket.error, errors.RefusedByError) and ticket.error.location == "router 4"
    assert versions(world) == {(1,)}


def test_two_at_once_and_versions_that_were_tried() -> None:
    world = World(2).up()
    one, other = world.propose(3, policy(2)), world.propose(4, policy(3))
    world.run(6)
    assert one and other and one.in_force != other.in_force
    assert isinstance(one.error or other.error, errors.BusyError | errors.VersionError)  # as it was heard
    again = world.propose(0, policy(2, rate=5.0))
    world.run(3)
    assert again and isinstance(again.error, errors.VersionError)


def test_waits_for_the_lease_of_one_that_is_cut_off() -> None:
    world = World(3).up()
    world.cut = {frozenset((4, other)) for other in range(4)}
    asked = world.now
    ticket = world.propose(3, policy(2))
    while ticket and ticket.is_open:
        world.run(0.1)
    assert ticket and ticket.in_force and world.now - asked > 2
    found = world.nodes[4].room.effective_policy(world.clock(world.nodes[4]))
    assert found.versions == () and found.policy.rates == FLOOR.rates
    world.cut = set()
    world.run(3)
    assert versions(world) == {(2,)}


def test_nowhere_without_a_majority() -> None:
    world = World(4).up()
    world.cut = {frozenset((a, b)) for a in (0, 1) for b in range(5)}
    ticket = world.propose(3, policy(2), deadline=5)
    world.run(6)
    assert ticket and isinstance(ticket.error, errors.NoMajorityError) and versions(world) == {()}
    world.cut = set()
    world.run(15)
    assert versions(world) == {(1,)}


def test_ticket_says_so_where_nobody_can_tell() -> None:
    world = World(5).up()
    ticket = world.propose(3, policy(2), deadline=5)
    change = world.nodes[3].room.proposer.change
    while not change.final_step_sent:
        world.run(0.005)
    world.cut = {frozenset((3, b)) for b in range(5)}
    world.run(4)
    assert ticket and ticket.is_open
    world.run(8)
    assert isinstance(ticket.error, errors.OpenError)


def test_voter_that_cannot_keep_says_so_and_comes_back() -> None:
    world = World(6, disk=True).up()
    world.keep_fails = 1.0
    world.propose(3, policy(2))
    world.run(2)
    room = world.nodes[0].room
    assert any(isinstance(t, errors.KeepingError) for t in room.faults(world.clock(world.nodes[0])))
    assert versions(world) == {(1,)}  # it serves on
    world.keep_fails = 0.0
    world.run(8)
    assert versions(world) == {(2,)}


def test_more_lost_than_can_be_and_founded_anew() -> None:
    world = World(7).up()
    for voter in (0, 1):
        world.crash(voter, forget=True, back_in=0.0)
    world.run(10)
    room = world.nodes[0].room
    troubles = room.faults(world.clock(world.nodes[0]))
    assert any(isinstance(t, errors.LostError) for t in troubles) and versions(world) == {()}
    world.found(4, 2, policy(1))
    world.run(25)
    assert versions(world) == {(1,)}
    ticket = world.propose(2, policy(2))
    world.run(5)
    assert ticket and ticket.in_force


def test_founding_is_nothing_to_those_that_stand() -> None:
    world = World(8).up()
    world.found(4, 2, policy(9))
    world.run(20)
    assert versions(world) == {(1,)}


def test_starts_not_ready_or_on_the_floor() -> None:
    for floor in (False, True):
        room = ConsensusNode(ConsensusConfig(3, 1, 4, (0, 1, 2), starts_on_fallback=floor), FACTS, FLOOR, 0.0)
        assert room.effective_policy(1.0).policy == (FLOOR if floor else None)
        with pytest.raises(errors.UnreadyError):
            room.propose(1.0, policy(2))


def test_what_makes_no_sense_is_counted() -> None:
    room = ConsensusNode(ConsensusConfig(0, 1, 4, (0, 1, 2)), FACTS, FLOOR, 0.0)
    for body in (b"", b"\xc1", b"\x91\x63", m.encode(m.DocumentRequest(b"x" * 16))[:-1]):
        room.on_message(0.0, Received(3, 9, body))
    assert room.unusable == 4 and not room.take_outgoing()


@pytest.mark.parametrize("voters", [(0, 1), (0, 0, 1), (0, 1, 9), tuple(range(9))])
def test_voters_that_cannot_be(voters: tuple[int, ...]) -> None:
    with pytest.raises(InputError):
        ConsensusConfig(0, 1, 5, voters)


def test_messages_are_small() -> None:
    world = World(9, routers=9, voters=tuple(range(7)))
    sizes: dict[str, int] = {}
    before = world.watch_sent

    def sent(node: object, body: bytes) -> None:
        name = type(m.decode(body)).__name__
        sizes[name] = max(sizes.get(name, 0), len(body))
        before(node, body)  # type: ignore[arg-type]

    world.watch_sent = sent  # type: ignore[method-assign]
    world.up()
    world.propose(8, policy(2))
    world.run(5)
    assert (
        sizes.pop("Document") < 100
        and max(sizes.values()) < 200
        and sizes["LeaseRequest"] < 80
        and sizes["LeaseReply"] < 100
    )
