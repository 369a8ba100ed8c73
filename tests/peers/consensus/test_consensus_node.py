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
from tests.peers.consensus.world import CONTEXT, FALLBACK, World, policy


def versions(world: World) -> set[tuple[int, ...]]:
    """Return the versions that the routers decide by."""
    return {node.protocol.effective_policy(world.clock(node)).versions for node in world.nodes.values()}


def test_a_change_takes_effect_at_all_routers() -> None:
    world = World(1).started()
    handle = world.propose(4, policy(2))
    world.run(4)
    assert handle and handle.in_force and versions(world) == {(2,)}


def test_a_router_that_rejects_the_policy_keeps_all_on_the_old_one() -> None:
    world = World(
        1,
        make_context=lambda index: p.ValidationContext(
            titles=frozenset({"fonts"} if index == 4 else {"fonts", "more"})
        ),
    ).started()
    handle = world.propose(3, p.Policy(2, rates={"fonts": 1, "more": 1}))
    world.run(6)
    assert handle and isinstance(handle.error, errors.RefusedByError) and handle.error.location == "router 4"
    assert versions(world) == {(1,)}


def test_concurrent_changes_and_reused_versions_are_rejected() -> None:
    world = World(2).started()
    first, second = world.propose(3, policy(2)), world.propose(4, policy(3))
    world.run(6)
    assert first and second and first.in_force != second.in_force
    # depends on which is noticed first
    assert isinstance(first.error or second.error, errors.BusyError | errors.VersionError)
    third = world.propose(0, policy(2, rate=5.0))
    world.run(3)
    assert third and isinstance(third.error, errors.VersionError)


def test_a_change_waits_for_the_lease_of_a_disconnected_router() -> None:
    world = World(3).started()
    world.disconnected = {frozenset((4, other)) for other in range(4)}
    proposed_at = world.now
    handle = world.propose(3, policy(2))
    while handle and handle.is_open:
        world.run(0.1)
    assert handle and handle.in_force and world.now - proposed_at > 2
    effective_policy = world.nodes[4].protocol.effective_policy(world.clock(world.nodes[4]))
    assert effective_policy.versions == () and effective_policy.policy.rates == FALLBACK.rates
    world.disconnected = set()
    world.run(3)
    assert versions(world) == {(2,)}


def test_a_change_takes_effect_nowhere_without_a_majority() -> None:
    world = World(4).started()
    world.disconnected = {frozenset((a, b)) for a in (0, 1) for b in range(5)}
    handle = world.propose(3, policy(2), deadline=5)
    world.run(6)
    assert handle and isinstance(handle.error, errors.NoMajorityError) and versions(world) == {()}
    world.disconnected = set()
    world.run(15)
    assert versions(world) == {(1,)}


def test_the_handle_reports_an_unknown_outcome() -> None:
    world = World(5).started()
    handle = world.propose(3, policy(2), deadline=5)
    proposal = world.nodes[3].protocol.proposer.proposal
    while not proposal.final_step_sent:
        world.run(0.005)
    world.disconnected = {frozenset((3, b)) for b in range(5)}
    world.run(4)
    assert handle and handle.is_open
    world.run(8)
    assert isinstance(handle.error, errors.OpenError)


def test_a_voter_that_cannot_write_its_record_reports_it_and_recovers() -> None:
    world = World(6, persists_records=True).started()
    world.write_failure_rate = 1.0
    world.propose(3, policy(2))
    world.run(2)
    protocol = world.nodes[0].protocol
    assert any(isinstance(t, errors.KeepingError) for t in protocol.faults(world.clock(world.nodes[0])))
    assert versions(world) == {(1,)}  # the router still serves clients
    world.write_failure_rate = 0.0
    world.run(8)
    assert versions(world) == {(2,)}


def test_bootstrap_after_too_many_voters_lost_their_state() -> None:
    world = World(7).started()
    for voter in (0, 1):
        world.crash(voter, loses_record=True, restart_delay=0.0)
    world.run(10)
    protocol = world.nodes[0].protocol
    faults = protocol.faults(world.clock(world.nodes[0]))
    assert any(isinstance(t, errors.LostError) for t in faults) and versions(world) == {()}
    world.bootstrap(4, 2, policy(1))
    world.run(25)
    assert versions(world) == {(1,)}
    handle = world.propose(2, policy(2))
    world.run(5)
    assert handle and handle.in_force


def test_voters_with_a_state_ignore_a_bootstrap() -> None:
    world = World(8).started()
    world.bootstrap(4, 2, policy(9))
    world.run(20)
    assert versions(world) == {(1,)}


def test_a_router_starts_not_ready_or_on_the_fallback_policy() -> None:
    for starts_on_fallback in (False, True):
        protocol = ConsensusNode(
            ConsensusConfig(3, 1, 4, (0, 1, 2), starts_on_fallback=starts_on_fallback), CONTEXT, FALLBACK, 0.0
        )
        assert protocol.effective_policy(1.0).policy == (FALLBACK if starts_on_fallback else None)
        with pytest.raises(errors.UnreadyError):
            protocol.propose(1.0, policy(2))


def test_undecodable_messages_are_counted() -> None:
    protocol = ConsensusNode(ConsensusConfig(0, 1, 4, (0, 1, 2)), CONTEXT, FALLBACK, 0.0)
    for body in (b"", b"\xc1", b"\x91\x63", m.encode(m.DocumentRequest(b"x" * 16))[:-1]):
        protocol.on_message(0.0, Received(3, 9, body))
    assert protocol.unusable == 4 and not protocol.take_outgoing()


@pytest.mark.parametrize("voters", [(0, 1), (0, 0, 1), (0, 1, 9), tuple(range(9))])
def test_impossible_sets_of_voters_are_rejected(voters: tuple[int, ...]) -> None:
    with pytest.raises(InputError):
        ConsensusConfig(0, 1, 5, voters)


def test_messages_are_small() -> None:
    world = World(9, routers=9, voters=tuple(range(7)))
    sizes: dict[str, int] = {}
    original_check = world.check_sent

    def sent(node: object, body: bytes) -> None:
        name = type(m.decode(body)).__name__
        sizes[name] = max(sizes.get(name, 0), len(body))
        original_check(node, body)  # type: ignore[arg-type]

    world.check_sent = sent  # type: ignore[method-assign]
    world.started()
    world.propose(8, policy(2))
    world.run(5)
    assert (
        sizes.pop("Document") < 100
        and max(sizes.values()) < 200
        and sizes["LeaseRequest"] < 80
        and sizes["LeaseReply"] < 100
    )
