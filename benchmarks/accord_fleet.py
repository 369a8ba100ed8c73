"""Changes of policy among 20, 200 and 1,000 routers in virtual time.

    PYTHONPATH=. python benchmarks/accord_fleet.py [--routers 20 200 1000] [--worlds 50]
        [--jobs 2] [--loss 0]

Each world draws delays (for each datagram, up to 100 ms one way), clocks, which routers are down
and how (killed, paused or disconnected from all; at most a minority of the voters) and the
proposers. All routers start at once and the register is bootstrapped. 15 calm seconds follow, and
then three changes with none, a tenth and four tenths of the routers down since half a second
before.

Times are in seconds from the proposal. `back`: from the end of a router's fault until it decides
by the new policy. Bytes are those of datagrams, without IP and UDP headers (28 more each). CPU is
the thread's time in the routers' callbacks: no socket is read or written, and the figures depend
on the machine's load. `mixed` and `conflicts` must be 0.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import median
from typing import Any

from ironrail.rehearsal.links.paths import Path
from ironrail.rehearsal.links.peer_group import VirtualPeerGroup
from ironrail.rehearsal.links.peer_group_cost import CountingDatagrams, CountingLoop, retained_bytes
from ironrail.rehearsal.links.peer_group_router import PeerGroupRouter
from ironrail.rehearsal.links.plan import Kind, LinkFault, link_fault

DOWN_FRACTIONS = (0.0, 0.1, 0.4)
FAULT_KINDS = (Kind.KILL, Kind.STOP, Kind.CUT)
CALM_SECONDS = 15.0
FAULT_SECONDS = 1e4  # duration of faults that are ended explicitly
TIMEOUT_SECONDS = 60.0  # for a change, and for the recovery of routers after their faults


def router_role(tier: VirtualPeerGroup, router: PeerGroupRouter) -> str:
    if router.number in tier.voters:
        return "voter"
    path = router.policies.protocol.lease_routing
    return "head" if path.head_candidates and router.system.now() < path.head_role_until else "plain"


def counters(tier: VirtualPeerGroup) -> dict[str, tuple[int, int, float]]:
    loop = tier.loop
    assert isinstance(loop, CountingLoop)
    return {
        r.name: (r.sent_bytes, tier.exchange.counts[r.name].price, loop.spent.get(r.name, 0.0))
        for r in tier.routers
    }


def costs_by_role(
    tier: VirtualPeerGroup, before: dict[str, Any], seconds: float
) -> dict[str, list[list[float]]]:
    """Return bytes/s, datagrams/s and CPU cores of the routers of each role."""
    result: dict[str, list[list[float]]] = {}
    for router, (name, now) in zip(tier.routers, counters(tier).items(), strict=True):
        if router.is_up:
            row = [(a - b) / seconds for a, b in zip(now, before[name], strict=True)]
            result.setdefault(router_role(tier, router), []).append(row)
    return result


def take_down(
    tier: VirtualPeerGroup, share: float
) -> tuple[list[PeerGroupRouter], list[tuple[int, LinkFault]]]:
    """Take this fraction of the routers down in random ways; a majority of the voters stays up."""
    count = round(share * len(tier.routers))
    kept_up = tier.draws.sample(list(tier.voters), len(tier.voters) // 2 + 1)
    down = tier.draws.sample([r for r in tier.routers if r.number not in kept_up], count)
    faults, disconnected = [], []
    for router in down:
        kind = tier.draws.choice(FAULT_KINDS)
        if kind is Kind.CUT:
            disconnected.append(router.name)
            continue
        fault = link_fault(kind, router.name, 0.0, FAULT_SECONDS)
        faults.append((tier.begin(fault), fault))
    if disconnected:
        fault = link_fault(Kind.CUT, "routers <> routers", 0.0, FAULT_SECONDS)
        path = Path(frozenset(disconnected), frozenset(tier.names), both=True)
        faults.append((tier.begin(fault, path), fault))
    return down, faults


def run_change(tier: VirtualPeerGroup, share: float, version: int) -> dict[str, Any]:
    """Run one change while this fraction of the routers is down."""
    down, faults = take_down(tier, share)
    if down:
        tier.run(0.5)
    up = [r for r in tier.routers if r not in down]
    one = tier.draws.choice([r for r in up if r.versions()])
    before, at = counters(tier), tier.now()
    answer = one.propose(version)
    assert answer.status == 202, answer
    scope = 2**32 + version
    started = tier.loop.time()
    took = tier.wait_until(lambda: all(r.versions() == (version,) for r in up), TIMEOUT_SECONDS)
    result: dict[str, Any] = {
        "share": share,
        "down": len(down),
        "voters_down": sum(r.number in tier.voters for r in down),
    }
    result["took"] = (
        None if took is None else max(tier.monitor.adopted_at[r.number, (scope,)] for r in up) - started
    )
    joint = [at for (_, s), at in tier.monitor.adopted_at.items() if s == (scope - 1, scope)]
    result["joint"] = max(joint) - started if joint else None
    handle = one.policies.latest_proposal
    result["state"] = handle is not None and handle.in_force
    result["costs"] = costs_by_role(tier, before, tier.now() - at)
    for number, fault in faults:
        tier.end(number, fault)
    ended_at, recovery_times = tier.loop.time(), {}

    def have_all_recovered() -> bool:
        for router in down:
            if router.number not in recovery_times and router.versions() == (version,):
                recovery_times[router.number] = tier.loop.time() - ended_at
        return len(recovery_times) == len(down)

    have_all_recovered() or tier.wait_until(have_all_recovered, TIMEOUT_SECONDS)
    result["back"], result["not_back"] = sorted(recovery_times.values()), len(down) - len(recovery_times)
    tier.wait_until(lambda: all(r.versions() == (version,) for r in tier.routers), TIMEOUT_SECONDS)
    return result


def run_world(routers: int, loss: float, voters: int, delay: float, seed: int) -> dict[str, Any]:
    """Run all changes in one world."""
    started = time.time()
    with VirtualPeerGroup(
        routers, seed, range(voters), loop_factory=CountingLoop, datagrams_class=CountingDatagrams
    ) as tier:
        tier.begin(link_fault(Kind.DELAY, "routers <> routers", 0.0, FAULT_SECONDS, 0.001, delay - 0.001))
        if loss:
            tier.begin(link_fault(Kind.LOSS, "routers <> routers", 0.0, FAULT_SECONDS, loss))
        result: dict[str, Any] = {"founded": tier.bootstrap_all()}
        tier.run(12.0)  # routers have become heads
        before = counters(tier)
        tier.run(CALM_SECONDS)
        result["calm"] = costs_by_role(tier, before, CALM_SECONDS)
        excluded = {
            id(x) for x in (tier, *tier.routers, tier.monitor, tier.exchange, tier.loop, tier.operator)
        }
        result["memory"] = {
            router_role(tier, r): retained_bytes(r.peer_runtime, excluded)
            for r in (*tier.routers[:1], *tier.routers[voters:])
        }
        result["changes"] = []
        for number, share in enumerate(DOWN_FRACTIONS):
            result["changes"].append(run_change(tier, share, 2 + number))
            tier.run(2.0 + tier.draws.random())
        watch = tier.monitor
        result |= {
            "mixed": watch.mixed,
            "conflicts": watch.conflicts,
            "words": watch.violations[:3],
            "looks": watch.num_checks,
        }
        result |= {"seed": seed, "real": time.time() - started, "virtual": tier.now()}
    return result


def format_distribution(values: Sequence[float | None]) -> str:
    """Format median, 99th percentile and maximum; what never happened counts as infinite."""
    sorted_values = sorted(math.inf if v is None else v for v in values)
    if not sorted_values:
        return "none"
    percentile_99 = sorted_values[min(len(sorted_values) - 1, math.ceil(0.99 * len(sorted_values)) - 1)]
    return (
        f"median {median(sorted_values):6.2f}  99% {percentile_99:6.2f}"
        f"  most {sorted_values[-1]:6.2f}  of {len(sorted_values)}"
    )


def print_costs(all_costs: Sequence[dict[str, list[list[float]]]]) -> None:
    for role_name in ("plain", "head", "voter"):
        rows = [row for one in all_costs for row in one.get(role_name, [])]
        if rows:
            sent, count, cpu = zip(*rows, strict=True)
            print(
                f"    {role_name:6} bytes/s median {median(sent):5.0f} most {max(sent):5.0f}"
                f"   datagrams/s median {median(count):5.1f} most {max(count):5.1f}"
                f"   core median {median(cpu):.3%} most {max(cpu):.3%}"
            )


def print_report(routers: int, worlds: Sequence[dict[str, Any]]) -> None:
    """Print the results."""
    print(f"{routers} routers, {len(worlds)} worlds")
    print(f"  from nothing until all decide: {format_distribution([w['founded'] for w in worlds])}")
    for share in DOWN_FRACTIONS:
        changes = [c for w in worlds for c in w["changes"] if c["share"] == share]
        refused = sum(not c["state"] for c in changes)
        print(f"  {share:.0%} down: {format_distribution([c['took'] for c in changes])}")
        print(f"    joint everywhere: {format_distribution([c['joint'] for c in changes])}")
        print(f"    not in force at its proposer: {refused}")
        if share:
            never = sum(c["not_back"] for c in changes)
            print(f"    back: {format_distribution([b for c in changes for b in c['back']])}, never {never}")
    print("  calm:")
    print_costs([w["calm"] for w in worlds])
    print("  in changes, none down:")
    print_costs([c["costs"] for w in worlds for c in w["changes"] if not c["share"]])
    print("  in changes, four in ten down:")
    print_costs([c["costs"] for w in worlds for c in w["changes"] if c["share"] == DOWN_FRACTIONS[-1]])
    for role_name in ("plain", "head", "voter"):
        sizes = [w["memory"][role_name] for w in worlds if role_name in w["memory"]]
        if sizes:
            print(f"  memory of a {role_name}: {max(sizes) / 2**20:.2f} MB of objects at most")
    looks = sum(w["looks"] for w in worlds)
    violations = [f"{sum(w[k] for w in worlds)} {k}" for k in ("mixed", "conflicts")]
    print(f"  {looks} looks: {', '.join(violations)}; {sum(w['real'] for w in worlds):.0f} s", flush=True)


def main() -> int:
    """Parse the command line and run all worlds; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, nargs="+", default=[20, 200, 1000])
    parser.add_argument("--worlds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0, help="share of datagrams")
    parser.add_argument("--delay", type=float, default=0.1, help="seconds one way at most")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="", help="file that what was found is added to, a world a line")
    args = parser.parse_args()
    has_violations = False
    for routers in args.routers:
        play = partial(run_world, routers, args.loss, args.voters, args.delay)
        with ProcessPoolExecutor(args.jobs) as pool:
            result = []
            for one in pool.map(play, range(args.seed, args.seed + args.worlds)):
                result.append(one)
                if args.json:
                    with open(args.json, "a") as file:
                        file.write(json.dumps({"routers": routers} | one) + "\n")
        print_report(routers, result)
        has_violations |= any(w["mixed"] or w["conflicts"] for w in result)
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(main())
