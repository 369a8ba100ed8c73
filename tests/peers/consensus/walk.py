"""Random walks: whatever happens, the promises hold; once it is quiet again, a change takes hold."""

from __future__ import annotations

import random
from typing import Any

from tests.peers.consensus.world import Broken, World, policy

QUIET = 90.0  # seconds in which all is well again after the worst: two leases, a change that was left behind
AT_ONCE = 12.0  # and a change among routers that are all there


def walk(seed: int, moves: bool = False, **how: Any) -> World:
    """One walk; raises Broken where a promise is. `moves`: some changes name other voters."""
    draw = random.Random(seed)
    size = how.pop("voters", (0, 1, 2))
    routers = how.pop("routers", len(size) + draw.choice((2, 4)))
    disk = how.pop("disk", draw.random() < 0.5)
    bad = draw.choice((0.0, 0.05, 0.2))
    twice, slow = draw.choice((0.0, 0.1)), draw.choice((0.005, 0.05, 0.4))
    how.setdefault("direct", draw.choice((0, 32)))  # 0: another router answers for those that are no voters
    world = World(seed, routers, size, disk, twice=twice, **how)
    world.up()
    world.loss, world.slow = bad, slow
    version = 2
    for _ in range(draw.randrange(8, 20)):
        version = act(world, draw, version, disk, moves)
        world.run(draw.choice((0.02, 0.3, 1.0, 3.0, 8.0)))
    calm(world, version)
    return world


def spared(world: World, me: int) -> bool:
    """Whether this one mustn't forget: more of a set that is in play would have than can be."""
    latest = world.decided[max(world.decided)]
    for voters in (latest.old.voters, latest.new.voters if latest.new else (), latest.left):
        rooms = [world.nodes[v].room for v in voters if v in world.nodes and v != me]
        standing = sum(room.voter is not None and room.voter.standing for room in rooms)
        if me in voters and standing < len(voters) // 2 + 1:
            return True
    return False


def act(world: World, draw: random.Random, version: int, disk: bool, moves: bool) -> int:
    """Something happens."""
    me = draw.randrange(world.routers)
    match draw.choice(
        ("propose", "propose", "propose", "cut", "cut", "mend", "crash", "pause", "twin", "disk")
    ):
        case "propose":
            for _ in range(draw.choice((1, 1, 2))):
                # sometimes another document under the same version
                world.propose(
                    draw.randrange(world.routers),
                    policy(version, draw.choice((0.0, 7.0))),
                    draw.choice((5.0, 20.0)),
                    other_voters(world, draw) if moves else (),
                )
            version += draw.choice((0, 1, 1))
        case "cut":
            world.cut |= {frozenset((me, other)) for other in range(world.routers) if draw.random() < 0.7}
        case "mend":
            world.cut = set()
        case "crash":
            # no more lose their memory than can be
            if not (forget := not disk or draw.random() < 0.3) or not spared(world, me):
                world.crash(me, forget, draw.choice((0.0, 0.5, 6.0)))
        case "pause" if me in world.nodes:
            world.nodes[me].paused_until = world.now + draw.choice((0.5, 2.0, 3.2, 10.0))
        case "twin" if not spared(world, me) if moves else me not in world.voters:
            world.twin(me)
        case "disk":
            world.keep_fails, world.keep_slow = draw.choice((0.0, 0.0, 0.5)), draw.choice((0.02, 0.3))
    return version


def other_voters(world: World, draw: random.Random) -> tuple[int, ...]:
    """Mostly others than now, of another number too."""
    size = draw.choice([n for n in (3, 3, 5, 7) if n <= world.routers])
    return tuple(draw.sample(range(world.routers), size)) if draw.random() < 0.6 else ()


def calm(world: World, version: int) -> None:
    """All is well again: within a stated time all decide by one policy, and the next change takes hold."""
    world.cut, world.loss, world.slow, world.keep_fails, world.keep_slow = set(), 0.0, 0.01, 0.0, 0.02
    world.run(QUIET)
    scopes = world.scopes()
    if len(scopes) < world.routers or len(set(scopes.values())) > 1 or len(scopes[0]) != 1:
        raise Broken(f"no accord {QUIET} s after all was well: {scopes}")
    ticket = world.propose(world.routers - 1, policy(version + 100))
    world.run(AT_ONCE)
    if not ticket or not ticket.in_force or len(set(world.scopes().values())) > 1:
        raise Broken(f"no change {AT_ONCE} s after it was asked for: {ticket} {world.scopes()}")
    if any(asked.is_open and node.died > world.now for asked, node in world.askers):
        raise Broken("a ticket that never ended")
