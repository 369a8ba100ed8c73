"""A simulation in virtual time: clients choose zones, by rows or without, and get responses."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.peers.steering.cost_model import ZoneStatus
from ironrail.peers.steering.proposal import SteeringRows

PERIOD_SECONDS = 60.0  # between two proposals
LATENCY_OBJECTIVE = 0.4  # seconds at the client
CLIENT_TIMEOUT = 4.0  # seconds that a client waits without a response
STRAY_FRACTION = 0.02  # of clients, which choose any zone, whatever rows and front ends say
FOLLOW_FRACTION = 0.5  # of clients, which follow new rows within a period
JITTER = [math.exp(0.3 * z) for z in (-1.6, -0.8, -0.3, 0.0, 0.3, 0.8, 1.6, 2.5)]
SERVICE = [math.exp(0.6 * z) for z in (-1.6, -0.8, -0.3, 0.0, 0.3, 0.8, 1.6, 2.5)]
Strategy = Callable[["Simulation"], SteeringRows]
Event = Callable[["Simulation", float], None]


@dataclass
class Simulation:
    """The true values, and where clients are.

    Attributes:
        rtt: Round-trip time in seconds by region and zone.
        demand: Requests/s by region.
        capacity: Requests/s by zone.
        service: Median service time in seconds by zone, without load.
        link: Round-trip time in seconds from each zone to its caches.
        front_ends: The zones that each region's front ends try, in order.
        status: Status of each zone; OPEN if it is missing.
        shares: Shares of each region's clients by zone.
        optimal_rows: The optimum of each state, computed once.
    """

    rtt: dict[str, dict[str, float]]
    demand: dict[str, float]
    capacity: dict[str, float]
    service: dict[str, float]
    link: dict[str, float]
    front_ends: dict[str, list[str]]
    status: dict[str, ZoneStatus] = field(default_factory=dict)
    shares: dict[str, dict[str, float]] = field(default_factory=dict)
    optimal_rows: dict[str, SteeringRows] = field(default_factory=dict)

    def is_open(self, zone: str) -> bool:
        return self.status.get(zone, ZoneStatus.OPEN) is ZoneStatus.OPEN

    def is_running(self, zone: str) -> bool:
        return self.status.get(zone) is not ZoneStatus.CLOSED

    def default_row(self, region: str) -> dict[str, float]:
        """Return what front ends do without rows: they use their first zone that is running."""
        return {next(z for z in self.front_ends[region] if self.is_running(z)): 1.0}

    def follow(self, rows: SteeringRows) -> None:
        """Move clients for one period."""
        zones = [z for z in self.capacity if self.is_running(z)]
        for region in self.demand:
            row = dict(rows.get(region) or self.default_row(region))
            row = {z: s for z, s in row.items() if self.is_running(z)}
            rest = 1.0 - sum(row.values())
            for z, s in self.default_row(region).items():
                row[z] = row.get(z, 0.0) + rest * s
            target = {z: row.get(z, 0.0) * (1 - STRAY_FRACTION) + STRAY_FRACTION / len(zones) for z in zones}
            now = self.shares.get(region, target)
            displaced = sum(s for z, s in now.items() if not self.is_running(z))
            self.shares[region] = {
                z: (1 - FOLLOW_FRACTION) * now.get(z, 0.0)
                + (FOLLOW_FRACTION + (1 - FOLLOW_FRACTION) * displaced) * target[z]
                for z in zones
            }

    def load(self) -> dict[str, float]:
        return {
            z: sum(self.demand[r] * self.shares[r].get(z, 0.0) for r in self.demand) for z in self.capacity
        }

    def slowdown(self, load: dict[str, float]) -> dict[str, float]:
        """Return the factor by which load prolongs the service time in each zone."""
        return {z: 1.0 / (1.0 - min(0.97, load[z] / self.capacity[z])) for z in self.capacity}

    def outcome(self) -> tuple[float, float]:
        """Return the fraction within the latency objective, and the 99th percentile."""
        load = self.load()
        slowdown, times = self.slowdown(load), []
        for region, shares in self.shares.items():
            for zone, share in shares.items():
                served = min(1.0, self.capacity[zone] / max(load[zone], 1e-9))
                weight = self.demand[region] * share / len(JITTER) ** 2
                for j in JITTER:
                    for s in SERVICE:
                        time = (
                            self.rtt[region][zone] * j
                            + self.link[zone]
                            + self.service[zone] * slowdown[zone] * s
                        )
                        times.append((time, weight * served))
                if served < 1.0:
                    times.append((CLIENT_TIMEOUT, self.demand[region] * share * (1 - served)))
        total = sum(w for _, w in times)
        in_time = sum(w for t, w in times if t <= LATENCY_OBJECTIVE) / total
        left = 0.01 * total
        for time, weight in sorted(times, reverse=True):
            left -= weight
            if left <= 0:
                return in_time, time
        raise AssertionError("there are no requests")


def draw(seed: int, num_regions: int = 12, num_zones: int = 6) -> Simulation:
    """Place regions and zones at random in a plane 80 ms wide.

    A third of the front ends do not use their nearest zone first. Zones have twice the capacity
    that they need.
    """
    rng = random.Random(seed)
    position = {f"h{n}": (rng.random(), rng.random()) for n in range(num_zones)}
    rtt, front_ends = {}, {}
    for n in range(num_regions):
        x, y = rng.random(), rng.random()
        rtt[f"r{n}"] = {z: 0.004 + 0.080 * math.hypot(x - a, y - b) for z, (a, b) in position.items()}
        order = sorted(position, key=lambda z: rtt[f"r{n}"][z])
        if rng.random() < 1 / 3:
            order.insert(0, order.pop(rng.randrange(1, num_zones)))
        front_ends[f"r{n}"] = order
    demand = {r: 40.0 * math.exp(rng.gauss(0, 0.7)) for r in rtt}
    first = {z: sum(demand[r] for r in demand if front_ends[r][0] == z) for z in position}
    capacity = {z: 2.0 * max(first[z], sum(demand.values()) / num_zones / 2) for z in position}
    return Simulation(
        rtt,
        demand,
        capacity,
        {z: rng.uniform(0.015, 0.030) for z in position},
        dict.fromkeys(position, 0.002),
        front_ends,
    )


def fixed(simulation: Simulation) -> SteeringRows:
    """Leave clients to their front ends."""
    return {r: simulation.default_row(r) for r in simulation.demand}


def nearest(simulation: Simulation) -> SteeringRows:
    """Choose zones by the true round-trip time alone."""
    zones = [z for z in simulation.capacity if simulation.is_open(z)]
    return {r: {min(zones, key=lambda z: simulation.rtt[r][z]): 1.0} for r in simulation.demand}


def optimal(simulation: Simulation) -> SteeringRows:
    """Minimize the response time of all clients by greedy descent on the true values."""
    state = repr((simulation.demand, simulation.link, simulation.status))
    if state in simulation.optimal_rows:
        return simulation.optimal_rows[state]
    zones = [z for z in simulation.capacity if simulation.is_open(z)]
    rows = {r: {min(zones, key=lambda z: simulation.rtt[r][z]): 32} for r in simulation.demand}
    load = {z: sum(simulation.demand[r] * row.get(z, 0) / 32 for r, row in rows.items()) for z in zones}

    def cost(r: str, z: str) -> float:
        idle = 1.2 * simulation.service[z]  # the mean of the lognormal distribution
        return (
            simulation.rtt[r][z]
            + simulation.link[z]
            + idle / (1 - min(0.97, load[z] / simulation.capacity[z])) ** 2
        )

    for _ in range(20):
        for r, row in rows.items():
            part = simulation.demand[r] / 32
            for z in [z for z, n in row.items() for _ in range(n)]:
                load[z] -= part
                best = min(zones, key=lambda b: cost(r, b))
                load[best] += part
                row[z] -= 1
                row[best] = row.get(best, 0) + 1
    simulation.optimal_rows[state] = {r: {z: n / 32 for z, n in row.items() if n} for r, row in rows.items()}
    return simulation.optimal_rows[state]


def cable_cut(simulation: Simulation, at: float) -> None:
    """Cut the link from the most loaded zone to its caches for a while; the detour takes 150 ms."""
    first = max(
        simulation.capacity,
        key=lambda z: sum(d for r, d in simulation.demand.items() if simulation.front_ends[r][0] == z),
    )
    simulation.link[first] = 0.150 if 1 / 3 <= at < 2 / 3 else 0.002


def zone_lost(simulation: Simulation, at: float) -> None:
    """Close the most loaded zone for a while; it comes back cold."""
    first = max(
        simulation.capacity,
        key=lambda z: sum(d for r, d in simulation.demand.items() if simulation.front_ends[r][0] == z),
    )
    restarted = ZoneStatus.COLD if at < 0.75 else ZoneStatus.OPEN
    simulation.status[first] = (
        ZoneStatus.OPEN if at < 1 / 3 else ZoneStatus.CLOSED if at < 2 / 3 else restarted
    )


def new_zone(simulation: Simulation, at: float) -> None:
    """Open the zone that is nearest to most clients late, and let no front end know of it."""
    best = min(
        simulation.capacity,
        key=lambda z: sum(simulation.demand[r] * simulation.rtt[r][z] for r in simulation.demand),
    )
    simulation.status[best] = ZoneStatus.CLOSED if at < 1 / 4 else ZoneStatus.OPEN
    for order in simulation.front_ends.values():
        order.sort(key=lambda z: z == best)


def demand_surge(simulation: Simulation, at: float) -> None:
    """Raise the demand of a region with a twelfth of the total to six times for a while."""
    total = sum(d for r, d in simulation.demand.items() if r != "r0")
    simulation.demand["r0"] = total / 11 * (6 if 1 / 3 <= at < 2 / 3 else 1)


def calm(simulation: Simulation, at: float) -> None:
    """Change nothing."""


EVENTS = {
    "calm": calm,
    "cable cut": cable_cut,
    "hall lost": zone_lost,
    "new hall": new_zone,
    "saturday": demand_surge,
}


def run(
    simulation: Simulation, event: Event, strategy: Strategy, periods: int = 60
) -> list[tuple[float, float]]:
    """Return the outcome of each period."""
    found = []
    simulation.shares.clear()
    event(simulation, 0.0)
    simulation.follow(fixed(simulation))
    for period in range(periods):
        event(simulation, period / periods)
        rows = strategy(simulation)
        simulation.follow(rows)
        found.append(simulation.outcome())
    return found
