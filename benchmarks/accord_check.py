"""The long form of the checks of `ironrail/peers/accord/`, and what a voter's work for leases costs.

    PYTHONPATH=. python benchmarks/accord_check.py votes|rooms|walks|cost [--most 2000000] [--walks 1000]

Each line: what was looked at, states or walks, whether all of it was, seconds.
"""

from __future__ import annotations

import argparse
import time
from typing import Any

from ironrail.peers.accord import messages as m
from ironrail.peers.accord.stages import note
from ironrail.peers.faces import Heard
from tests.peers.accord.explorer import Bounds, Explorer
from tests.peers.accord.still import EVERY_TICK
from tests.peers.accord.votes import Votes
from tests.peers.accord.walk import walk
from tests.peers.accord.world import World

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
            body = m.encode(m.Ask(second + 1, note(known), None, known.step))
            node.room.hear(now + second, Heard(router, 7000 + router, body))
            size += len(body) + sum(len(say.body) for say in node.room.say())
    spent = time.process_time() - began
    share = spent / seconds
    print(f"{routers} renewals a second: {share:.1%} of a CPU, {size / seconds / routers:.0f} B each")
    began = time.process_time()
    for _ in range(100_000):
        node.room.decides_by(now)
    print(f"decides_by: {(time.process_time() - began) * 10:.1f} us")


def main() -> None:
    """Command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("votes", "rooms", "walks", "cost"))
    parser.add_argument("--most", type=int, default=2_000_000, help="states of each check")
    parser.add_argument("--walks", type=int, default=1000)
    given = parser.parse_args()
    if given.what == "cost":
        cost()
    elif given.what == "walks":
        for voters in ((0, 1, 2), (0, 1, 2, 3, 4)):
            began = time.perf_counter()
            for seed in range(1000, 1000 + given.walks):
                walk(seed, voters=voters)
            spent = time.perf_counter() - began
            print(f"{given.walks} walks of {len(voters)} voters, {spent:.0f} s", flush=True)
    elif given.what == "votes":
        for bounds in VOTES:
            looked(f"votes {bounds}", Votes(most=given.most, **bounds))
    else:
        for (module, name), value in EVERY_TICK.items():
            setattr(module, name, value)
        for bounds in ROOMS:
            looked(f"rooms {bounds}", Explorer(Bounds(most=given.most, **bounds)))


if __name__ == "__main__":
    main()
