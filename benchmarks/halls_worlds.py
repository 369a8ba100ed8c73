"""Placement by the map of latency: the same worlds with the map off, on, and with the truth handed in.

`python benchmarks/halls_worlds.py [--halls 3 6] [--seeds 4] [--faults calm cut slow] [--once 0.2]`

From the root of the tree. Virtual time: halls 1 to 150 ms apart one way, drawn with the seed; all links of
one are cut or ten times slower for half of the load. Half of the reads are wanted within 0.3 s, the others in
0.8 s, and the archive bears about three times what it is asked for in calm worlds. `--once`: share of reads
that are never to be repeated, as those of a client that pays for each. Prints each world and the means.
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

from halls_figures import Figures, line, mean

from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.policy.events import LinkState, ZoneLink, ZoneLinksChanged
from ironrail.rehearsal.links.grounds import VirtualLinks
from ironrail.rehearsal.links.paths import path_of
from ironrail.rehearsal.links.plan import LinkFault, link_fault
from ironrail.rehearsal.links.rig import LinkedRehearsal
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names, zone_of
from ironrail.rehearsal.standins.lanes import Way
from ironrail.rehearsal.virtual.play import play_virtual

LENGTH, AT, LASTS = 24.0, 6.0, 12.0  # seconds of load, and of the fault in it
WARM_UP = 12.0  # seconds, in which caches fill and the map learns what is usual
ROUTERS, CACHES, RATE = 2, 2, 36.0  # of a hall
NEAR, FAR = 0.001, 0.150  # seconds one way
TIMES = 10.0
OWN = 0.0006  # seconds there and back within a hall, as the virtual network has it
MODES = ("off", "on", "truth")

Matrix = dict[tuple[str, str], float]  # seconds one way, both orders


def scenario(halls: int, once: float) -> Scenario:
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
            "length": f"{LENGTH} s",
            "warm_up": f"{WARM_UP} s",
            "load": {"rate": RATE * halls},
            "halls": {"names": [f"hall-{n + 1}" for n in range(halls)], "between": "0 ms"},
            "routers": {"count": ROUTERS * halls},
            "caches": {"count": CACHES * halls, "cores": 4},
            "archive": {"concurrency": 3 * halls},
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


def drawn(names: list[str], seed: int) -> Matrix:
    """Distances by logarithm: as many pairs between 1 and 12 ms as between 12 and 150."""
    draws, matrix = random.Random(f"halls {seed}"), {}
    for n, one in enumerate(names):
        for other in names[:n]:
            apart = math.exp(draws.uniform(math.log(NEAR), math.log(FAR)))
            matrix[one, other] = matrix[other, one] = apart
    return matrix


class World(LinkedRehearsal):
    """Halls that are apart from the start on, and what each router is told of them."""

    def __init__(self, *args: Any, matrix: Matrix, truth: bool, **others: Any) -> None:
        super().__init__(*args, **others)
        self._matrix, self._truth = matrix, truth

    def _build(self, folder: Path) -> None:
        super()._build(folder)
        names = [*router_names(self._scenario), *cache_names(self._scenario)]
        halls = {name: zone_of(self._scenario, int(name.rpartition("-")[2]) - 1) for name in names}
        for source, target, door in self._doors():
            apart = self._matrix.get((halls.get(source, ""), halls.get(target, "")))
            if apart is not None:
                door.connects_wait = True
                door.begin_delay("apart", Way.BOTH, partial(float, apart))
        for number, ((one, other), apart) in enumerate(self._matrix.items()):
            fault = link_fault("delay", f"{one} > {other}", 0.0, 1.0, apart)
            self._linked.links.exchange.begin(1000 + number, fault, path_of(fault.on, self._places))

    async def _inject_faults(self) -> None:
        if self._truth:
            self._spawn(self._tell())
        await super()._inject_faults()

    async def _tell(self) -> None:
        """Each router is told how things are, as they change."""
        self._tell_all(())
        for step in self._steps:
            await asyncio.sleep(max(0.0, step.at - self._world.now()))
            self._tell_all((step.fault,) if step.begins else ())

    def _tell_all(self, faults: tuple[LinkFault, ...]) -> None:
        for number, name in enumerate(router_names(self._scenario)):
            own = zone_of(self._scenario, number)
            links = {own: ZoneLink(LinkState.GOOD, OWN, OWN, 0.0, 0.0)}
            for other in self._scenario.halls.names:
                if other == own:
                    continue
                trip, state = 2 * self._matrix[own, other] + OWN, LinkState.GOOD
                for fault in faults:
                    if path_of(fault.on, self._places).covers(name, self._there(other)):
                        cut = fault.kind == "cut"
                        trip = math.inf if cut else trip + 2 * fault.hardness
                        state = LinkState.CUT if cut else LinkState.SLOW
                links[other] = ZoneLink(state, trip, trip, 0.0, 0.0)
            node = self._routers[name].node  # type: ignore[attr-defined]
            node._dispatcher.guide(ZoneLinksChanged(links))

    def _there(self, hall: str) -> str:
        return next(
            n for i, n in enumerate(router_names(self._scenario)) if zone_of(self._scenario, i) == hall
        )


def play(job: tuple[int, int, str, str, float]) -> Figures:
    """One world in one mode."""
    halls, seed, fault, mode, once = job
    made = scenario(halls, once)
    matrix = drawn(made.halls.names, seed)
    hit = made.halls.names[seed % halls]
    apart = {other: matrix[hit, other] for other in made.halls.names if other != hit}
    plan = {
        "calm": [],
        "cut": [link_fault("cut", f"{hit} <> {other}", AT, LASTS) for other in apart],
        "slow": [
            link_fault("delay", f"{hit} <> {other}", AT, LASTS, (TIMES - 1) * far)
            for other, far in apart.items()
        ],
    }[fault]
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_text("a key of all the routers")
        standing = tuple(zone_of(made, n) for n in range(made.routers.count))
        peers = PeerSettings({1: str(key)}, 1, standing, zone_latency_map=True)
        operator = OperatorSettings(peers=peers if mode == "on" else None)
        rehearsal = partial(World, plan=plan, matrix=matrix, truth=mode == "truth")
        played = play_virtual(made, seed, operator=operator, ground_of=VirtualLinks, rehearsal_of=rehearsal)
    assert not played.faults and not played.result.broken, (job, played.faults, played.result.broken[:2])
    return Figures.of(played.result)


def main() -> None:
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
        (h, s, f, m, once) for h in arguments.halls for f in arguments.faults for s in seeds for m in MODES
    ]
    print(f"{'':24s} worth  p99       hits   fetches crossing")
    with multiprocessing.Pool(arguments.jobs, maxtasksperchild=4) as pool:
        done = dict(zip(jobs, pool.map(play, jobs, chunksize=1), strict=True))
    for halls in arguments.halls:
        for fault in arguments.faults:
            for seed in seeds:
                for mode in MODES:
                    print(line(f"{halls} {fault} seed {seed} {mode}", done[halls, seed, fault, mode, once]))
            means = {m: mean([done[halls, s, fault, m, once] for s in seeds]) for m in MODES}
            for mode in MODES:
                print(line(f"{halls} {fault} mean {mode}", means[mode]))
            gained = {m: means[m].worth - means["off"].worth for m in MODES}
            print(
                f"{halls} {fault}: gained {gained['on']:+.4f}, by the truth {gained['truth']:+.4f}\n",
                flush=True,
            )


if __name__ == "__main__":
    main()
