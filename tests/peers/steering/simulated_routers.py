"""Routers of all zones in a simulation: what they measure becomes steering rows."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.peers.steering.cost_model import ZoneState, ZoneStatus
from ironrail.peers.steering.histogram import rate_code
from ironrail.peers.steering.proposal import DEFAULT_LIMITS, ProposalLimits, SteeringProposal, SteeringRows
from ironrail.peers.steering.protocol import SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.reports import RegionReport
from tests.peers.steering.simulation import LATENCY_OBJECTIVE, PERIOD_SECONDS, Simulation

ROUTERS_PER_ZONE = 3


@dataclass
class SimulatedRouters:
    """Chooses the rows that the protocol proposes; `forge` changes a report on its way."""

    simulation: Simulation
    seed: int
    limits: ProposalLimits = DEFAULT_LIMITS
    forge: Callable[[RegionReport], RegionReport] | None = None
    rows: SteeringRows = field(default_factory=dict)
    now: float = 0.0
    proposals: list[SteeringProposal] = field(default_factory=list)

    def __post_init__(self) -> None:
        simulation = self.simulation
        self.rng = random.Random(self.seed)
        self.zones = sorted(simulation.capacity)
        regions = Regions({r: [f"10.0.{n}.0/24"] for n, r in enumerate(sorted(simulation.demand))})
        zone_of = [n for n in range(len(self.zones)) for _ in range(ROUTERS_PER_ZONE)]
        self.routers = [
            SteeringProtocol(0.0, index, 1, regions, self.zones, zone_of, ["page"], random.Random(index))
            for index in range(len(zone_of))
        ]
        self.numbers = regions.numbers
        self.sequence = 0

    def measure(self) -> None:
        """Let all routers measure for a period and report to the first one."""
        simulation = self.simulation
        load = simulation.load()
        slowdown = simulation.slowdown(load)
        start = self.now
        self.now += PERIOD_SECONDS
        for n, zone in enumerate(self.zones):
            for router in (
                self.routers[n * ROUTERS_PER_ZONE : (n + 1) * ROUTERS_PER_ZONE]
                if simulation.is_running(zone)
                else ()
            ):
                for region, demand in simulation.demand.items():
                    rate = demand * simulation.shares[region].get(zone, 0.0) / ROUTERS_PER_ZONE
                    count = min(24, int(rate * PERIOD_SECONDS))
                    for k in range(count):
                        # A sample of the requests; the report gets the full rate.
                        at = start + PERIOD_SECONDS * (k + 1) / count
                        rtt = simulation.rtt[region][zone] * math.exp(self.rng.gauss(0, 0.3))
                        took = simulation.service[zone] * slowdown[zone] * math.exp(self.rng.gauss(0, 0.6))
                        took += simulation.link[zone]
                        router.record_client_rtt(at, region, rtt)
                        router.record_request(
                            at, region, "page", took, rtt + took <= LATENCY_OBJECTIVE, False
                        )
                    self._report(router, n * ROUTERS_PER_ZONE, region, rate)

    def _report(self, router: SteeringProtocol, first: int, region: str, rate: float) -> None:
        summary = router.local.summary(self.now, self.numbers[region])
        if summary is None:
            return
        self.sequence += 1
        index = first + self.routers[first : first + ROUTERS_PER_ZONE].index(router)
        values = summary._replace(rate=rate_code(rate)).pack()
        report = RegionReport(index, 1, self.numbers[region], self.sequence, values, 0.0)
        self.routers[0].table.merge(self.now, self.forge(report) if self.forge else report)

    def __call__(self, simulation: Simulation) -> SteeringRows:
        self.measure()
        first, load = self.routers[0], simulation.load()
        first.record_rows_in_force(self.now, self.rows)
        zones = {
            z: ZoneState(
                simulation.capacity[z], load[z], simulation.status.get(z, ZoneStatus.OPEN), ROUTERS_PER_ZONE
            )
            for z in self.zones
        }
        proposal = first.propose(
            self.now, self.rows, zones, dict.fromkeys(self.zones, 0.0), limits=self.limits
        )
        self.proposals.append(proposal)
        self.rows = self.rows if proposal.rows is None else proposal.rows
        return self.rows
