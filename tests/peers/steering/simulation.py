"""A small world in virtual time: readers come to halls, by rows or without, and what they get."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.peers.steering.cost_model import Standing
from ironrail.peers.steering.proposal import Rows

PERIOD = 60.0  # seconds between two proposals
WANTED = 0.4  # seconds at the reader
GONE = 4.0  # seconds that a reader who gets nothing waits
STRAYS = 0.02  # of readers who come to any hall, whatever rows and fronts say
FOLLOW = 0.5  # of readers who follow new rows within a period
JITTER = [math.exp(0.3 * z) for z in (-1.6, -0.8, -0.3, 0.0, 0.3, 0.8, 1.6, 2.5)]
SERVICE = [math.exp(0.6 * z) for z in (-1.6, -0.8, -0.3, 0.0, 0.3, 0.8, 1.6, 2.5)]
Choice = Callable[["World"], Rows]
Change = Callable[["World", float], None]


@dataclass
class World:
    """Figures that are true, and where readers are."""

    rtt: dict[str, dict[str, float]]
    demand: dict[str, float]
    room: dict[str, float]
    service: dict[str, float]
    link: dict[str, float]
    fronts: dict[str, list[str]]  # of each region the halls that its fronts try, in order
    standing: dict[str, Standing] = field(default_factory=dict)
    at: dict[str, dict[str, float]] = field(default_factory=dict)
    known: dict[str, Rows] = field(default_factory=dict)  # the truth of each state

    def open(self, hall: str) -> bool:
        return self.standing.get(hall, Standing.OPEN) is Standing.OPEN

    def there(self, hall: str) -> bool:
        return self.standing.get(hall) is not Standing.CLOSED

    def fixed(self, region: str) -> dict[str, float]:
        """What fronts do by themselves: their first hall that is there."""
        return {next(h for h in self.fronts[region] if self.there(h)): 1.0}

    def follow(self, rows: Rows) -> None:
        """A period's change of where readers are."""
        halls = [h for h in self.room if self.there(h)]
        for region in self.demand:
            row = dict(rows.get(region) or self.fixed(region))
            row = {h: s for h, s in row.items() if self.there(h)}
            rest = 1.0 - sum(row.values())
            for h, s in self.fixed(region).items():
                row[h] = row.get(h, 0.0) + rest * s
            want = {h: row.get(h, 0.0) * (1 - STRAYS) + STRAYS / len(halls) for h in halls}
            now = self.at.get(region, want)
            gone = sum(s for h, s in now.items() if not self.there(h))
            self.at[region] = {
                h: (1 - FOLLOW) * now.get(h, 0.0) + (FOLLOW + (1 - FOLLOW) * gone) * want[h] for h in halls
            }

    def load(self) -> dict[str, float]:
        return {h: sum(self.demand[r] * self.at[r].get(h, 0.0) for r in self.demand) for h in self.room}

    def slow(self, load: dict[str, float]) -> dict[str, float]:
        """By how much service is longer for the load."""
        return {h: 1.0 / (1.0 - min(0.97, load[h] / self.room[h])) for h in self.room}

    def outcome(self) -> tuple[float, float]:
        """Share answered in the wanted time, and the 99th percentile at the reader."""
        load = self.load()
        slow, times = self.slow(load), []
        for region, shares in self.at.items():
            for hall, share in shares.items():
                served = min(1.0, self.room[hall] / max(load[hall], 1e-9))
                weight = self.demand[region] * share / len(JITTER) ** 2
                for j in JITTER:
                    for s in SERVICE:
                        time = (
                            self.rtt[region][hall] * j + self.link[hall] + self.service[hall] * slow[hall] * s
                        )
                        times.append((time, weight * served))
                if served < 1.0:
                    times.append((GONE, self.demand[region] * share * (1 - served)))
        total = sum(w for _, w in times)
        in_time = sum(w for t, w in times if t <= WANTED) / total
        left = 0.01 * total
        for time, weight in sorted(times, reverse=True):
            left -= weight
            if left <= 0:
                return in_time, time
        raise AssertionError("nobody came")


