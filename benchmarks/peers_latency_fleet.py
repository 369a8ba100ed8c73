"""Routers of several zones in seeded virtual time, with link faults, for `peers_latency.py`.

Evidence is what the daemon has anyway: `rate` round trips a second of each router, to random
zones. A round trip takes the link's time with a spread of 10%, and every twentieth also waits; a
loss is known after 1 s.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable

from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.gossip_scheduler import OVERHEAD_BYTES
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol

LOSS_TIMEOUT_SECONDS = 1.0  # until a round trip counts as lost
LOCAL_ROUND_TRIP_SECONDS = 0.0003  # within a zone


def matrix(zones: int, rng: random.Random, detours: float = 0.2) -> list[list[float]]:
    """Return round trips in seconds: zones in a plane of 40 ms, some links with detours."""
    places = [(rng.random(), rng.random(), rng.uniform(0.0, 0.002)) for _ in range(zones)]
    out = [[LOCAL_ROUND_TRIP_SECONDS] * zones for _ in range(zones)]
    for a, b in itertools.combinations(range(zones), 2):
        (x, y, access), (x2, y2, access2) = places[a], places[b]
        time = 0.001 + 0.04 * math.hypot(x - x2, y - y2) + access + access2
        out[a][b] = out[b][a] = time * (rng.uniform(1.5, 4.0) if rng.random() < detours else 1.0)
    return out


class Fleet:
    """The protocols of all routers and the network between them."""

    def __init__(self, routers: int, zones: int, loss: float, rate: float, seed: int) -> None:
        """Initialize a fleet without faults.

        Args:
            routers: Number of routers.
            zones: Number of zones.
            loss: Fraction of datagrams that are lost.
            rate: Round trips a second that each router measures.
            seed: Of everything that is random.
        """
        self.rng = random.Random(f"{seed} {routers} {zones} {loss}")
        self.now, self.loss, self.rate = 0.0, loss, rate
        self.router_zones = [r % zones for r in range(routers)]
        self.zones = [f"h{z}" for z in range(zones)]
        self.round_trips = matrix(zones, self.rng)
        # latency of a link in one direction as a multiple of the normal one; infinite if cut
        self.latency_factors: dict[tuple[int, int], float] = {}
        self.local_delays: dict[int, float] = {}  # seconds, of all samples of a router
        self.bytes = self.messages = 0
        self.protocols = [self.make(r, 1) for r in range(routers)]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        for r in range(routers):
            self.at(self.rng.random() * 0.2, functools.partial(self._wake, r))
            self.at(self.rng.expovariate(rate), functools.partial(self._sample, r))

    def make(self, router: int, incarnation: int) -> ZoneLatencyProtocol:
        """Return the protocol of a router."""
        rng = random.Random(f"{router} {incarnation} {self.rng.random()}")
        return ZoneLatencyProtocol(self.now, router, incarnation, self.zones, self.router_zones, rng)

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self._queue, (time, next(self._count), call))

    def run(self, until: float) -> None:
        """Run until this time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def one_way(self, a: int, b: int) -> float:
        """Return the seconds one way, infinite if the link is cut."""
        return self.round_trips[a][b] / 2 * self.latency_factors.get((a, b), 1.0)

    def _wake(self, router: int) -> None:
        protocol = self.protocols[router]
        protocol.on_timer(self.now)
        for outgoing in protocol.take_outgoing():
            self.bytes += len(outgoing.body) + OVERHEAD_BYTES
            self.messages += 1
            one_way = self.one_way(self.router_zones[router], self.router_zones[outgoing.to])
            if one_way < math.inf and self.rng.random() >= self.loss:
                call = functools.partial(self._receive, outgoing.to, Received(router, 1, outgoing.body))
                self.at(self.now + one_way * self.rng.uniform(1.0, 1.3), call)
        self.at(max(self.now + 0.001, protocol.next_timer_at()), lambda: self._wake(router))

    def _receive(self, router: int, received: Received) -> None:
        self.protocols[router].on_message(self.now, received)

    def _sample(self, router: int) -> None:
        zone, to_zone = self.router_zones[router], self.rng.randrange(len(self.zones))
        round_trip = self.one_way(zone, to_zone) + self.one_way(to_zone, zone)
        is_lost = round_trip == math.inf or self.rng.random() < 1.0 - (1.0 - self.loss) ** 2
        round_trip *= self.rng.lognormvariate(0.0, 0.1)
        if self.rng.random() < 0.05:
            round_trip += self.rng.expovariate(1 / 0.01)
        round_trip += self.local_delays.get(router, 0.0) * self.rng.uniform(0.8, 1.2)
        if is_lost:
            self.at(
                self.now + LOSS_TIMEOUT_SECONDS, lambda: self.protocols[router].record_loss(self.now, to_zone)
            )
        else:
            self.at(
                self.now + round_trip,
                lambda: self.protocols[router].record_round_trip(self.now, to_zone, round_trip),
            )
        self.at(self.now + self.rng.expovariate(self.rate), lambda: self._sample(router))

    def break_link(self, a: int, b: int, factor: float, both_ways: bool = True) -> None:
        """Multiply the latency of a link; infinite to cut it, 1 to repair it."""
        self.latency_factors[a, b] = factor
        if both_ways:
            self.latency_factors[b, a] = factor

    def num_informed(self, from_zone: int, to_zone: int) -> int:
        """Return the number of routers whose table says that the link is slow or cut."""
        return sum(
            protocol.estimate(self.now, from_zone, to_zone).state > MeasuredLinkState.WELL
            for protocol in self.protocols
        )

    def num_detecting(self, zone: int, to_zone: int) -> int:
        """Return the number of routers in a zone that themselves measure the link slow or cut."""
        return sum(
            protocol.monitor.state(to_zone) > MeasuredLinkState.WELL
            for r, protocol in enumerate(self.protocols)
            if self.router_zones[r] == zone
        )

    def num_false_alarms(self, faulty: set[tuple[int, int]]) -> int:
        """Return the number of links that some table calls slow or cut without a fault."""
        zones = range(len(self.zones))
        return sum(
            any(
                protocol.estimate(self.now, a, b).state > MeasuredLinkState.WELL
                for protocol in self.protocols[::20]
            )
            for a in zones
            for b in zones
            if (a, b) not in faulty
        )
