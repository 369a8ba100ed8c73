"""The long form of the checks of `ironrail/peers/consensus/`, and what a voter's work for leases costs.

    PYTHONPATH=. python benchmarks/accord_check.py votes|rooms|walks|moves|cost|fleet [--most 2000000]

Each line: what was looked at, states or walks, whether all of it was, seconds.
"""

from __future__ import annotations

import argparse
import heapq
import time
from statistics import median
from typing import Any

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.lease import scoped_step_of
from ironrail.peers.consensus.proposal import TargetState
from ironrail.peers.messages import Received
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.moves import Moves
from tests.peers.consensus.still import EVERY_TICK
from tests.peers.consensus.votes import Votes
from tests.peers.consensus.walk import walk
from tests.peers.consensus.world import Node, World, policy

HEAD, ROOM = 23, 233  # bytes of each datagram: what the wire adds, and what is left for a body
PACE, BURST = 2000.0, 4000.0  # bytes a second, and at once
FACTS = p.Facts(
    frozenset(), frozenset({"fonts"}), frozenset({"north"}), frozenset(f"region-{i}" for i in range(200))
)
VOTES: tuple[dict[str, Any], ...] = (
    {"again": 2, "crashes": 0},
    {"again": 1, "crashes": 0, "askers": (3, 4)},
    {"again": 0, "crashes": 1, "askers": (0, 3), "victims": (2,)},
    {"again": 0, "crashes": 1, "askers": (3, 4), "victims": (3,)},
    {"again": 1, "crashes": 1, "victims": (2,)},
    {"again": 0, "crashes": 1, "victims": (2,), "disk": True},
)
ROOMS: tuple[dict[str, Any], ...] = (
    {"faults": 2, "ticks": 7},
    {"faults": 1, "slips": 1, "ticks": 6},
    {"faults": 0, "slips": 2, "ticks": 6},
    {"faults": 2, "ticks": 7, "disk": True, "kinds": "crash forget"},
    {"faults": 1, "ticks": 8, "routers": 5},
    {"faults": 1, "ticks": 8, "routers": 5, "direct": 0},
)
TWO = {0: TargetState.NEW, 1: TargetState.OLD}
# the register while its voters change: new ones, who asks for what, bounds
MOVES: tuple[tuple[tuple[int, ...], dict[int, TargetState], dict[str, Any]], ...] = (
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.OLD}, {}),
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.JOINT}, {"late": (0,)}),
    ((2, 3, 4), TWO, {}),
    ((1, 2, 3), {4: TargetState.NEW}, {"crashes": 1, "victims": (1, 3)}),
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.OLD}, {"crashes": 1, "victims": (3,)}),
    ((1, 2, 3), {4: TargetState.JOINT, 0: TargetState.JOINT}, {"moved": True, "late": (0,)}),
    ((2, 3, 4), {5: TargetState.JOINT, 0: TargetState.JOINT}, {"moved": True, "late": (0,)}),
    ((3, 4, 5), TWO, {}),
)


def moved(*named: int) -> tuple[Any, ...]:
    """A change to these voters, and another one after it."""
    return (1, max(named) + 1, 2, named), (8, 0, 3)


SLOW = {"ticks": 14, "deadline": 8.0}
ROOMS_MOVED: tuple[dict[str, Any], ...] = (
    {"faults": 0, "slips": 1, "routers": 5, "proposals": moved(1, 2, 3)} | SLOW,
    {"faults": 1, "routers": 5, "proposals": moved(1, 2, 3)} | SLOW,
    {"faults": 1, "routers": 6, "proposals": moved(2, 3, 4)} | SLOW,
    {"faults": 0, "slips": 1, "routers": 7, "proposals": moved(3, 4, 5)} | SLOW,
    {"faults": 1, "routers": 7, "proposals": moved(3, 4, 5)} | SLOW,
    {"faults": 1, "routers": 6, "disk": True, "kinds": "crash forget", "proposals": moved(2, 3, 4)} | SLOW,
)


def looked(what: str, check: Any) -> None:
    """Run it and say what came of it."""
    began = time.perf_counter()
    try:
        check.run()
        whole = "all"
    except OverflowError:
        whole = "as many as stated, not all"
    print(f"{what}: {len(check.seen)} states, {whole}, {time.perf_counter() - began:.0f} s", flush=True)


def cost(routers: int = 1000, seconds: int = 20) -> None:
    """CPU of one voter's room for renewals of so many routers, in their one form on the wire."""
    world = World(1).up()
    node = world.nodes[0]
    known = node.room.known
    now, size = world.clock(node), 0
    began = time.process_time()
    for second in range(seconds):
        for router in range(routers):  # that each ask is formed here is counted with it
            body = m.encode(m.LeaseRequest(second + 1, scoped_step_of(known), None, known.step))
            node.room.on_message(now + second, Received(router, 7000 + router, body))
            size += len(body) + sum(len(say.body) for say in node.room.take_outgoing())
    spent = time.process_time() - began
    share = spent / seconds
    print(f"{routers} renewals a second: {share:.1%} of a CPU, {size / seconds / routers:.0f} B each")
    began = time.process_time()
    for _ in range(100_000):
        node.room.effective_policy(now)
    print(f"decides_by: {(time.process_time() - began) * 10:.1f} us")


