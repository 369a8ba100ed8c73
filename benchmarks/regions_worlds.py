"""Six routers with all of the daemon's own parts, in virtual time: what steering is worth to readers.

    PYTHONPATH=. python benchmarks/regions_worlds.py --seeds 3

Three halls, four regions, 24 clients each, a tenth of requests strays to other halls; 30 requests/s for
120 s, what happens begins at 30 s. Caches serve all halls, so that a crowd at one hall costs only its
routers. By: fixed fronts, rows of the accord (a voter looks every 6 s), fronts that know all true round trips
and change over at once. In these worlds no hall is full, so that the last is also the truth. Figures are
those of the last 60 s but for `lost`, `let go`, `crossed` (a connection closed on a request just sent, which
is sent again).
"""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

from peers_regions import taken_back

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.links.plan import link_fault
from tests.rehearsal.links.readers_stage import play
from tests.rehearsal.links.readers_world import World

HALLS = ("hall-a", "hall-b", "hall-c")
HOME = {"north": "hall-a", "west": "hall-a", "east": "hall-b", "south": "hall-c"}
WANTED = 0.15  # seconds
AT, LENGTH, LATE = 30.0, 120.0, 60.0
LOST = (Outcome.CLOSED, Outcome.UNCONNECTED, Outcome.UNANSWERED)


def calm() -> World:
    ways = {region: {h: 0.004 if home == h else 0.020 for h in HALLS} for region, home in HOME.items()}
    shares = dict.fromkeys(HOME, 1.0)
    return World(HALLS, ways, dict(HOME), shares, 30.0, LENGTH, every=3.0)


def cable_cut() -> World:
    """The way of two regions to their hall goes round by 120 ms from then on."""
    world = calm()

    def cut(it: World) -> None:
        it.ways["north"]["hall-a"] = it.ways["west"]["hall-a"] = 0.120

    world.changes[AT] = cut
    return world


def hall_lost() -> World:
    """Both routers of a hall are killed, a voter among them; fronts find out by themselves."""
    world = calm()
    world.plan = [link_fault("kill", router, AT, LENGTH - AT) for router in ("router-1", "router-4")]
    return world


def new_hall() -> World:
    """Two regions have a hall nearby that no front knows of; the others' are 60 ms away."""
    world = calm()
    for region in ("north", "west"):
        world.ways[region] = {"hall-a": 0.060, "hall-b": 0.070, "hall-c": 0.004}
    return world


def saturday() -> World:
    """One region comes six times over, which is more than the operator says its hall can do."""
    world = calm()
    world.shares_later[AT] = world.share | {"north": 6.0}
    world.per_weight = 12.0  # of 4 caches' weights: 24/s in each hall, and 20/s come from that region
    return world


WORLDS: dict[str, Callable[[], World]] = {
    "calm": calm, "cable cut": cable_cut, "hall lost": hall_lost, "new hall": new_hall, "saturday": saturday
}  # fmt: skip
BY = ("fixed", "rows", "nearest")


def nearest(world: World, region: str) -> dict[str, float]:
    return {min(HALLS, key=lambda hall: world.ways[region][hall]): 1.0}


def one(job: tuple[str, str, int]) -> list[float]:
    """Figures of one run."""
    name, by, seed = job
    world = WORLDS[name]()
    if by == "nearest":
        world.choose = nearest
    with tempfile.TemporaryDirectory() as folder:
        played = play(world, seed, Path(folder), steered=by == "rows")
    took = played.served(LATE, LENGTH)
    tries = played.virtual.result.record.tries.values()
    return [
        sum(t <= WANTED for t in took) / len(took),
        took[int(0.99 * len(took))],
        sum(t.outcome in LOST and t.planned.at >= 0.0 for t in tries),
        played.let_go(),
        played.rehearsal.crossed,
        len(played.rows()),
        taken_back(new for _, _, new in played.rows()),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--worlds", nargs="+", default=list(WORLDS), choices=list(WORLDS))
    parser.add_argument("--by", nargs="+", default=list(BY), choices=BY)
    parser.add_argument("--at-once", type=int, default=2)
    args = parser.parse_args()
    print("| world | by | in time | p99 s (worst) | lost | let go | crossed | changes | taken back |")
    print("|---|---|--:|--:|--:|--:|--:|--:|--:|")
    with ProcessPoolExecutor(args.at_once) as pool:
        for name in args.worlds:
            for by in args.by:
                found = list(pool.map(one, [(name, by, seed) for seed in range(1, args.seeds + 1)]))
                in_time, p99, *rest = (mean(column) for column in zip(*found, strict=True))
                worst = max(row[1] for row in found)
                cells = [f"{in_time:.4f}", f"{p99:.3f} ({worst:.3f})", *(f"{x:.1f}" for x in rest)]
                print("|", " | ".join((name, by, *cells)), "|", flush=True)


if __name__ == "__main__":
    main()
