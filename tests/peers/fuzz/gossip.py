"""The rooms of latency and regions, told whatever there is to be told, by whoever."""

from __future__ import annotations

import math
import random
from typing import Any

from ironrail.peers.messages import Received
from ironrail.peers.steering.cost_model import ZoneState, ZoneStatus
from ironrail.peers.steering.protocol import MAX_PENDING_REPORTS, SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.report_table import MAX_REPORTERS
from ironrail.peers.zone_latency.room import LatencyRoom
from ironrail.peers.zone_latency.sight import Link
from ironrail.peers.zone_latency.spread import MOST_RUMOURS
from tests.peers.fuzz.base import Attack, idle, must, size_of
from tests.peers.fuzz.bodies import latency_body, regions_body, spoil

BYTES = 6_000_000  # of a room of the largest tier, as docs/peers have it
REGIONS = {count: Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(count)}) for count in (1, 6, 255)}
CLASSES = ("list", "page", "search")


class Gossip(Attack):
    """What the two have in common."""

    room: Any

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.now = draws.choice((0.0, 1e6))
        self.routers, self.halls = draws.choice(((2, 1), (9, 3), (60, 12), (1000, 64)))
        self.hall_of = [r % self.halls for r in range(self.routers)]
        self.names = [f"h{n}" for n in range(self.halls)]
        self.me = draws.randrange(self.routers)
        self.start = draws.choice((1, 2**40))
        self.recorded: list[bytes] = []
        self.room = self.make()

    def make(self) -> Any:
        raise NotImplementedError

    def body(self) -> bytes:
        raise NotImplementedError

    def see(self) -> None:
        raise NotImplementedError

    def own(self) -> list[object]:
        """What the room holds as its own word: nobody tells it that."""
        raise NotImplementedError

    def step(self) -> None:
        draws = self.draws
        match draws.randrange(8):
            case 0 | 1 | 2 | 3:
                body = draws.randbytes(draws.randrange(60)) if draws.random() < 0.1 else self.body()
                if draws.random() < 0.4:
                    body = spoil(draws, body, self.recorded)
                if self.recorded and draws.random() < 0.1:
                    body = draws.choice(self.recorded)
                self.recorded = [*self.recorded[-20:], body]
                self.heard += len(body)
                own = self.own()
                heard = Received(draws.randrange(self.routers), draws.randrange(1, 2**48), body)
                self.timed(self.room.on_message, self.now, heard)
                kept = zip(own, self.own(), strict=True)  # others may take its place, none speaks for it
                must(all(new in (old, None) for old, new in kept), "told by others what it saw")
                must(not self.room.take_outgoing(), "answers at once")  # so no datagram makes it say one
            case 4 | 5:
                self.see()
            case 6:
                self.now += draws.choice((0.0, 0.02, 0.3, 5.0))
                self.wake(self.now)
            case _ if draws.random() < 0.1:
                self.now += draws.choice((60.0, 1e4, 1e7))
            case _ if draws.random() < 0.1:
                before = self.now
                self.now = idle(self.room, self.now)
                said = sum(len(say.body) for say in self.room.take_outgoing())
                must(said <= 2000 * (self.now - before) + 500, f"says more than its pace = {said}")

    def wake(self, now: float) -> None:
        self.timed(self.room.on_timer, now)
        for say in self.room.take_outgoing():
            self.said += len(say.body)
            must(len(say.body) <= 200 and 0 <= say.to < self.routers and say.to != self.me, "no such say")

    def end(self) -> None:
        self.now = idle(self.room, self.now)
        self.room.take_outgoing()
        must((size := size_of(self.room)) < BYTES, f"bytes without end = {size}")


class Latency(Gossip):
    """The map."""

    def make(self) -> LatencyRoom:
        draws = random.Random(self.draws.random())
        return LatencyRoom(self.now, self.me, self.start, self.names, self.hall_of, draws)

    def body(self) -> bytes:
        return latency_body(self.draws, self.routers, self.halls)

    def see(self) -> None:
        hall = self.draws.randrange(self.halls)
        for _ in range(self.draws.choice((1, 9))):
            self.now += self.draws.choice((0.0, 0.11))
            if self.draws.random() < 0.3:
                self.room.lost(self.now, hall)
            else:
                self.room.observe(
                    self.now, hall, self.draws.choice((0.01, 0.0, -1.0, 1e9, math.inf, math.nan))
                )

    def own(self) -> list[object]:
        return [(held.start, held.sequence, held.values) if held else None
                for held in (self.room.table.held(self.me, to) for to in range(self.halls))]  # fmt: skip

    def end(self) -> None:
        super().end()
        table, spread = self.room.table, self.room._spread
        must(all(len(link) <= table.witnesses for link in table.links.values()), "witnesses without end")
        must(len(table.links) <= self.halls**2 and len(table.starts) <= self.routers, "links without end")
        must(sum(map(len, spread._rumours.values())) <= MOST_RUMOURS, "rumours without end")
        for to in range(self.halls):
            said = self.room.estimate(self.now, self.me % self.halls, to)
            must(said.low > 0.0 and said.typical > 0.0 and 0.0 <= said.lost <= 1.0, "no such figures")
            must(isinstance(said.state, Link) and said.age >= 0.0, "no such state")
        self.room.facts()


class OfRegions(Gossip):
    """Regions' rows."""

    def make(self) -> SteeringProtocol:
        self.regions = REGIONS[self.draws.choice((1, 6, 255))]
        draws = random.Random(self.draws.random())
        return SteeringProtocol(
            self.now, self.me, self.start, self.regions, self.names, self.hall_of, CLASSES, draws
        )

    def body(self) -> bytes:
        return regions_body(self.draws, self.routers, len(self.regions.names), self.regions.digest)

    def see(self) -> None:
        draws = self.draws
        for _ in range(draws.choice((1, 9))):
            region = draws.choice((*self.regions.names, "nowhere"))
            seconds = draws.choice((0.02, 0.0, -1.0, 1e9, math.inf, math.nan))
            self.room.record_client_rtt(self.now, region, seconds)
            self.room.record_request(
                self.now, region, draws.choice(CLASSES), seconds, draws.random() < 0.8, False
            )

    def own(self) -> list[object]:
        regions = range(0, len(self.regions.names), 17)
        return [held.order() if held else None
                for held in (self.room.table.stored(self.me, region) for region in regions)]  # fmt: skip

    def end(self) -> None:
        super().end()
        room, names = self.room, self.names
        must(len(room._pending) <= MAX_PENDING_REPORTS, "waits without end")
        must(len(room.table.incarnations) <= self.routers, "starts without end")
        must(
            all(len(room.table._cell(h, 0)) <= MAX_REPORTERS for h in range(self.halls)),
            "witnesses without end",
        )
        if self.halls * len(self.regions.names) > 1000:
            return  # a proposal over the largest tables takes seconds
        standing = self.draws.choice(list(ZoneStatus))
        halls = {name: ZoneState(self.draws.choice((0.0, 9.0, 1e6)), 5.0, standing, 2) for name in names}
        proposal = room.propose(self.now, {}, halls, dict.fromkeys(names, 0.01))
        for row in (proposal.rows or {}).values():
            must(sum(row.values()) <= 1 + 1e-9 and set(row) <= set(names), "no such row")
