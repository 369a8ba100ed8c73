"""Fuzzes the protocols of zone latency and steering with any reports in any router's name."""

from __future__ import annotations

import math
import random
from typing import Any

from ironrail.peers.messages import Received
from ironrail.peers.steering.cost_model import ZoneState, ZoneStatus
from ironrail.peers.steering.protocol import MAX_PENDING_REPORTS as MAX_PENDING_REGION_REPORTS
from ironrail.peers.steering.protocol import SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.report_table import MAX_REPORTERS
from ironrail.peers.zone_latency.gossip_scheduler import MAX_PENDING_REPORTS
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol
from tests.peers.fuzz.harness import FuzzTarget, idle, must, size_of
from tests.peers.fuzz.mutations import latency_body, mutate, regions_body

MAX_PROTOCOL_BYTES = 6_000_000  # memory of a protocol with 1000 routers, as specified in docs/peers
REGIONS = {count: Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(count)}) for count in (1, 6, 255)}
CLASSES = ("list", "page", "search")


class GossipTarget(FuzzTarget):
    """What the targets of both protocols have in common."""

    protocol: Any

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = rng.choice((0.0, 1e6))
        self.num_routers, self.num_zones = rng.choice(((2, 1), (9, 3), (60, 12), (1000, 64)))
        self.zone_of = [r % self.num_zones for r in range(self.num_routers)]
        self.zone_names = [f"h{n}" for n in range(self.num_zones)]
        self.own_index = rng.randrange(self.num_routers)
        self.incarnation = rng.choice((1, 2**40))
        self.recorded: list[bytes] = []
        self.protocol = self.make()

    def make(self) -> Any:
        raise NotImplementedError

    def body(self) -> bytes:
        raise NotImplementedError

    def measure(self) -> None:
        raise NotImplementedError

    def own_reports(self) -> list[object]:
        """Return what the protocol keeps of this router's own reports, which no message may change."""
        raise NotImplementedError

    def step(self) -> None:
        rng = self.rng
        match rng.randrange(8):
            case 0 | 1 | 2 | 3:
                body = rng.randbytes(rng.randrange(60)) if rng.random() < 0.1 else self.body()
                if rng.random() < 0.4:
                    body = mutate(rng, body, self.recorded)
                if self.recorded and rng.random() < 0.1:
                    body = rng.choice(self.recorded)
                self.recorded = [*self.recorded[-20:], body]
                self.bytes_received += len(body)
                reports = self.own_reports()
                received = Received(rng.randrange(self.num_routers), rng.randrange(1, 2**48), body)
                self.timed(self.protocol.on_message, self.now, received)
                # reports of others may evict one of its own, but not replace it
                pairs = zip(reports, self.own_reports(), strict=True)
                must(all(new in (old, None) for old, new in pairs), "a message changed its own reports")
                # messages are sent by the timer only, so that no datagram causes another
                must(not self.protocol.take_outgoing(), "answers at once")
            case 4 | 5:
                self.measure()
            case 6:
                self.now += rng.choice((0.0, 0.02, 0.3, 5.0))
                self.run_timer(self.now)
            case _ if rng.random() < 0.1:
                self.now += rng.choice((60.0, 1e4, 1e7))
            case _ if rng.random() < 0.1:
                before = self.now
                self.now = idle(self.protocol, self.now)
                sent_bytes = sum(len(outgoing.body) for outgoing in self.protocol.take_outgoing())
                must(sent_bytes <= 2000 * (self.now - before) + 500, f"exceeds its rate limit = {sent_bytes}")

    def run_timer(self, now: float) -> None:
        self.timed(self.protocol.on_timer, now)
        for outgoing in self.protocol.take_outgoing():
            self.bytes_sent += len(outgoing.body)
            must(
                len(outgoing.body) <= 200
                and 0 <= outgoing.to < self.num_routers
                and outgoing.to != self.own_index,
                "an invalid message",
            )

    def end(self) -> None:
        self.now = idle(self.protocol, self.now)
        self.protocol.take_outgoing()
        must((size := size_of(self.protocol)) < MAX_PROTOCOL_BYTES, f"bytes without end = {size}")


