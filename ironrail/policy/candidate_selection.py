"""Consistent hashing with bounded loads: choose the cache that a request is sent to.

Servers are considered clockwise from the key. The first eligible one below the bounded load is
chosen; the others are passed over for the reasons in `Verdict`.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.concurrency_limit import ConcurrencyLimiter
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.policy.hash_ring import BOUNDED_LOAD_MARGIN_RATIO, HashRing
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import PendingRequest, Server
from ironrail.policy.zone_latency import ZoneLatency

# Standard deviations added to the mean load. Without them, random variation with few requests in
# flight would spread each key over several servers.
LOAD_DEVIATION_FACTOR = 2.0
MAX_VISITED_SERVERS = 3  # for each key; servers further clockwise do not have it cached
CONNECTED_FIRST_FRACTION = 1 / 4  # of the servers, searched for one with an open connection


class Verdict(Enum):
    """The result for one server in the search for a candidate."""

    CHOSEN = auto()
    OVER_BOUNDED_LOAD = auto()  # counts as visited, and may still be chosen
    AT_CONCURRENCY_LIMIT = auto()  # counts as visited
    INELIGIBLE = auto()
    LAST_RESORT = auto()  # ejected, cut off or not connected: chosen only if no other can be


@dataclass(slots=True)
class Search:
    """The state of one search along the ring."""

    now: float
    pending: PendingRequest
    time_left: float  # seconds until the answer must arrive; infinite if that is not a criterion
    max_in_flight: int  # the bounded load
    connected_first: int  # servers without an open connection to pass over
    visited: set[str] = field(default_factory=set)
    ineligible: set[str] = field(default_factory=set)
    last_resorts: dict[str, Server] = field(default_factory=dict)


class CandidateSelection:
    """Chooses a cache by the ring and by the state that the other parts keep of each server."""

    def __init__(
        self,
        servers: dict[str, Server],
        ring: HashRing,
        attempts_in_flight: AttemptsInFlight,
        retry_policy: RetryPolicy,
        concurrency_limiter: ConcurrencyLimiter,
        slow_start: SlowStart,
        connections: ConnectionHealth,
        freshness: DiscoveryFreshness,
        zone_latency: ZoneLatency,
    ) -> None:
        self.servers = servers
        self.ring = ring
        self.attempts_in_flight = attempts_in_flight
        self.retry_policy = retry_policy
        self.concurrency_limiter = concurrency_limiter
        self.slow_start = slow_start
        self.connections = connections
        self.freshness = freshness
        self.zone_latency = zone_latency

    def choose(self, now: float, pending: PendingRequest) -> Server | None:
        """Return the first candidate whose answer can be back in time, else the first of all.

        None where every server that the key may go to is ineligible or at its limit.
        """
        nearby = None
        if self.zone_latency.has_links:
            nearby = self._search(now, pending, pending.give_up_at - now)
        if nearby is None or now < nearby.ejected_until or self.zone_latency.is_cut(nearby):
            return self._search(now, pending, math.inf)
        return nearby

    def _search(self, now: float, pending: PendingRequest, time_left: float) -> Server | None:
        """Return the first server chosen, else one over the bounded load, else a last resort."""
        search = Search(
            now, pending, time_left, self._bounded_load(), self._count_connected_first()
        )
        over_load = None
        for name in self._clockwise(pending):
            if name in search.ineligible or name in search.last_resorts:
                continue
            server = self.servers[name]
            verdict = self._evaluate(search, server)
            if verdict is Verdict.CHOSEN:
                return server
            if verdict is Verdict.LAST_RESORT:
                search.last_resorts[name] = server
                continue
            if verdict is Verdict.OVER_BOUNDED_LOAD:
                over_load = server
            else:
                search.ineligible.add(name)
            if verdict is not Verdict.INELIGIBLE:
                search.visited.add(name)
            if len(search.visited) >= MAX_VISITED_SERVERS:
                break
        if over_load is not None or search.visited:
            return over_load
        return next(iter(search.last_resorts.values()), None)

    def _bounded_load(self) -> int:
        """Return how many attempts may be in flight at a server before its keys go to the next."""
        # including this request, as a bound of 0 would pass over all servers
        mean = (self.attempts_in_flight.cache_count + 1) / len(self.ring.virtual_node_counts)
        return math.ceil(
            (1 + BOUNDED_LOAD_MARGIN_RATIO) * mean + LOAD_DEVIATION_FACTOR * math.sqrt(mean)
        )

    def _count_connected_first(self) -> int:
        """Return how many unconnected servers to pass over while connects time out."""
        if not self.connections.connects_time_out:
            return 0
        return int(CONNECTED_FIRST_FRACTION * len(self.ring.virtual_node_counts))

    def _clockwise(self, pending: PendingRequest) -> Iterator[str]:
        """Yield the server of each virtual node clockwise from the key, past the hot-key offset."""
        nodes = self.ring.virtual_nodes
        start = bisect_left(nodes, (self.ring.hash(pending.key), ""))
        skipped: set[str] = set()
        for step in range(start, start + len(nodes)):
            _, name = nodes[step % len(nodes)]
            if len(skipped) < pending.hot_key_offset:
                skipped.add(name)
            else:
                yield name

    def _evaluate(self, search: Search, server: Server) -> Verdict:
        """Decide whether a server is chosen, and if not, how it is passed over."""
        now = search.now
        if search.time_left < math.inf and self.zone_latency.is_too_far(server, search.time_left):
            return Verdict.INELIGIBLE
        is_cut = self.zone_latency.has_links and self.zone_latency.is_cut(server)
        if not self._is_eligible(now, search.pending, server):
            # a server behind a cut link does not count as visited, so the search goes on
            is_visit = not is_cut and self.concurrency_limiter.is_full(now, server)
            return Verdict.AT_CONCURRENCY_LIMIT if is_visit else Verdict.INELIGIBLE
        if is_cut or now < server.ejected_until:
            return Verdict.LAST_RESORT
        prefers_connected = len(search.last_resorts) < search.connected_first
        if prefers_connected and not self.connections.is_connected(now, server):
            return Verdict.LAST_RESORT
        if server.in_flight < search.max_in_flight or server.endpoint.name in search.visited:
            return Verdict.CHOSEN
        return Verdict.OVER_BOUNDED_LOAD

    def _is_eligible(self, now: float, pending: PendingRequest, server: Server) -> bool:
        """Return whether a server may take the request now, regardless of its load."""
        if self.concurrency_limiter.is_full(now, server):
            return False
        if any(a.server is server and not a.connection_broke for a in pending.attempts):
            return False
        is_hedge = pending.open_attempt_count() > 0
        if is_hedge and self.zone_latency.has_links and self.zone_latency.is_suspected(server):
            return False
        if not self.freshness.is_usable(now, server):
            return False
        if self.slow_start.capacity_fraction(now, server) < 1.0:
            cost = pending.request.work_hint or 1.0
            if not self.slow_start.admits(now, server, cost, self.ring.relative_weight(server)):
                return False
        return self.retry_policy.may_send(now, pending, server)
