"""Steering in small simulations, compared with fixed front ends, the nearest zone and the optimum.

    PYTHONPATH=. python benchmarks/peers_regions.py --draws 50

Each draw has 12 regions and 6 zones in a plane and runs for an hour of 60 periods. The event is in
the middle third, except for the new zone, which opens at the first quarter. A row of the output:
the fraction within 400 ms and the 99th percentile in that third (new zone: in the second half),
then the fraction in the whole hour. For steering also: the changes in an hour, the moved requests
as a fraction of all, and the number of shares that were raised and later lowered in the same zone.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from statistics import mean

from ironrail.peers.steering.proposal import DEFAULT_LIMITS, SteeringRows
from tests.peers.steering.simulated_routers import SimulatedRouters
from tests.peers.steering.simulation import EVENTS, Strategy, draw, fixed, nearest, optimal, run

STRATEGIES = ("fixed", "nearest", "ours", "exploring", "truth")


def count_reversals(changes: Iterable[SteeringRows]) -> int:
    """Count the shares that successive rows raise and later lower in the same zone."""
    rows: SteeringRows = {}
    raised, reversals = set(), 0
    for new in changes:
        for region, row in new.items():
            before = rows.get(region, row)
            for zone in {*row, *before}:
                step = row.get(zone, 0.0) - before.get(zone, 0.0)
                reversals += step < 0 and (region, zone) in raised
                if step > 0:
                    raised.add((region, zone))
        rows = new
    return reversals


def simulate(job: tuple[str, str, int]) -> list[float]:
    """Return the figures of one draw."""
    name, how, seed = job
    simulation = draw(seed)
    limits = replace(DEFAULT_LIMITS, exploration_ratio=1 / 64 if how == "exploring" else 0.0)
    strategy: Strategy = {"fixed": fixed, "nearest": nearest, "truth": optimal}.get(how) or SimulatedRouters(
        simulation, seed, limits
    )
    found = run(simulation, EVENTS[name], strategy)
    affected = found[30:] if name == "new hall" else found[20:40]
    figures = [mean(a for a, _ in part) for part in (affected, found)] + [mean(b for _, b in affected)]
    if isinstance(strategy, SimulatedRouters):
        changes = [p for p in strategy.proposals if p.rows is not None]
        figures += [len(changes), sum(p.moved_rate for p in changes) / sum(simulation.demand.values())]
        figures.append(count_reversals(change.rows or {} for change in changes))
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
        for name in EVENTS:
            for how in STRATEGIES:
                if how == "exploring" and name != "new hall":
                    continue
                found = list(pool.map(simulate, [(name, how, seed) for seed in range(args.draws)]))
                affected, hour, tail, *rest = (mean(column) for column in zip(*found, strict=True))
                worst = max(row[2] for row in found)
                more = [f"{x:.2f}" for x in rest] or ["", "", ""]
                cells = (
                    name,
                    how,
                    f"{affected:.4f}",
                    f"{tail:.3f} (worst {worst:.2f})",
                    f"{hour:.4f}",
                    *more,
                )
                print("|", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
