"""Endpoints for tests of the policy, and the order in which a key visits them."""

from __future__ import annotations

from typing import Any

from ironrail.policy import hash_ring
from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import AttemptStatus
from tests.driver import Driver, endpoint

CACHE_ASIDE: dict[str, Any] = {"cache_aside": True, "origin_kind": "origin"}


def fleet(*names: str) -> list[Endpoint]:
    cells = enumerate(names)
    return [endpoint(n, zone="xy"[i % 2], cell=i % 2, kind="origin" if n == "o" else "std") for i, n in cells]


def end_with_misses(d: Driver, *names: str, key: str = "k") -> None:
    for name in names:
        d.receive(name, key=key)
        d.end_attempt(name, AttemptStatus.MISS)


def servers_clockwise(d: Driver, key: str) -> list[str]:
    """List the servers clockwise from a key, each once."""
    r = d.router
    r.requests.rebuild_ring_if_needed()
    places = r.ring.virtual_nodes
    start = next((i for i, (p, _) in enumerate(places) if p >= hash_ring.ring_hash(key)), 0)
    return list(dict.fromkeys(name for _, name in places[start:] + places[:start]))
