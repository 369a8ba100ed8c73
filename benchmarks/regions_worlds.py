"""Steering by six routers with all parts of the daemon in virtual time: what clients gain.

    PYTHONPATH=. python benchmarks/regions_worlds.py --seeds 3

Three zones, four regions of 24 clients each, and 30 requests/s for 120 s, a tenth of them to other
zones; the event is at 30 s. Caches serve all zones, so that overload in one zone affects its
routers only. Clients follow fixed front ends, rows decided by consensus (a voter proposes every
6 s), or front ends that know all true round-trip times and switch at once. No zone is full, so the
last is also the optimum. The figures cover the last 60 s, except for `lost`, `let go` and
`crossed`, which counts connections that were closed while a request was on its way; the client
sends it again.
"""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

from peers_regions import count_reversals

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.links.plan import link_fault
from tests.rehearsal.links.region_rehearsal import play
from tests.rehearsal.links.region_world import World

ZONES = ("hall-a", "hall-b", "hall-c")
HOME = {"north": "hall-a", "west": "hall-a", "east": "hall-b", "south": "hall-c"}
LATENCY_OBJECTIVE = 0.15  # seconds
EVENT_AT, LENGTH, FIGURES_FROM = 30.0, 120.0, 60.0  # seconds
LOST = (Outcome.CLOSED, Outcome.UNCONNECTED, Outcome.UNANSWERED)


def calm() -> World:
    """Return a world without an event."""
    ways = {region: {z: 0.004 if home == z else 0.020 for z in ZONES} for region, home in HOME.items()}
    shares = dict.fromkeys(HOME, 1.0)
    return World(ZONES, ways, dict(HOME), shares, 30.0, LENGTH, every=3.0)


def cable_cut() -> World:
    """Cut the link of two regions to their zone; the detour takes 120 ms one way."""
    world = calm()

    def cut(it: World) -> None:
        it.ways["north"]["hall-a"] = it.ways["west"]["hall-a"] = 0.120

    world.changes[EVENT_AT] = cut
    return world


def zone_lost() -> World:
    """Kill both routers of a zone, a voter among them; front ends notice by themselves."""
    world = calm()
    world.plan = [
        link_fault("kill", router, EVENT_AT, LENGTH - EVENT_AT) for router in ("router-1", "router-4")
    ]
    return world


def new_zone() -> World:
    """Give two regions a zone nearby that no front end knows; the ones they use are 60 ms away."""
    world = calm()
    for region in ("north", "west"):
        world.ways[region] = {"hall-a": 0.060, "hall-b": 0.070, "hall-c": 0.004}
    return world


def demand_surge() -> World:
    """Raise one region's demand to six times, more than its zone's configured capacity."""
    world = calm()
    world.shares_later[EVENT_AT] = world.share | {"north": 6.0}
    world.per_weight = 12.0  # with 4 units of weight: 24/s in each zone, and the region sends 20/s
    return world


WORLDS: dict[str, Callable[[], World]] = {
    "calm": calm, "cable cut": cable_cut, "hall lost": zone_lost, "new hall": new_zone,
    "saturday": demand_surge,
}  # fmt: skip
STRATEGIES = ("fixed", "rows", "nearest")


def nearest(world: World, region: str) -> dict[str, float]:
    return {min(ZONES, key=lambda zone: world.ways[region][zone]): 1.0}


def simulate(job: tuple[str, str, int]) -> list[float]:
    """Return the figures of one run."""
    name, by, seed = job
    world = WORLDS[name]()
    if by == "nearest":
        world.choose = nearest
    with tempfile.TemporaryDirectory() as folder:
        played = play(world, seed, Path(folder), steered=by == "rows")
    took = played.served(FIGURES_FROM, LENGTH)
    tries = played.virtual.result.record.tries.values()
    return [
        sum(t <= LATENCY_OBJECTIVE for t in took) / len(took),
        took[int(0.99 * len(took))],
        sum(t.outcome in LOST and t.planned.at >= 0.0 for t in tries),
        played.let_go(),
        played.rehearsal.crossed,
        len(played.rows()),
        count_reversals(new for _, _, new in played.rows()),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--worlds", nargs="+", default=list(WORLDS), choices=list(WORLDS))
    parser.add_argument("--by", nargs="+", default=list(STRATEGIES), choices=STRATEGIES)
    parser.add_argument("--at-once", type=int, default=2)
    args = parser.parse_args()
    print("| world | by | in time | p99 s (worst) | lost | let go | crossed | changes | taken back |")
    print("|---|---|--:|--:|--:|--:|--:|--:|--:|")
    with ProcessPoolExecutor(args.at_once) as pool:
        for name in args.worlds:
            for by in args.by:
                found = list(pool.map(simulate, [(name, by, seed) for seed in range(1, args.seeds + 1)]))
                in_time, p99, *rest = (mean(column) for column in zip(*found, strict=True))
                worst = max(row[1] for row in found)
                cells = [f"{in_time:.4f}", f"{p99:.3f} ({worst:.3f})", *(f"{x:.1f}" for x in rest)]
                print("|", " | ".join((name, by, *cells)), "|", flush=True)


if __name__ == "__main__":
    main()