class ZoneLatencyTarget(GossipTarget):
    """The zone latency map."""

    def make(self) -> ZoneLatencyProtocol:
        rng = random.Random(self.rng.random())
        return ZoneLatencyProtocol(
            self.now, self.own_index, self.incarnation, self.zone_names, self.zone_of, rng
        )

    def body(self) -> bytes:
        return latency_body(self.rng, self.num_routers, self.num_zones)

    def measure(self) -> None:
        zone = self.rng.randrange(self.num_zones)
        for _ in range(self.rng.choice((1, 9))):
            self.now += self.rng.choice((0.0, 0.11))
            if self.rng.random() < 0.3:
                self.protocol.record_loss(self.now, zone)
            else:
                self.protocol.record_round_trip(
                    self.now, zone, self.rng.choice((0.01, 0.0, -1.0, 1e9, math.inf, math.nan))
                )

    def own_reports(self) -> list[object]:
        return [
            (held.incarnation, held.sequence, held.packed_values) if held else None
            for held in (self.protocol.table.stored(self.own_index, to) for to in range(self.num_zones))
        ]

    def end(self) -> None:
        super().end()
        table, spread = self.protocol.table, self.protocol._gossip
        must(all(len(link) <= table.max_reporters for link in table.links.values()), "reporters without end")
        must(
            len(table.links) <= self.num_zones**2 and len(table.incarnations) <= self.num_routers,
            "links without end",
        )
        must(sum(map(len, spread._pending.values())) <= MAX_PENDING_REPORTS, "gossip entries without end")
        for to in range(self.num_zones):
            estimate = self.protocol.estimate(self.now, self.own_index % self.num_zones, to)
            must(
                estimate.fastest > 0.0 and estimate.median > 0.0 and 0.0 <= estimate.loss_ratio <= 1.0,
                "an invalid estimate",
            )
            must(isinstance(estimate.state, MeasuredLinkState) and estimate.age >= 0.0, "an invalid state")
        self.protocol.take_snapshot()


class SteeringTarget(GossipTarget):
    """The steering of clients between zones."""

    def make(self) -> SteeringProtocol:
        self.regions = REGIONS[self.rng.choice((1, 6, 255))]
        rng = random.Random(self.rng.random())
        return SteeringProtocol(
            self.now,
            self.own_index,
            self.incarnation,
            self.regions,
            self.zone_names,
            self.zone_of,
            CLASSES,
            rng,
        )

    def body(self) -> bytes:
        return regions_body(self.rng, self.num_routers, len(self.regions.names), self.regions.digest)

    def measure(self) -> None:
        rng = self.rng
        for _ in range(rng.choice((1, 9))):
            region = rng.choice((*self.regions.names, "nowhere"))
            seconds = rng.choice((0.02, 0.0, -1.0, 1e9, math.inf, math.nan))
            self.protocol.record_client_rtt(self.now, region, seconds)
            self.protocol.record_request(
                self.now, region, rng.choice(CLASSES), seconds, rng.random() < 0.8, False
            )

    def own_reports(self) -> list[object]:
        regions = range(0, len(self.regions.names), 17)
        return [
            held.order() if held else None
            for held in (self.protocol.table.stored(self.own_index, region) for region in regions)
        ]

    def end(self) -> None:
        super().end()
        protocol, names = self.protocol, self.zone_names
        must(len(protocol._pending) <= MAX_PENDING_REGION_REPORTS, "queued without end")
        must(len(protocol.table.incarnations) <= self.num_routers, "incarnations without end")
        must(
            all(len(protocol.table._cell(h, 0)) <= MAX_REPORTERS for h in range(self.num_zones)),
            "reporters without end",
        )
        if self.num_zones * len(self.regions.names) > 1000:
            return  # a proposal over the largest tables takes seconds
        standing = self.rng.choice(list(ZoneStatus))
        zones = {name: ZoneState(self.rng.choice((0.0, 9.0, 1e6)), 5.0, standing, 2) for name in names}
        proposal = protocol.propose(self.now, {}, zones, dict.fromkeys(names, 0.01))
        for row in (proposal.rows or {}).values():
            must(sum(row.values()) <= 1 + 1e-9 and set(row) <= set(names), "an invalid row")
