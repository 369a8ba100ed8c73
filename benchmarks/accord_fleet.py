"""Changes of policy in tiers of 20, 200 and 1,000 routers in virtual time: how long, at what cost, kept?

    PYTHONPATH=. python benchmarks/accord_fleet.py [--routers 20 200 1000] [--worlds 50] [--jobs 2] [--loss 0]

Each world draws delays (of each datagram, up to 100 ms one way), clocks, who is down and how (killed, stopped
or cut off from all; a minority of the voters at most) and who proposes. All start at once and are founded.
Then 15 calm seconds, and three changes, with none, a tenth and four in ten down for half a second before.

Times are from the proposal, seconds. `back`: from when a router came back until it decides by the new policy.
Bytes are of datagrams, without IP and UDP (28 more each). CPU is the thread's time in the routers' callbacks:
no socket is read or written, and the machine is as busy as it is. `mixed`, `conflicts`: must be 0.
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
from ironrail.rehearsal.links.plan import Kind, LinkFault, link_fault
from ironrail.rehearsal.links.tier import Tier
from ironrail.rehearsal.links.tiercost import CountingDatagrams, CountingLoop, held
from ironrail.rehearsal.links.tierrouter import TierRouter

SHARES = (0.0, 0.1, 0.4)
WAYS = (Kind.KILL, Kind.STOP, Kind.CUT)
CALM = 15.0  # seconds
LONG = 1e4  # seconds that a fault lasts which is ended by hand
PATIENCE = 60.0  # seconds for a change, and for those that are back


def role(tier: Tier, router: TierRouter) -> str:
    if router.number in tier.voters:
        return "voter"
    path = router.policies.protocol.path
    return "head" if path.rota and router.system.now() < path.head_until else "plain"


def marks(tier: Tier) -> dict[str, tuple[int, int, float]]:
    loop = tier.loop
    assert isinstance(loop, CountingLoop)
    return {
        r.name: (r.sent, tier.exchange.counts[r.name].price, loop.spent.get(r.name, 0.0))
        for r in tier.routers
    }


def costs(tier: Tier, before: dict[str, Any], seconds: float) -> dict[str, list[list[float]]]:
    """By sort of router: bytes/s, datagrams/s, share of a core."""
    found: dict[str, list[list[float]]] = {}
    for router, (name, now) in zip(tier.routers, marks(tier).items(), strict=True):
        if router.up:
            row = [(a - b) / seconds for a, b in zip(now, before[name], strict=True)]
            found.setdefault(role(tier, router), []).append(row)
    return found


def took_down(tier: Tier, share: float) -> tuple[list[TierRouter], list[tuple[int, LinkFault]]]:
    """So many, each in a way that is drawn; a majority of the voters stays."""
    count = round(share * len(tier.routers))
    spared = tier.draws.sample(list(tier.voters), len(tier.voters) // 2 + 1)
    down = tier.draws.sample([r for r in tier.routers if r.number not in spared], count)
    faults, cut = [], []
    for router in down:
        kind = tier.draws.choice(WAYS)
        if kind is Kind.CUT:
            cut.append(router.name)
            continue
        fault = link_fault(kind, router.name, 0.0, LONG)
        faults.append((tier.begin(fault), fault))
    if cut:
        fault = link_fault(Kind.CUT, "routers <> routers", 0.0, LONG)
        path = Path(frozenset(cut), frozenset(tier.names), both=True)
        faults.append((tier.begin(fault, path), fault))
    return down, faults


def change(tier: Tier, share: float, version: int) -> dict[str, Any]:
    """One change with so many down."""
    down, faults = took_down(tier, share)
    if down:
        tier.run(0.5)
    up = [r for r in tier.routers if r not in down]
    one = tier.draws.choice([r for r in up if r.versions()])
    before, at = marks(tier), tier.now()
    answer = one.propose(version)
    assert answer.status == 202, answer
    scope = 2**32 + version
    started = tier.loop.time()
    took = tier.until(lambda: all(r.versions() == (version,) for r in up), PATIENCE)
    found: dict[str, Any] = {
        "share": share,
        "down": len(down),
        "voters_down": sum(r.number in tier.voters for r in down),
    }
    found["took"] = None if took is None else max(tier.watch.began[r.number, (scope,)] for r in up) - started
    joint = [at for (_, s), at in tier.watch.began.items() if s == (scope - 1, scope)]
    found["joint"] = max(joint) - started if joint else None
    ticket = one.policies.latest_proposal
    found["state"] = ticket is not None and ticket.in_force
    found["costs"] = costs(tier, before, tier.now() - at)
    for number, fault in faults:
        tier.end(number, fault)
    back, backs = tier.loop.time(), {}

    def all_back() -> bool:
        for router in down:
            if router.number not in backs and router.versions() == (version,):
                backs[router.number] = tier.loop.time() - back
        return len(backs) == len(down)

    all_back() or tier.until(all_back, PATIENCE)
    found["back"], found["not_back"] = sorted(backs.values()), len(down) - len(backs)
    tier.until(lambda: all(r.versions() == (version,) for r in tier.routers), PATIENCE)
    return found


def world(routers: int, loss: float, voters: int, delay: float, seed: int) -> dict[str, Any]:
    """All of one."""
    began = time.time()
    with Tier(routers, seed, range(voters), loop=CountingLoop, posts=CountingDatagrams) as tier:
        tier.begin(link_fault(Kind.DELAY, "routers <> routers", 0.0, LONG, 0.001, delay - 0.001))
        if loss:
            tier.begin(link_fault(Kind.LOSS, "routers <> routers", 0.0, LONG, loss))
        found: dict[str, Any] = {"founded": tier.founded()}
        tier.run(12.0)  # heads have become such
        before = marks(tier)
        tier.run(CALM)
        found["calm"] = costs(tier, before, CALM)
        away = {id(x) for x in (tier, *tier.routers, tier.watch, tier.exchange, tier.loop, tier.operator)}
        found["memory"] = {
            role(tier, r): held(r.together, away) for r in (*tier.routers[:1], *tier.routers[voters:])
        }
        found["changes"] = []
        for number, share in enumerate(SHARES):
            found["changes"].append(change(tier, share, 2 + number))
            tier.run(2.0 + tier.draws.random())
        watch = tier.watch
        found |= {
            "mixed": watch.mixed,
            "conflicts": watch.conflicts,
            "words": watch.words[:3],
            "looks": watch.looks,
        }
        found |= {"seed": seed, "real": time.time() - began, "virtual": tier.now()}
    return found


def told(values: Sequence[float | None]) -> str:
    """Median, 99% and most; what never came counts as longer than all."""
    known = sorted(math.inf if v is None else v for v in values)
    if not known:
        return "none"
    late = known[min(len(known) - 1, math.ceil(0.99 * len(known)) - 1)]
    return f"median {median(known):6.2f}  99% {late:6.2f}  most {known[-1]:6.2f}  of {len(known)}"


def told_costs(all_costs: Sequence[dict[str, list[list[float]]]]) -> None:
    for sort in ("plain", "head", "voter"):
        rows = [row for one in all_costs for row in one.get(sort, [])]
        if rows:
            sent, count, cpu = zip(*rows, strict=True)
            print(
                f"    {sort:6} bytes/s median {median(sent):5.0f} most {max(sent):5.0f}"
                f"   datagrams/s median {median(count):5.1f} most {max(count):5.1f}"
                f"   core median {median(cpu):.3%} most {max(cpu):.3%}"
            )


def page(routers: int, worlds: Sequence[dict[str, Any]]) -> None:
    """What people read."""
    print(f"{routers} routers, {len(worlds)} worlds")
    print(f"  from nothing until all decide: {told([w['founded'] for w in worlds])}")
    for share in SHARES:
        ones = [c for w in worlds for c in w["changes"] if c["share"] == share]
        refused = sum(not c["state"] for c in ones)
        print(f"  {share:.0%} down: {told([c['took'] for c in ones])}")
        print(f"    joint everywhere: {told([c['joint'] for c in ones])}")
        print(f"    not in force at its proposer: {refused}")
        if share:
            never = sum(c["not_back"] for c in ones)
            print(f"    back: {told([b for c in ones for b in c['back']])}, never {never}")
    print("  calm:")
    told_costs([w["calm"] for w in worlds])
    print("  in changes, none down:")
    told_costs([c["costs"] for w in worlds for c in w["changes"] if not c["share"]])
    print("  in changes, four in ten down:")
    told_costs([c["costs"] for w in worlds for c in w["changes"] if c["share"] == SHARES[-1]])
    for sort in ("plain", "head", "voter"):
        sizes = [w["memory"][sort] for w in worlds if sort in w["memory"]]
        if sizes:
            print(f"  memory of a {sort}: {max(sizes) / 2**20:.2f} MB of objects at most")
    looks = sum(w["looks"] for w in worlds)
    bad = [f"{sum(w[k] for w in worlds)} {k}" for k in ("mixed", "conflicts")]
    print(f"  {looks} looks: {', '.join(bad)}; {sum(w['real'] for w in worlds):.0f} s", flush=True)


def main() -> int:
    """Command line; 1 if a promise was broken."""
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
    given = parser.parse_args()
    broken = False
    for routers in given.routers:
        play = partial(world, routers, given.loss, given.voters, given.delay)
        with ProcessPoolExecutor(given.jobs) as pool:
            found = []
            for one in pool.map(play, range(given.seed, given.seed + given.worlds)):
                found.append(one)
                if given.json:
                    with open(given.json, "a") as file:
                        file.write(json.dumps({"routers": routers} | one) + "\n")
        page(routers, found)
        broken |= any(w["mixed"] or w["conflicts"] for w in found)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
