"""The bounded walk: a key goes clockwise to the first server that may take it and has less than its share."""

from __future__ import annotations

import math
from bisect import bisect_left

from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.concurrency_limit import ConcurrencyLimiter
from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.policy.hash_ring import EPSILON, HashRing
from ironrail.policy.outlier_detection import SIGN, OutlierDetection
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import PendingRequest, Server
from ironrail.policy.zone_latency import ZoneLatency

# standard deviations that the cap leaves to chance: small counts tripped it and split keys
CHANCE = 2.0
# servers a key may visit: further on they lack it; with 2 many were refused beside idle ones
SPILL = 3


class CandidateSelection:
    """Chooses a cache for a request; each part tells what it knows of one."""

    def __init__(
        self,
        servers: dict[str, Server],
        ring: HashRing,
        attempts_in_flight: AttemptsInFlight,
        retry_policy: RetryPolicy,
        limits: ConcurrencyLimiter,
        cold: SlowStart,
        health: OutlierDetection,
        asking: DiscoveryFreshness,
        links: ZoneLatency,
    ) -> None:
        self.servers, self.ring = servers, ring
        self.attempts_in_flight = attempts_in_flight
        self.retry_policy = retry_policy
        self.limits, self.cold, self.health, self.asking = limits, cold, health, asking
        self.links = links

    def choose(self, now: float, held: PendingRequest) -> Server | None:
        """The first that can answer in time over its link; where none can, the first of all."""
        near = self._first(now, held, held.give_up_at - now) if self.links.known else None
        if near is None or now < near.ejected_until or self.links.cut(near):
            return self._first(now, held, math.inf)
        return near

    def _first(self, now: float, held: PendingRequest, left: float) -> Server | None:
        """First eligible server clockwise, in time by its link, under the cap or met twice; or the last."""
        places, servers, health, known = (
            self.ring.places,
            self.servers,
            self.health,
            self.links.known,
        )
        count, among = len(places), len(self.ring.points)
        start = bisect_left(places, (self.ring.hash(held.key), ""))
        mean = (
            self.attempts_in_flight.cache_count + 1
        ) / among  # with this one, as a cap of 0 would pass over all
        cap = math.ceil((1 + EPSILON) * mean + CHANCE * math.sqrt(mean))
        # guards open connections while connects are in vain: servers with one first, for part of the ring
        linked_first = among // 4 if health.signs["vain"] > SIGN else 0
        passed: set[str] = set()
        visited: set[str] = set()
        barred: set[str] = set()
        spare: dict[str, Server] = {}
        last = None
        for step in range(start, start + count):
            name = places[step % count][1]
            if len(passed) < held.hot_key_offset:
                passed.add(name)
                continue
            if (
                name in barred or name in spare
            ):  # a server is looked at once, not at each of its points
                continue
            server = servers[name]
            if left < math.inf and self.links.too_far(server, left):
                barred.add(name)  # not counted: what is lost to a link is not crowded
                continue
            cut = known and self.links.cut(server)
            if not self._eligible(now, held, server):
                barred.add(name)
                if cut or not self.limits.full(now, server):
                    continue  # not counted: a cold server within its budget, or one that was tried
            elif (
                cut
                or now < server.ejected_until
                or len(spare) < linked_first
                and not health.linked(now, server)
            ):
                spare[name] = server  # for want of others
                continue
            else:
                last = server
                if server.in_flight < cap or name in visited:
                    return server
            visited.add(name)
            if len(visited) >= SPILL:
                break
        return last or (None if visited else next(iter(spare.values()), None))

    def _eligible(self, now: float, held: PendingRequest, server: Server) -> bool:
        """Whether a server may take the request now."""
        if self.limits.full(now, server) or any(
            a.server is server and not a.connection_broke for a in held.attempts
        ):
            return False
        if (
            self.links.known and self.links.suspected(server) and held.open_attempt_count()
        ):  # no second copy there
            return False
        if not self.asking.trusts(now, server):
            return False
        cost, cold = held.request.work_hint or 1.0, self.cold.share(now, server) < 1.0
        if cold and not self.cold.bears(now, server, cost, self.ring.weight(server)):
            return False
        return self.retry_policy.may_send(now, held, server)
