"""Zone latency protocols of several routers, and a lossy network between them, in virtual time."""

from __future__ import annotations

import math
import random

from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol

STEP_SECONDS = 0.05
ZONES = ["a", "b", "c", "d"]


class Fleet:
    """Routers measuring a round trip to a random zone every 0.1 s; a loss is known after 1 s."""

    def __init__(self, routers: int, zones: int = 3, loss: float = 0.0, seed: int = 1) -> None:
        self.rng, self.loss, self.now = random.Random(seed), loss, 0.0
        self.num_zones = zones
        self.router_zones = [r % zones for r in range(routers)]
        self.incarnations = [1] * routers
        self.protocols = [self.make(r) for r in range(routers)]
        # latency of a link in one direction as a multiple of the normal one; infinite if cut
        self.latency_factors: dict[tuple[int, int], float] = {}
        self.stopped: set[int] = set()
        self._in_flight: list[tuple[float, int, int, int, Received | None]] = []

    def make(self, router: int) -> ZoneLatencyProtocol:
        rng = random.Random(f"{router} {self.rng.random()}")
        return ZoneLatencyProtocol(
            self.now, router, self.incarnations[router], ZONES[: self.num_zones], self.router_zones, rng
        )

    def restart(self, router: int) -> None:
        self.incarnations[router] += 1
        self.protocols[router] = self.make(router)

    def break_link(self, a: int, b: int, factor: float, both_ways: bool = True) -> None:
        self.latency_factors[a, b] = factor
        if both_ways:
            self.latency_factors[b, a] = factor

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self._deliver()
            for r, protocol in enumerate(self.protocols):
                if r in self.stopped:
                    continue
                if round(self.now / STEP_SECONDS + r) % 2 == 0:
                    self._sample(r, self.rng.randrange(self.num_zones))
                protocol.on_timer(self.now)
                for outgoing in protocol.take_outgoing():
                    factor = self.latency_factors.get(
                        (self.router_zones[r], self.router_zones[outgoing.to]), 1.0
                    )
                    if factor < math.inf and self.rng.random() >= self.loss:
                        received = Received(r, self.incarnations[r], outgoing.body)
                        self._in_flight.append((self.now + STEP_SECONDS, outgoing.to, r, 0, received))

    def _sample(self, router: int, to_zone: int) -> None:
        zone = self.router_zones[router]
        factor = (
            self.latency_factors.get((zone, to_zone), 1.0) + self.latency_factors.get((to_zone, zone), 1.0)
        ) / 2
        if factor == math.inf or self.rng.random() < 1.0 - (1.0 - self.loss) ** 2:
            self._in_flight.append((self.now + 1.0, router, router, to_zone, None))
        else:
            round_trip = 0.0003 if to_zone == zone else 0.01
            self.protocols[router].record_round_trip(
                self.now, to_zone, round_trip * factor * self.rng.uniform(0.9, 1.2)
            )

    def _deliver(self) -> None:
        due = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [item for item in self._in_flight if item[0] > self.now]
        for _, to, _, zone, received in due:
            if received is None:
                self.protocols[to].record_loss(self.now, zone)
            else:
                self.protocols[to].on_message(self.now, received)

    def states(self, a: int, b: int) -> list[int]:
        """Return the state of a link as each running router estimates it."""
        return [
            protocol.estimate(self.now, a, b).state
            for r, protocol in enumerate(self.protocols)
            if r not in self.stopped
        ]
