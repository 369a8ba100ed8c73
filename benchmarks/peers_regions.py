"""Rows of steering in small worlds, against fixed fronts, the nearest hall and the truth known.

    PYTHONPATH=. python benchmarks/peers_regions.py --draws 50

Each draw has 12 regions and 6 halls in a plane, an hour of 60 periods, and what happens in its middle third
(from the first quarter on: the new hall). A row: share answered in 400 ms and 99th percentile in that third
(of the new hall: the second half), then of the whole hour; for ours also changes an hour, requests moved as a
share of all, and shares taken back, which are those raised and later lowered at one hall.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from statistics import mean

from ironrail.peers.steering.proposal import USUAL, Rows
from tests.peers.steering.simulated_routers import Ours
from tests.peers.steering.simulation import WORLDS, Choice, draw, fixed, nearest, run, truth

HOW = ("fixed", "nearest", "ours", "exploring", "truth")


def taken_back(changes: Iterable[Rows]) -> int:
    """Shares that were raised and later lowered at one hall, as rows follow one another."""
    rows: Rows = {}
    raised, back = set(), 0
    for new in changes:
        for region, row in new.items():
            before = rows.get(region, row)
            for hall in {*row, *before}:
                step = row.get(hall, 0.0) - before.get(hall, 0.0)
                back += step < 0 and (region, hall) in raised
                if step > 0:
                    raised.add((region, hall))
        rows = new
    return back


def one(job: tuple[str, str, int]) -> list[float]:
    """Figures of one draw."""
    name, how, seed = job
    world = draw(seed)
    explore = replace(USUAL, explore=1 / 64 if how == "exploring" else 0.0)
    choose: Choice = {"fixed": fixed, "nearest": nearest, "truth": truth}.get(how) or Ours(
        world, seed, explore
    )
    found = run(world, WORLDS[name], choose)
    hard = found[30:] if name == "new hall" else found[20:40]
    figures = [mean(a for a, _ in part) for part in (hard, found)] + [mean(b for _, b in hard)]
    if isinstance(choose, Ours):
        changes = [p for p in choose.proposals if p.rows is not None]
        figures += [len(changes), sum(p.moved for p in changes) / sum(world.demand.values())]
        figures.append(taken_back(change.rows or {} for change in changes))
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--draws", type=int, default=50)
    parser.add_argument("--at-once", type=int, default=2)
    args = parser.parse_args()
    print(
        "| world | by | in time | p99 s | in time, hour | changes | moved | taken back |\n"
        "|---|---|---|---|---|---|---|---|"
    )
    with ProcessPoolExecutor(args.at_once) as pool:
        for name in WORLDS:
            for how in HOW:
                if how == "exploring" and name != "new hall":
                    continue
                found = list(pool.map(one, [(name, how, seed) for seed in range(args.draws)]))
                hard, hour, tail, *rest = (mean(column) for column in zip(*found, strict=True))
                worst = max(row[2] for row in found)
                more = [f"{x:.2f}" for x in rest] or ["", "", ""]
                cells = (name, how, f"{hard:.4f}", f"{tail:.3f} (worst {worst:.2f})", f"{hour:.4f}", *more)
                print("|", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
