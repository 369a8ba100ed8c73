"""Long-running checks of `ironrail/peers/consensus/`, and the cost of granting leases.

    PYTHONPATH=. python benchmarks/accord_check.py votes|rooms|walks|moves|cost|fleet
        [--most 2000000]

Each line: what was checked, the number of states or walks, whether all states were visited,
seconds.
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
from tests.peers.consensus.deterministic_nodes import TICK_CONSTANTS
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.random_walk import walk
from tests.peers.consensus.register_explorer import RegisterExplorer
from tests.peers.consensus.voter_change_explorer import VoterChangeExplorer
from tests.peers.consensus.world import Node, World, policy

# of each datagram: the overhead, and the space for a body
DATAGRAM_OVERHEAD_BYTES, MAX_BODY_BYTES = 23, 233
RATE_LIMIT_BYTES_PER_SECOND, BURST_BYTES = 2000.0, 4000.0
CONTEXT = p.ValidationContext(
    frozenset(), frozenset({"fonts"}), frozenset({"north"}), frozenset(f"region-{i}" for i in range(200))
)
REGISTER_BOUNDS: tuple[dict[str, Any], ...] = (
    {"max_retries": 2, "max_crashes": 0},
    {"max_retries": 1, "max_crashes": 0, "proposers": (3, 4)},
    {"max_retries": 0, "max_crashes": 1, "proposers": (0, 3), "crashing_routers": (2,)},
    {"max_retries": 0, "max_crashes": 1, "proposers": (3, 4), "crashing_routers": (3,)},
    {"max_retries": 1, "max_crashes": 1, "crashing_routers": (2,)},
    {"max_retries": 0, "max_crashes": 1, "crashing_routers": (2,), "persists_records": True},
)
NODE_BOUNDS: tuple[dict[str, Any], ...] = (
    {"faults": 2, "ticks": 7},
    {"faults": 1, "message_faults": 1, "ticks": 6},
    {"faults": 0, "message_faults": 2, "ticks": 6},
    {"faults": 2, "ticks": 7, "persists_records": True, "fault_kinds": "crash forget"},
    {"faults": 1, "ticks": 8, "routers": 5},
    {"faults": 1, "ticks": 8, "routers": 5, "max_direct_routers": 0},
)
COMPETING_TARGETS = {0: TargetState.NEW, 1: TargetState.OLD}
# exploration of the register while its voters change: new voters, who proposes what, bounds
VOTER_CHANGES: tuple[tuple[tuple[int, ...], dict[int, TargetState], dict[str, Any]], ...] = (
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.OLD}, {}),
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.JOINT}, {"lagging_routers": (0,)}),
    ((2, 3, 4), COMPETING_TARGETS, {}),
    ((1, 2, 3), {4: TargetState.NEW}, {"max_crashes": 1, "crashing_routers": (1, 3)}),
    ((1, 2, 3), {4: TargetState.NEW, 0: TargetState.OLD}, {"max_crashes": 1, "crashing_routers": (3,)}),
    ((1, 2, 3), {4: TargetState.JOINT, 0: TargetState.JOINT}, {"is_complete": True, "lagging_routers": (0,)}),
    ((2, 3, 4), {5: TargetState.JOINT, 0: TargetState.JOINT}, {"is_complete": True, "lagging_routers": (0,)}),
    ((3, 4, 5), COMPETING_TARGETS, {}),
)


def proposals_with_new_voters(*voters: int) -> tuple[Any, ...]:
    """Return a change to these voters, and another change after it."""
    return (1, max(voters) + 1, 2, voters), (8, 0, 3)


LONG_BOUNDS = {"ticks": 14, "deadline": 8.0}
VOTER_CHANGE_BOUNDS: tuple[dict[str, Any], ...] = (
    {"faults": 0, "message_faults": 1, "routers": 5, "proposals": proposals_with_new_voters(1, 2, 3)}
    | LONG_BOUNDS,
    {"faults": 1, "routers": 5, "proposals": proposals_with_new_voters(1, 2, 3)} | LONG_BOUNDS,
    {"faults": 1, "routers": 6, "proposals": proposals_with_new_voters(2, 3, 4)} | LONG_BOUNDS,
    {"faults": 0, "message_faults": 1, "routers": 7, "proposals": proposals_with_new_voters(3, 4, 5)}
    | LONG_BOUNDS,
    {"faults": 1, "routers": 7, "proposals": proposals_with_new_voters(3, 4, 5)} | LONG_BOUNDS,
    {
        "faults": 1,
        "routers": 6,
        "persists_records": True,
        "fault_kinds": "crash forget",
        "proposals": proposals_with_new_voters(2, 3, 4),
    }
    | LONG_BOUNDS,
)


def report(label: str, explorer: Any) -> None:
    """Run an exploration and print its result."""
    started_at = time.perf_counter()
    try:
        explorer.run()
        coverage = "all"
    except OverflowError:
        coverage = "as many as --most, not all"
    print(
        f"{label}: {len(explorer.seen)} states, {coverage}, {time.perf_counter() - started_at:.0f} s",
        flush=True,
    )


def measure_cost(routers: int = 1000, seconds: int = 20) -> None:
    """Measure the CPU time of one voter for the lease renewals of this many routers."""
    world = World(1).started()
    node = world.nodes[0]
    known = node.protocol.latest_decided
    now, size = world.clock(node), 0
    started_at = time.process_time()
    for second in range(seconds):
        for router in range(routers):  # includes the time to encode the request
            body = m.encode(m.LeaseRequest(second + 1, scoped_step_of(known), None, known.step))
            node.protocol.on_message(now + second, Received(router, 7000 + router, body))
            size += len(body) + sum(len(outgoing.body) for outgoing in node.protocol.take_outgoing())
    elapsed = time.process_time() - started_at
    share = elapsed / seconds
    print(f"{routers} renewals a second: {share:.1%} of a CPU, {size / seconds / routers:.0f} B each")
    started_at = time.process_time()
    for _ in range(100_000):
        node.protocol.effective_policy(now)
    print(f"decides_by: {(time.process_time() - started_at) * 10:.1f} us")


class PeerGroup(World):
    """A simulation with the wire's rate limit and order of sending; invariants are checked on
    request.
    """

    def __init__(self, **kwargs: Any) -> None:
        self.sent_bytes: dict[int, int] = {}  # by sender
        self.queues: dict[int, list[tuple[int, int, Node, int, bytes]]] = {}
        # available bytes, and when that was computed
        self.budget: dict[int, tuple[float, float]] = {}
        super().__init__(1, **kwargs)

    def check_invariants(self) -> None:
        """Do nothing: after each event the check of a thousand routers would take too long."""

    def send(self, node: Node, to: int, body: bytes) -> None:
        """Queue a message."""
        queue = self.queues.setdefault(node.conf.own_index, [])
        first = not queue
        heapq.heappush(queue, (m.priority(m.decode(body)), next(self.event_counter), node, to, body))
        if first:
            self.send_queued(node.conf.own_index)

    def send_queued(self, index: int) -> None:
        """Send what the rate limit admits."""
        queue = self.queues[index]
        while queue:
            *_, node, to, body = queue[0]
            pieces = 1 if len(body) <= MAX_BODY_BYTES else -(-len(body) // (MAX_BODY_BYTES - 2))
            size = len(body) + pieces * DATAGRAM_OVERHEAD_BYTES
            available, updated_at = self.budget.get(index, (BURST_BYTES, 0.0))
            available = min(BURST_BYTES, available + (self.now - updated_at) * RATE_LIMIT_BYTES_PER_SECOND)
            if available < size:
                self.budget[index] = available, self.now
                self.schedule(
                    (size - available) / RATE_LIMIT_BYTES_PER_SECOND + 1e-6, lambda: self.send_queued(index)
                )
                return
            self.budget[index] = available - size, self.now
            heapq.heappop(queue)
            self.sent_bytes[index] = self.sent_bytes.get(index, 0) + size
            super().send(node, to, body)


def measure_fleet(routers: int, voters: int, kilobytes: int, seconds: int = 60) -> None:
    """Measure a peer group in virtual time: bytes/s of each router's datagrams, without IP
    headers.
    """
    peers = PeerGroup(
        routers=routers, voters=tuple(range(voters)), loss_rate=0.01, make_context=lambda _: CONTEXT
    )
    peers.bootstrap(0, 1, policy(1))
    peers.run(120)
    deciding = len(peers.scopes())
    print(f"{routers} routers, {voters} voters: {deciding} decide 120 s after the bootstrap", flush=True)
    peers.sent_bytes = {}
    lapses = 0
    for _ in range(seconds):
        peers.run(1)
        lapses += routers - len(peers.scopes())
    member_rates = sorted(
        (n / seconds for index, n in peers.sent_bytes.items() if index >= voters), reverse=True
    )
    voter_rate = max(n / seconds for index, n in peers.sent_bytes.items() if index < voters)
    print(
        f"  calm: voters {voter_rate:.0f} B/s, heads to {member_rates[0]:.0f},"
        f" half below {median(member_rates):.0f}"
    )
    print(f"  routers without a lease in {seconds} samples, one in a hundred messages being lost: {lapses}")
    steering = {f"region-{i}": {"north": 0.5} for i in range(60 * kilobytes)}
    wanted = p.Policy(2, rates={"fonts": 1.0}, steering=steering)
    started_at = peers.now
    handle = peers.propose(routers - 1, wanted, 40.0)
    while handle and handle.is_open:
        peers.run(0.5)
        World.check_invariants(peers)
    elapsed = peers.now - started_at
    while len(set(peers.scopes().values())) > 1 or len(peers.scopes()) < routers:
        peers.run(0.5)
        World.check_invariants(peers)
    outcome = handle and (handle.error or "in force")
    print(
        f"  a document of {len(p.encode(wanted))} B: {outcome} after {elapsed:.1f} s,"
        f" all after {peers.now - started_at:.1f} s"
    )


def explore_voter_changes(max_states: int) -> None:
    """Explore the register alone while its voters change."""
    for new_voters, targets, bounds in VOTER_CHANGES:
        target_names = {router: target.name for router, target in targets.items()}
        report(
            f"moves {new_voters} {target_names} {bounds}",
            VoterChangeExplorer(new_voters, targets, max_states=max_states, **bounds),
        )


def run_walks(number: int) -> None:
    """Run this many random walks of each kind.

    Raises:
        InvariantViolation: An invariant does not hold.
    """
    for voters in ((0, 1, 2), (0, 1, 2, 3, 4)):
        started_at = time.perf_counter()
        for seed in range(1000, 1000 + number):
            walk(seed, voters=voters)
        elapsed = time.perf_counter() - started_at
        print(f"{number} walks of {len(voters)} voters, {elapsed:.0f} s", flush=True)
    started_at, sets = time.perf_counter(), 0
    for seed in range(1000, 1000 + number):
        world = walk(seed, changes_voters=True, routers=8)
        sets += len({state.voters for state in world.decided.values()}) - 1
    elapsed = time.perf_counter() - started_at
    print(f"{number} walks with {sets} other sets of voters, {elapsed:.0f} s", flush=True)


def main() -> None:
    """Parse the command line and run the check."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("votes", "rooms", "walks", "moves", "cost", "fleet"))
    parser.add_argument("--most", type=int, default=2_000_000, help="states of each check")
    parser.add_argument("--walks", type=int, default=1000)
    args = parser.parse_args()
    if args.what == "cost":
        measure_cost()
    elif args.what == "fleet":
        for routers, voters, kilobytes in ((30, 3, 1), (200, 3, 1), (1000, 3, 0), (1000, 5, 1), (1000, 7, 2)):
            measure_fleet(routers, voters, kilobytes)
    elif args.what == "walks":
        run_walks(args.walks)
    elif args.what == "votes":
        for bounds in REGISTER_BOUNDS:
            report(f"votes {bounds}", RegisterExplorer(max_states=args.most, **bounds))
    elif args.what == "moves":
        explore_voter_changes(args.most)
    else:
        for (module, name), value in TICK_CONSTANTS.items():
            setattr(module, name, value)
        for bounds in (*NODE_BOUNDS, *VOTER_CHANGE_BOUNDS):
            report(f"rooms {bounds}", Explorer(Bounds(max_states=args.most, **bounds)))


if __name__ == "__main__":
    main()
