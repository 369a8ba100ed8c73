"""Routers of several halls in seeded virtual time, with what `peers_latency.py` does to the links.

Evidence is what the daemon would have anyway: `rate` round trips a second of each router, to halls drawn
evenly. A round trip takes the link's time, a tenth of spread, and every twentieth waits besides; what is lost
is known after a second.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable

from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.protocol import LatencyRoom
from ironrail.peers.zone_latency.link_tracker import Link
from ironrail.peers.zone_latency.gossip_scheduler import OVERHEAD

GIVEN_UP = 1.0  # seconds until a round trip counts as lost
NEAR = 0.0003  # seconds of a round trip within a hall


def matrix(halls: int, draws: random.Random, detours: float = 0.2) -> list[list[float]]:
    """Round trips in seconds: halls in a plane of 40 ms, and a share of links that go a long way round."""
    places = [(draws.random(), draws.random(), draws.uniform(0.0, 0.002)) for _ in range(halls)]
    out = [[NEAR] * halls for _ in range(halls)]
    for a, b in itertools.combinations(range(halls), 2):
        (x, y, up), (x2, y2, up2) = places[a], places[b]
        time = 0.001 + 0.04 * math.hypot(x - x2, y - y2) + up + up2
        out[a][b] = out[b][a] = time * (draws.uniform(1.5, 4.0) if draws.random() < detours else 1.0)
    return out


class Fleet:
    """The rooms and the network between them."""

    def __init__(self, routers: int, halls: int, loss: float, rate: float, seed: int) -> None:
        self.draws = random.Random(f"{seed} {routers} {halls} {loss}")
        self.now, self.loss, self.rate = 0.0, loss, rate
        self.hall_of = [r % halls for r in range(routers)]
        self.names = [f"h{h}" for h in range(halls)]
        self.base = matrix(halls, self.draws)
        self.slower: dict[tuple[int, int], float] = {}  # one way: times; infinite if cut
        self.busy: dict[int, float] = {}  # routers that all of it waits in, seconds
        self.bytes = self.messages = 0
        self.rooms = [self.make(r, 1) for r in range(routers)]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        for r in range(routers):
            self.at(self.draws.random() * 0.2, functools.partial(self._wake, r))
            self.at(self.draws.expovariate(rate), functools.partial(self._sample, r))

    def make(self, router: int, start: int) -> LatencyRoom:
        draws = random.Random(f"{router} {start} {self.draws.random()}")
        return LatencyRoom(self.now, router, start, self.names, self.hall_of, draws)

    def at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._count), call))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def way(self, a: int, b: int) -> float:
        """Seconds one way, infinite if nothing comes through."""
        return self.base[a][b] / 2 * self.slower.get((a, b), 1.0)

    def _wake(self, router: int) -> None:
        room = self.rooms[router]
        room.on_timer(self.now)
        for say in room.take_outgoing():
            self.bytes += len(say.body) + OVERHEAD
            self.messages += 1
            way = self.way(self.hall_of[router], self.hall_of[say.to])
            if way < math.inf and self.draws.random() >= self.loss:
                call = functools.partial(self._hear, say.to, Received(router, 1, say.body))
                self.at(self.now + way * self.draws.uniform(1.0, 1.3), call)
        self.at(max(self.now + 0.001, room.next_timer_at()), lambda: self._wake(router))

    def _hear(self, router: int, heard: Received) -> None:
        self.rooms[router].on_message(self.now, heard)

    def _sample(self, router: int) -> None:
        hall, to = self.hall_of[router], self.draws.randrange(len(self.names))
        trip = self.way(hall, to) + self.way(to, hall)
        lost = trip == math.inf or self.draws.random() < 1.0 - (1.0 - self.loss) ** 2
        trip *= self.draws.lognormvariate(0.0, 0.1)
        if self.draws.random() < 0.05:
            trip += self.draws.expovariate(1 / 0.01)
        trip += self.busy.get(router, 0.0) * self.draws.uniform(0.8, 1.2)
        if lost:
            self.at(self.now + GIVEN_UP, lambda: self.rooms[router].lost(self.now, to))
        else:
            self.at(self.now + trip, lambda: self.rooms[router].observe(self.now, to, trip))
        self.at(self.now + self.draws.expovariate(self.rate), lambda: self._sample(router))

    def break_link(self, a: int, b: int, times: float, both: bool = True) -> None:
        self.slower[a, b] = times
        if both:
            self.slower[b, a] = times

    def know(self, hall: int, to: int) -> int:
        """Routers whose map says that the link is slow or cut."""
        return sum(room.estimate(self.now, hall, to).state > Link.WELL for room in self.rooms)

    def see(self, hall: int, to: int) -> int:
        """Routers in the hall that would say so by what they saw themselves."""
        return sum(
            room.evidence.state(to) > Link.WELL
            for r, room in enumerate(self.rooms)
            if self.hall_of[r] == hall
        )

    def wrong(self, true: set[tuple[int, int]]) -> int:
        """Links that some router's map calls slow or cut, and aren't."""
        halls = range(len(self.names))
        return sum(
            any(room.estimate(self.now, a, b).state > Link.WELL for room in self.rooms[::20])
            for a in halls
            for b in halls
            if (a, b) not in true
        )
