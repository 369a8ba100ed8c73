"""Server selection by zone latency: scenarios without it, with it, and with true latencies.

`python benchmarks/zone_scenarios.py [--halls 3 6] [--seeds 4] [--faults calm cut slow] [--once
0.2]`

Run from the repository root; in virtual time. Zones are 1 to 150 ms apart one way, drawn from the
seed; all links of one zone are cut or ten times slower for half of the load. Half of the reads
have a latency objective of 0.3 s, the others of 0.8 s, and the origin's capacity is about three
times its load without a fault. `--once` is the fraction of reads that are never retried, as those
of a client that pays for each. Prints each run and the means.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import multiprocessing
import random
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

from zone_figures import Figures, line, mean

from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.policy.events import LinkState, ZoneLink, ZoneLinksChanged
from ironrail.rehearsal.links.environments import VirtualLinks
from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal
from ironrail.rehearsal.links.paths import path_of
from ironrail.rehearsal.links.plan import LinkFault, link_fault
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names, zone_of
from ironrail.rehearsal.standins.delay_line import Direction
from ironrail.rehearsal.virtual.runner import run_virtual

LENGTH_SECONDS, FAULT_AT_SECONDS, FAULT_SECONDS = 24.0, 6.0, 12.0  # the load, and the fault in it
WARM_UP_SECONDS = 12.0  # in which caches fill and baselines are measured
NUM_ROUTERS, NUM_CACHES, REQUESTS_PER_SECOND = 2, 2, 36.0  # of a zone
MIN_ONE_WAY_SECONDS, MAX_ONE_WAY_SECONDS = 0.001, 0.150  # between zones
SLOW_FACTOR = 10.0
LOCAL_ROUND_TRIP_SECONDS = 0.0006  # within a zone, as the virtual network has it
MODES = ("off", "on", "truth")

Matrix = dict[tuple[str, str], float]  # seconds one way, both orders


def scenario(num_zones: int, once: float) -> Scenario:
    """Return the scenario; `once` is the fraction of reads that are never retried."""
    paid = {
        "name": "paid-read",
        "share": once,
        "wanted": "600 ms",
        "give_up": "1 s",
        "repeats": "never",
        "worth": 5,
    }
    return Scenario.model_validate(
        {
            "summary": "halls",
            "length": f"{LENGTH_SECONDS} s",
            "warm_up": f"{WARM_UP_SECONDS} s",
            "load": {"rate": REQUESTS_PER_SECOND * num_zones},
            "halls": {"names": [f"hall-{n + 1}" for n in range(num_zones)], "between": "0 ms"},
            "routers": {"count": NUM_ROUTERS * num_zones},
            "caches": {"count": NUM_CACHES * num_zones, "cores": 4},
            "archive": {"concurrency": 3 * num_zones},
            "class": [
                {"name": "grid-read", "share": 0.48 - once / 2},
                *([paid] if once else []),
                {
                    "name": "quick-read",
                    "share": 0.48 - once / 2,
                    "work": "40 ms",
                    "wanted": "300 ms",
                    "give_up": "800 ms",
                },
                {
                    "name": "hint-spend",
                    "share": 0.04,
                    "work": "200 ms",
                    "wanted": "1 s",
                    "give_up": "4 s",
                    "worth": 8,
                    "late_worth": 0.2,
                    "repeats": "keyed",
                    "write": True,
                },
            ],
        }
    )


def random_matrix(zones: list[str], seed: int) -> Matrix:
    """Return log-uniform latencies: as many pairs between 1 and 12 ms as between 12 and 150."""
    rng, matrix = random.Random(f"halls {seed}"), {}
    for n, one in enumerate(zones):
        for other in zones[:n]:
            latency = math.exp(rng.uniform(math.log(MIN_ONE_WAY_SECONDS), math.log(MAX_ONE_WAY_SECONDS)))
            matrix[one, other] = matrix[other, one] = latency
    return matrix


class ZonesRehearsal(LinkedRehearsal):
    """A rehearsal with latency between zones from the start; routers may be told the truth."""

    def __init__(self, *args: Any, matrix: Matrix, truth: bool, **others: Any) -> None:
        """Initialize the rehearsal.

        Args:
            *args: Of the base class.
            matrix: Latency between zones.
            truth: Whether routers are given the true latencies.
            **others: Of the base class.
        """
        super().__init__(*args, **others)
        self._matrix, self._truth = matrix, truth

    def _build(self, folder: Path) -> None:
        super()._build(folder)
        names = [*router_names(self._scenario), *cache_names(self._scenario)]
        zones = {name: zone_of(self._scenario, int(name.rpartition("-")[2]) - 1) for name in names}
        for source, target, door in self._doors():
            latency = self._matrix.get((zones.get(source, ""), zones.get(target, "")))
            if latency is not None:
                door.delays_connects = True
                door.begin_delay("apart", Direction.BOTH, partial(float, latency))
        for number, ((one, other), latency) in enumerate(self._matrix.items()):
            fault = link_fault("delay", f"{one} > {other}", 0.0, 1.0, latency)
            self._linked.links.exchange.begin(1000 + number, fault, path_of(fault.on, self._places))

    async def _inject_faults(self) -> None:
        if self._truth:
            self._spawn(self._publish_truth())
        await super()._inject_faults()

    async def _publish_truth(self) -> None:
        """Give each router the true state of its links, as faults begin and end."""
        self._publish_links(())
        for step in self._steps:
            await asyncio.sleep(max(0.0, step.at - self._world.now()))
            self._publish_links((step.fault,) if step.begins else ())

    def _publish_links(self, faults: tuple[LinkFault, ...]) -> None:
        for number, name in enumerate(router_names(self._scenario)):
            own_zone = zone_of(self._scenario, number)
            links = {
                own_zone: ZoneLink(
                    LinkState.GOOD, LOCAL_ROUND_TRIP_SECONDS, LOCAL_ROUND_TRIP_SECONDS, 0.0, 0.0
                )
            }
            for other in self._scenario.halls.names:
                if other == own_zone:
                    continue
                round_trip, state = (
                    2 * self._matrix[own_zone, other] + LOCAL_ROUND_TRIP_SECONDS,
                    LinkState.GOOD,
                )
                for fault in faults:
                    if path_of(fault.on, self._places).covers(name, self._router_in(other)):
                        is_cut = fault.kind == "cut"
                        round_trip = math.inf if is_cut else round_trip + 2 * fault.hardness
                        state = LinkState.CUT if is_cut else LinkState.SLOW
                links[other] = ZoneLink(state, round_trip, round_trip, 0.0, 0.0)
            node = self._routers[name].node  # type: ignore[attr-defined]
            node._dispatcher.guide(ZoneLinksChanged(links))

    def _router_in(self, zone: str) -> str:
        return next(
            n for i, n in enumerate(router_names(self._scenario)) if zone_of(self._scenario, i) == zone
        )


def play(job: tuple[int, int, str, str, float]) -> Figures:
    """Run one scenario in one mode; `job` has zones, seed, fault, mode and `once`."""
    num_zones, seed, fault, mode, once = job
    played_scenario = scenario(num_zones, once)
    matrix = random_matrix(played_scenario.halls.names, seed)
    faulty_zone = played_scenario.halls.names[seed % num_zones]
    latencies = {
        other: matrix[faulty_zone, other] for other in played_scenario.halls.names if other != faulty_zone
    }
    plan = {
        "calm": [],
        "cut": [
            link_fault("cut", f"{faulty_zone} <> {other}", FAULT_AT_SECONDS, FAULT_SECONDS)
            for other in latencies
        ],
        "slow": [
            link_fault(
                "delay",
                f"{faulty_zone} <> {other}",
                FAULT_AT_SECONDS,
                FAULT_SECONDS,
                (SLOW_FACTOR - 1) * latency,
            )
            for other, latency in latencies.items()
        ],
    }[fault]
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_text("a key of all the routers")
        router_zones = tuple(zone_of(played_scenario, n) for n in range(played_scenario.routers.count))
        peers = PeerSettings({1: str(key)}, 1, router_zones, zone_latency_map=True)
        operator = OperatorSettings(peers=peers if mode == "on" else None)
        rehearsal = partial(ZonesRehearsal, plan=plan, matrix=matrix, truth=mode == "truth")
        played = run_virtual(
            played_scenario, seed, operator=operator, make_environment=VirtualLinks, make_rehearsal=rehearsal
        )
    assert not played.violations and not played.result.broken, (
        job,
        played.violations,
        played.result.broken[:2],
    )
    return Figures.of(played.result)


def main() -> None:
    """Run all scenarios in all modes, and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--halls", type=int, nargs="+", default=[3, 6])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--faults", nargs="+", default=["calm", "cut", "slow"])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--once", type=float, default=0.0)
    arguments = parser.parse_args()
    once = arguments.once
    seeds = range(arguments.seeds)
    jobs = [
        (z, s, f, m, once) for z in arguments.halls for f in arguments.faults for s in seeds for m in MODES
    ]
    print(f"{'':24s} worth  p99       hits   fetches crossing")
    with multiprocessing.Pool(arguments.jobs, maxtasksperchild=4) as pool:
        done = dict(zip(jobs, pool.map(play, jobs, chunksize=1), strict=True))
    for num_zones in arguments.halls:
        for fault in arguments.faults:
            for seed in seeds:
                for mode in MODES:
                    print(
                        line(
                            f"{num_zones} {fault} seed {seed} {mode}",
                            done[num_zones, seed, fault, mode, once],
                        )
                    )
            means = {m: mean([done[num_zones, s, fault, m, once] for s in seeds]) for m in MODES}
            for mode in MODES:
                print(line(f"{num_zones} {fault} mean {mode}", means[mode]))
            gains = {m: means[m].in_time_ratio - means["off"].in_time_ratio for m in MODES}
            print(
                f"{num_zones} {fault}: gained {gains['on']:+.4f}, by the truth {gains['truth']:+.4f}\n",
                flush=True,
            )


if __name__ == "__main__":
    main()