class Tier(World):
    """With the wire's pace and order of sending; looks at the promise once in a while."""

    def __init__(self, **how: Any) -> None:
        self.out: dict[int, int] = {}  # bytes by sender
        self.waiting: dict[int, list[tuple[int, int, Node, int, bytes]]] = {}
        self.room_for: dict[int, tuple[float, float]] = {}  # bytes that may be sent, as of when
        super().__init__(1, **how)

    def watch(self) -> None:
        """Not at each instant: a thousand routers would be asked a million times."""

    def send(self, node: Node, to: int, body: bytes) -> None:
        """Into the queue."""
        queue = self.waiting.setdefault(node.conf.router, [])
        first = not queue
        heapq.heappush(queue, (m.priority(m.decode(body)), next(self.order), node, to, body))
        if first:
            self.drain(node.conf.router)

    def drain(self, me: int) -> None:
        """What the pace lets out."""
        queue = self.waiting[me]
        while queue:
            *_, node, to, body = queue[0]
            pieces = 1 if len(body) <= ROOM else -(-len(body) // (ROOM - 2))
            size = len(body) + pieces * HEAD
            left, at = self.room_for.get(me, (BURST, 0.0))
            left = min(BURST, left + (self.now - at) * PACE)
            if left < size:
                self.room_for[me] = left, self.now
                self.at((size - left) / PACE + 1e-6, lambda: self.drain(me))
                return
            self.room_for[me] = left - size, self.now
            heapq.heappop(queue)
            self.out[me] = self.out.get(me, 0) + size
            super().send(node, to, body)


def fleet(routers: int, voters: int, kilobytes: int, seconds: int = 60) -> None:
    """A tier in virtual time: bytes of datagrams with heads, without IP, that each sends in a second."""
    tier = Tier(routers=routers, voters=tuple(range(voters)), loss=0.01, facts=lambda _: FACTS)
    tier.found(0, 1, policy(1))
    tier.run(120)
    deciding = len(tier.scopes())
    print(f"{routers} routers, {voters} voters: {deciding} decide 120 s after they were founded", flush=True)
    tier.out = {}
    lapses = 0
    for _ in range(seconds):
        tier.run(1)
        lapses += routers - len(tier.scopes())
    members = sorted((n / seconds for me, n in tier.out.items() if me >= voters), reverse=True)
    votes = max(n / seconds for me, n in tier.out.items() if me < voters)
    print(f"  calm: voters {votes:.0f} B/s, heads to {members[0]:.0f}, half below {median(members):.0f}")
    print(f"  routers without a lease in {seconds} looks, one in a hundred messages being lost: {lapses}")
    steering = {f"region-{i}": {"north": 0.5} for i in range(60 * kilobytes)}
    wanted = p.Policy(2, rates={"fonts": 1.0}, steering=steering)
    began = tier.now
    ticket = tier.propose(routers - 1, wanted, 40.0)
    while ticket and ticket.is_open:
        tier.run(0.5)
        World.watch(tier)
    spent = tier.now - began
    while len(set(tier.scopes().values())) > 1 or len(tier.scopes()) < routers:
        tier.run(0.5)
        World.watch(tier)
    told = ticket and (ticket.error or "in force")
    print(
        f"  a document of {len(p.encode(wanted))} B: {told} after {spent:.1f} s,"
        f" all after {tier.now - began:.1f} s"
    )


def moves(most: int) -> None:
    """The register alone while its voters change."""
    for new, goals, bound in MOVES:
        asked = {router: goal.name for router, goal in goals.items()}
        looked(f"moves {new} {asked} {bound}", Moves(new, goals, most=most, **bound))


def walks(number: int) -> None:
    """So many of each kind; raises Broken where a promise is."""
    for named in ((0, 1, 2), (0, 1, 2, 3, 4)):
        began = time.perf_counter()
        for seed in range(1000, 1000 + number):
            walk(seed, voters=named)
        spent = time.perf_counter() - began
        print(f"{number} walks of {len(named)} voters, {spent:.0f} s", flush=True)
    began, sets = time.perf_counter(), 0
    for seed in range(1000, 1000 + number):
        world = walk(seed, moves=True, routers=8)
        sets += len({state.voters for state in world.decided.values()}) - 1
    spent = time.perf_counter() - began
    print(f"{number} walks with {sets} other sets of voters, {spent:.0f} s", flush=True)


def main() -> None:
    """Command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("votes", "rooms", "walks", "moves", "cost", "fleet"))
    parser.add_argument("--most", type=int, default=2_000_000, help="states of each check")
    parser.add_argument("--walks", type=int, default=1000)
    given = parser.parse_args()
    if given.what == "cost":
        cost()
    elif given.what == "fleet":
        for routers, voters, kilobytes in ((30, 3, 1), (200, 3, 1), (1000, 3, 0), (1000, 5, 1), (1000, 7, 2)):
            fleet(routers, voters, kilobytes)
    elif given.what == "walks":
        walks(given.walks)
    elif given.what == "votes":
        for bound in VOTES:
            looked(f"votes {bound}", Votes(most=given.most, **bound))
    elif given.what == "moves":
        moves(given.most)
    else:
        for (module, name), value in EVERY_TICK.items():
            setattr(module, name, value)
        for bound in (*ROOMS, *ROOMS_MOVED):
            looked(f"rooms {bound}", Explorer(Bounds(most=given.most, **bound)))


if __name__ == "__main__":
    main()
