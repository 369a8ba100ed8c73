"""Weighted consistent hashing over the subset of the fleet that this router sends to."""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left
from collections import deque
from functools import lru_cache

from ironrail.policy.actions import Action, CloseIdleConnections
from ironrail.policy.endpoints import EndpointState
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.settings import Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import Server

RING_POSITION_BYTES = 2  # 2**16 positions
MIN_VIRTUAL_NODES = 150  # on the whole ring
# with a single node for each server, their shares would differ at random
NUM_VIRTUAL_NODES_PER_SERVER = 15
BOUNDED_LOAD_MARGIN_RATIO = 0.25  # by which a server's load may exceed the mean
NUM_ROUTERS_PER_SUBSET = 10  # routers that share a server where connections are costly
MIN_SUBSET_SERVERS = 10  # from several zones, so that the loss of one zone leaves some
# Part of its minimum of servers below which there are fewer subsets. A smaller loss, as in a
# release, must not change their number, because that moves most keys.
SUBSET_SHRINK_RATIO = 0.7
NUM_RECENT_KEYS = 64  # latest requests of this router, in which hot keys are counted
MAX_CACHED_HASHES = 2**12


VirtualNode = tuple[int, str]  # its position on the ring, and the name of its server


def ring_hash(text: str) -> int:
    """Return the position of a key or of a virtual node on the ring."""
    digest = hashlib.md5(text.encode(), usedforsecurity=False).digest()
    return int.from_bytes(digest[-RING_POSITION_BYTES:], "big")


def allocate_virtual_nodes(weights: dict[str, float]) -> dict[str, int]:
    """Divide the virtual nodes among servers by weight, by the largest remainder method.

    A server without a weight gets the mean weight. Ties are broken by name.
    """
    known = [weight for weight in weights.values() if weight > 0]
    mean = sum(known) / len(known) if known else 1.0
    filled = {name: weight if weight > 0 else mean for name, weight in weights.items()}
    total = sum(filled.values())
    node_count = max(MIN_VIRTUAL_NODES, NUM_VIRTUAL_NODES_PER_SERVER * len(weights))
    exact = {name: weight / total * node_count for name, weight in filled.items()}
    counts = {name: math.floor(quota) for name, quota in exact.items()}
    remaining = node_count - sum(counts.values())
    for name in sorted(exact, key=lambda name: (counts[name] - exact[name], name))[:remaining]:
        counts[name] += 1
    return counts


class HashRing:
    """The ring of the subset of caches that this router sends to."""

    def __init__(
        self, settings: Settings, slow_start: SlowStart, overrides: PolicyOverrides
    ) -> None:
        self._router_index = settings.router_index
        self._live_weights = settings.live_weights
        self._slow_start = slow_start
        self._overrides = overrides
        self.virtual_nodes: list[VirtualNode] = []  # by position
        self.virtual_node_counts: dict[str, int] = {}  # by server
        self.needs_rebuild = False
        self._max_subsets = 1
        if settings.connections_are_costly:
            self._max_subsets = math.ceil(settings.router_count / NUM_ROUTERS_PER_SUBSET)
        self.subset_count = 0  # 0 until the first endpoint list
        self._largest_subset_count = 0  # largest number that had enough warm servers so far
        self.hash = lru_cache(MAX_CACHED_HASHES)(ring_hash)
        self.recent_keys: deque[str] = deque(maxlen=NUM_RECENT_KEYS)

    def rebuild(self, now: float, servers: dict[str, Server]) -> list[Action]:
        """Apply the current endpoints, and close connections to servers outside the subset.

        Called before the next use of the ring; only virtual nodes that changed are replaced.
        """
        self.needs_rebuild = False
        caches = self._ready_caches(servers)
        warm = sum(self._slow_start.capacity_fraction(now, s) >= 1.0 for s in caches.values())
        self._update_subset_count(len(caches), warm)
        weights = {name: caches[name].endpoint.weight for name in self._subset(caches)}
        self._replace_virtual_nodes(allocate_virtual_nodes(weights))
        self._slow_start.server_count = max(1, len(self.virtual_node_counts))
        return [
            CloseIdleConnections(name) for name in caches if name not in self.virtual_node_counts
        ]

    def _ready_caches(self, servers: dict[str, Server]) -> dict[str, Server]:
        """Return the caches that may take new requests, by name."""
        return {
            name: server
            for name, server in servers.items()
            if server.is_cache
            and server.endpoint.state is EndpointState.READY
            and not self._overrides.is_drained(server.endpoint.zone)
        }

    def _subset(self, caches: dict[str, Server]) -> list[str]:
        """Return this router's caches; a change of the fleet shifts only the ends of the subset."""
        names = sorted(caches, key=lambda name: (self.hash(name), name))
        index = self._router_index % self.subset_count
        begin = len(names) * index // self.subset_count
        end = len(names) * (index + 1) // self.subset_count
        return names[begin:end]

    def _update_subset_count(self, ready: int, warm: int) -> None:
        """Choose the number of subsets for a fleet of `ready` caches, `warm` of them warmed up.

        It does not change while few caches come and go. New caches count once they are warm;
        otherwise keys would move while the caches that replace others are still nearly empty.
        After a loss of many caches the earlier number is restored when they return.
        """
        is_first = not self._largest_subset_count
        min_ready = SUBSET_SHRINK_RATIO * MIN_SUBSET_SERVERS * self.subset_count
        wanted = ready // MIN_SUBSET_SERVERS
        supported = wanted if is_first else warm // MIN_SUBSET_SERVERS
        self._largest_subset_count = max(self._largest_subset_count, supported)
        if not is_first and ready >= min_ready:
            wanted = max(self.subset_count, min(wanted, self._largest_subset_count))
        self.subset_count = min(max(1, wanted), self._max_subsets)

    def _replace_virtual_nodes(self, counts: dict[str, int]) -> None:
        """Remove and add virtual nodes where a server's number of them changed."""
        previous = self.virtual_node_counts
        self.virtual_node_counts = counts
        for name, count in previous.items():
            for index in range(counts.get(name, 0), count):
                del self.virtual_nodes[
                    bisect_left(self.virtual_nodes, self._virtual_node(name, index))
                ]
        for name, count in counts.items():
            self.virtual_nodes += [
                self._virtual_node(name, index) for index in range(previous.get(name, 0), count)
            ]
        self.virtual_nodes.sort()

    def _virtual_node(self, server: str, index: int) -> VirtualNode:
        """Return the virtual node of a server with this index."""
        return self.hash(f"{server}-vnode-{index}"), server

    def relative_weight(self, server: Server) -> float:
        """Return the share of the ring that a warming server has, in multiples of the mean share.

        Live weights rate a server without load too high, so the result is at most 1 with them.
        """
        count = self.virtual_node_counts[server.endpoint.name]
        weight = count * len(self.virtual_node_counts) / len(self.virtual_nodes)
        return min(weight, 1.0) if self._live_weights else weight

    def count_replicas(self, key: str) -> int:
        """Return how many servers share a key, and count a request for it.

        A hot key is spread by its share of recent requests, because no single router has enough
        requests for it in flight to reach the bounded load.
        """
        share = self.recent_keys.count(key) / NUM_RECENT_KEYS
        self.recent_keys.append(key)
        bounded_share = share * len(self.virtual_node_counts) / (1 + BOUNDED_LOAD_MARGIN_RATIO)
        return max(1, math.ceil(bounded_share))