def draw(seed: int, regions: int = 12, halls: int = 6) -> World:
    """Places in a plane 80 ms wide; a third of fronts aren't near; halls are built for twice what comes."""
    d = random.Random(seed)
    spot = {f"h{n}": (d.random(), d.random()) for n in range(halls)}
    rtt, fronts = {}, {}
    for n in range(regions):
        x, y = d.random(), d.random()
        rtt[f"r{n}"] = {h: 0.004 + 0.080 * math.hypot(x - a, y - b) for h, (a, b) in spot.items()}
        near = sorted(spot, key=lambda h: rtt[f"r{n}"][h])
        if d.random() < 1 / 3:
            near.insert(0, near.pop(d.randrange(1, halls)))
        fronts[f"r{n}"] = near
    demand = {r: 40.0 * math.exp(d.gauss(0, 0.7)) for r in rtt}
    first = {h: sum(demand[r] for r in demand if fronts[r][0] == h) for h in spot}
    room = {h: 2.0 * max(first[h], sum(demand.values()) / halls / 2) for h in spot}
    return World(
        rtt, demand, room, {h: d.uniform(0.015, 0.030) for h in spot}, dict.fromkeys(spot, 0.002), fronts
    )


def fixed(world: World) -> Rows:
    return {r: world.fixed(r) for r in world.demand}


def nearest(world: World) -> Rows:
    """By the true round trip alone."""
    halls = [h for h in world.room if world.open(h)]
    return {r: {min(halls, key=lambda h: world.rtt[r][h]): 1.0} for r in world.demand}


def truth(world: World) -> Rows:
    """What least of all readers' time would be, by greedy descent on figures that are true."""
    state = repr((world.demand, world.link, world.standing))
    if state in world.known:
        return world.known[state]
    halls = [h for h in world.room if world.open(h)]
    rows = {r: {min(halls, key=lambda h: world.rtt[r][h]): 32} for r in world.demand}
    load = {h: sum(world.demand[r] * row.get(h, 0) / 32 for r, row in rows.items()) for h in halls}

    def cost(r: str, h: str) -> float:
        idle = 1.2 * world.service[h]  # the mean of the lognormal
        return world.rtt[r][h] + world.link[h] + idle / (1 - min(0.97, load[h] / world.room[h])) ** 2

    for _ in range(20):
        for r, row in rows.items():
            part = world.demand[r] / 32
            for h in [h for h, n in row.items() for _ in range(n)]:
                load[h] -= part
                best = min(halls, key=lambda b: cost(r, b))
                load[best] += part
                row[h] -= 1
                row[best] = row.get(best, 0) + 1
    world.known[state] = {r: {h: n / 32 for h, n in row.items() if n} for r, row in rows.items()}
    return world.known[state]


def cut(world: World, at: float) -> None:
    """The cable from the fullest hall to its caches is cut for a while; the way round takes 150 ms."""
    first = max(world.room, key=lambda h: sum(d for r, d in world.demand.items() if world.fronts[r][0] == h))
    world.link[first] = 0.150 if 1 / 3 <= at < 2 / 3 else 0.002


def lost(world: World, at: float) -> None:
    first = max(world.room, key=lambda h: sum(d for r, d in world.demand.items() if world.fronts[r][0] == h))
    cold = Standing.COLD if at < 0.75 else Standing.OPEN
    world.standing[first] = Standing.OPEN if at < 1 / 3 else Standing.CLOSED if at < 2 / 3 else cold


def new(world: World, at: float) -> None:
    """The hall that most readers would be nearest to opens only now, and no front knows it."""
    best = min(world.room, key=lambda h: sum(world.demand[r] * world.rtt[r][h] for r in world.demand))
    world.standing[best] = Standing.CLOSED if at < 1 / 4 else Standing.OPEN
    for order in world.fronts.values():
        order.sort(key=lambda h: h == best)


def saturday(world: World, at: float) -> None:
    """A region of a twelfth of all comes six times over."""
    total = sum(d for r, d in world.demand.items() if r != "r0")
    world.demand["r0"] = total / 11 * (6 if 1 / 3 <= at < 2 / 3 else 1)


def calm(world: World, at: float) -> None:
    """Nothing changes."""


WORLDS = {"calm": calm, "cable cut": cut, "hall lost": lost, "new hall": new, "saturday": saturday}


def run(world: World, change: Change, choose: Choice, periods: int = 60) -> list[tuple[float, float]]:
    """Each period's outcome."""
    found = []
    world.at.clear()
    change(world, 0.0)
    world.follow(fixed(world))
    for period in range(periods):
        change(world, period / periods)
        rows = choose(world)
        world.follow(rows)
        found.append(world.outcome())
    return found
