"""Rooms and a lossy network between them, in steps of virtual time."""

from __future__ import annotations

import math
import random

from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.protocol import LatencyRoom

STEP = 0.05  # seconds
NAMES = ["a", "b", "c", "d"]


class Fleet:
    """Each router takes a round trip to some hall every tenth of a second; a loss is known a second on."""

    def __init__(self, routers: int, halls: int = 3, loss: float = 0.0, seed: int = 1) -> None:
        self.draws, self.loss, self.now = random.Random(seed), loss, 0.0
        self.halls = halls
        self.hall_of = [r % halls for r in range(routers)]
        self.starts = [1] * routers
        self.rooms = [self.make(r) for r in range(routers)]
        self.times: dict[tuple[int, int], float] = {}  # one way: how many times slower; infinite if cut
        self.dead: set[int] = set()
        self._later: list[tuple[float, int, int, int, Received | None]] = []

    def make(self, router: int) -> LatencyRoom:
        draws = random.Random(f"{router} {self.draws.random()}")
        return LatencyRoom(self.now, router, self.starts[router], NAMES[: self.halls], self.hall_of, draws)

    def restart(self, router: int) -> None:
        self.starts[router] += 1
        self.rooms[router] = self.make(router)

    def break_link(self, a: int, b: int, times: float, both: bool = True) -> None:
        self.times[a, b] = times
        if both:
            self.times[b, a] = times

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._arrive()
            for r, room in enumerate(self.rooms):
                if r in self.dead:
                    continue
                if round(self.now / STEP + r) % 2 == 0:
                    self._sample(r, self.draws.randrange(self.halls))
                room.on_timer(self.now)
                for say in room.take_outgoing():
                    way = self.times.get((self.hall_of[r], self.hall_of[say.to]), 1.0)
                    if way < math.inf and self.draws.random() >= self.loss:
                        heard = Received(r, self.starts[r], say.body)
                        self._later.append((self.now + STEP, say.to, r, 0, heard))

    def _sample(self, router: int, to: int) -> None:
        hall = self.hall_of[router]
        times = (self.times.get((hall, to), 1.0) + self.times.get((to, hall), 1.0)) / 2
        if times == math.inf or self.draws.random() < 1.0 - (1.0 - self.loss) ** 2:
            self._later.append((self.now + 1.0, router, router, to, None))
        else:
            near = 0.0003 if to == hall else 0.01
            self.rooms[router].observe(self.now, to, near * times * self.draws.uniform(0.9, 1.2))

    def _arrive(self) -> None:
        due = [later for later in self._later if later[0] <= self.now]
        self._later = [later for later in self._later if later[0] > self.now]
        for _, to, _, hall, heard in due:
            if heard is None:
                self.rooms[to].lost(self.now, hall)
            else:
                self.rooms[to].on_message(self.now, heard)

    def states(self, a: int, b: int) -> list[int]:
        """What each router's map says of a link."""
        return [
            room.estimate(self.now, a, b).state for r, room in enumerate(self.rooms) if r not in self.dead
        ]
