"""Random walks: the invariants hold during faults, and a change takes effect after them."""

from __future__ import annotations

import random
from typing import Any

from tests.peers.consensus.world import InvariantViolation, World, policy

# until all routers agree after the faults: two leases, and an abandoned change
RECOVERY_SECONDS = 90.0
CHANGE_SECONDS = 12.0  # and for a change when all routers are present


def walk(seed: int, changes_voters: bool = False, **kwargs: Any) -> World:
    """Run one random walk.

    Args:
        seed: Seed of all random choices.
        changes_voters: Whether some changes name other voters.
        **kwargs: Arguments of `World`.

    Raises:
        InvariantViolation: An invariant does not hold.
    """
    random_source = random.Random(seed)
    voters = kwargs.pop("voters", (0, 1, 2))
    routers = kwargs.pop("routers", len(voters) + random_source.choice((2, 4)))
    persists_records = kwargs.pop("persists_records", random_source.random() < 0.5)
    loss_rate = random_source.choice((0.0, 0.05, 0.2))
    duplicate_rate, mean_delay = random_source.choice((0.0, 0.1)), random_source.choice((0.005, 0.05, 0.4))
    # 0: routers that are no voters ask a head
    kwargs.setdefault("max_direct_routers", random_source.choice((0, 32)))
    world = World(seed, routers, voters, persists_records, duplicate_rate=duplicate_rate, **kwargs)
    world.started()
    world.loss_rate, world.mean_delay = loss_rate, mean_delay
    version = 2
    for _ in range(random_source.randrange(8, 20)):
        version = perform_random_action(world, random_source, version, persists_records, changes_voters)
        world.run(random_source.choice((0.02, 0.3, 1.0, 3.0, 8.0)))
    check_recovery(world, version)
    return world


def must_keep_state(world: World, index: int) -> bool:
    """Return whether this voter must keep its state.

    Too many of a set of voters in use would be without theirs.
    """
    latest_state = world.decided[max(world.decided)]
    for voters in (
        latest_state.old.voters,
        latest_state.new.voters if latest_state.new else (),
        latest_state.previous_voters,
    ):
        protocols = [world.nodes[v].protocol for v in voters if v in world.nodes and v != index]
        num_voting = sum(
            protocol.acceptor is not None and protocol.acceptor.is_voting for protocol in protocols
        )
        if index in voters and num_voting < len(voters) // 2 + 1:
            return True
    return False


def perform_random_action(
    world: World, random_source: random.Random, version: int, persists_records: bool, changes_voters: bool
) -> int:
    """Propose a change or inject a fault."""
    index = random_source.randrange(world.routers)
    match random_source.choice(
        ("propose", "propose", "propose", "cut", "cut", "mend", "crash", "pause", "twin", "disk")
    ):
        case "propose":
            for _ in range(random_source.choice((1, 1, 2))):
                # sometimes another document under the same version
                world.propose(
                    random_source.randrange(world.routers),
                    policy(version, random_source.choice((0.0, 7.0))),
                    random_source.choice((5.0, 20.0)),
                    other_voters(world, random_source) if changes_voters else (),
                )
            version += random_source.choice((0, 1, 1))
        case "cut":
            world.disconnected |= {
                frozenset((index, other)) for other in range(world.routers) if random_source.random() < 0.7
            }
        case "mend":
            world.disconnected = set()
        case "crash":
            # no more voters lose their state than the register tolerates
            if not (
                loses_record := not persists_records or random_source.random() < 0.3
            ) or not must_keep_state(world, index):
                world.crash(index, loses_record, random_source.choice((0.0, 0.5, 6.0)))
        case "pause" if index in world.nodes:
            world.nodes[index].paused_until = world.now + random_source.choice((0.5, 2.0, 3.2, 10.0))
        case "twin" if not must_keep_state(world, index) if changes_voters else index not in world.voters:
            world.replace_process(index)
        case "disk":
            world.write_failure_rate, world.max_write_delay = (
                random_source.choice((0.0, 0.0, 0.5)),
                random_source.choice((0.02, 0.3)),
            )
    return version


def other_voters(world: World, random_source: random.Random) -> tuple[int, ...]:
    """Return a random set of voters, or none."""
    voters = random_source.choice([n for n in (3, 3, 5, 7) if n <= world.routers])
    return tuple(random_source.sample(range(world.routers), voters)) if random_source.random() < 0.6 else ()


def check_recovery(world: World, version: int) -> None:
    """End all faults, and check that routers agree in time and the next change takes effect."""
    world.disconnected, world.loss_rate, world.mean_delay, world.write_failure_rate, world.max_write_delay = (
        set(),
        0.0,
        0.01,
        0.0,
        0.02,
    )
    world.run(RECOVERY_SECONDS)
    scopes = world.scopes()
    if len(scopes) < world.routers or len(set(scopes.values())) > 1 or len(scopes[0]) != 1:
        raise InvariantViolation(f"no agreement {RECOVERY_SECONDS} s after the faults: {scopes}")
    handle = world.propose(world.routers - 1, policy(version + 100))
    world.run(CHANGE_SECONDS)
    if not handle or not handle.in_force or len(set(world.scopes().values())) > 1:
        raise InvariantViolation(
            f"no change {CHANGE_SECONDS} s after it was proposed: {handle} {world.scopes()}"
        )
    if any(handle.is_open and node.stopped_at > world.now for handle, node in world.proposers):
        raise InvariantViolation("a handle that never ended")
