"""The room at work in a world: what routers of each hall see becomes rows."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.peers.steering.cost_model import Hall, Standing
from ironrail.peers.steering.proposal import USUAL, Bounds, Proposal, Rows
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.reports import Report
from ironrail.peers.steering.protocol import RegionsRoom
from ironrail.peers.steering.histogram import rate_code
from tests.peers.steering.simulation import PERIOD, WANTED, World

ROUTERS = 3  # of a hall


@dataclass
class Ours:
    """The room's own rows, from what routers of each hall see; `lie` changes a summary on its way."""

    world: World
    seed: int
    bounds: Bounds = USUAL
    lie: Callable[[Report], Report] | None = None
    rows: Rows = field(default_factory=dict)
    now: float = 0.0
    proposals: list[Proposal] = field(default_factory=list)

    def __post_init__(self) -> None:
        world = self.world
        self.draws = random.Random(self.seed)
        self.halls = sorted(world.room)
        regions = Regions({r: [f"10.0.{n}.0/24"] for n, r in enumerate(sorted(world.demand))})
        hall_of = [n for n in range(len(self.halls)) for _ in range(ROUTERS)]
        self.rooms = [
            RegionsRoom(0.0, me, 1, regions, self.halls, hall_of, ["page"], random.Random(me))
            for me in range(len(hall_of))
        ]
        self.numbers = regions.numbers
        self.sequence = 0

    def see(self) -> None:
        """A period's evidence of all routers comes to the first."""
        world = self.world
        load = world.load()
        slow = world.slow(load)
        start = self.now
        self.now += PERIOD
        for n, hall in enumerate(self.halls):
            for router in self.rooms[n * ROUTERS : (n + 1) * ROUTERS] if world.there(hall) else ():
                for region, demand in world.demand.items():
                    rate = demand * world.at[region].get(hall, 0.0) / ROUTERS
                    count = min(24, int(rate * PERIOD))
                    for k in range(count):
                        # fewer are drawn than come; they stand for all
                        at = start + PERIOD * (k + 1) / count
                        rtt = world.rtt[region][hall] * math.exp(self.draws.gauss(0, 0.3))
                        took = world.service[hall] * slow[hall] * math.exp(self.draws.gauss(0, 0.6))
                        took += world.link[hall]
                        router.client_rtt(at, region, rtt)
                        router.served(at, region, "page", took, rtt + took <= WANTED, False)
                    self._tell(router, n * ROUTERS, region, rate)

    def _tell(self, router: RegionsRoom, first: int, region: str, rate: float) -> None:
        summary = router.own.summary(self.now, self.numbers[region])
        if summary is None:
            return
        self.sequence += 1
        me = first + self.rooms[first : first + ROUTERS].index(router)
        values = summary._replace(rate=rate_code(rate)).pack()
        report = Report(me, 1, self.numbers[region], self.sequence, values, 0.0)
        self.rooms[0].table.merge(self.now, self.lie(report) if self.lie else report)

    def __call__(self, world: World) -> Rows:
        self.see()
        first, load = self.rooms[0], world.load()
        first.in_force(self.now, self.rows)
        halls = {
            h: Hall(world.room[h], load[h], world.standing.get(h, Standing.OPEN), ROUTERS) for h in self.halls
        }
        proposal = first.propose(
            self.now, self.rows, halls, dict.fromkeys(self.halls, 0.0), bounds=self.bounds
        )
        self.proposals.append(proposal)
        self.rows = self.rows if proposal.rows is None else proposal.rows
        return self.rows
