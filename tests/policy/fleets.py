"""What several tests of decisions share: servers, and how a key meets them."""

from __future__ import annotations

from typing import Any

from ironrail.policy import balance
from ironrail.policy import interface as api
from tests.driver import Driver, entry

ASIDE: dict[str, Any] = {"aside": True, "origin_kind": "origin"}


def fleet(*names: str) -> list[api.ServerEntry]:
    cells = enumerate(names)
    return [entry(n, zone="xy"[i % 2], cell=i % 2, kind="origin" if n == "o" else "std") for i, n in cells]


def missed(d: Driver, *names: str, key: str = "k") -> None:
    for name in names:
        d.request(name, key=key)
        d.end(name, api.Status.MISS)


def order_of(d: Driver, key: str) -> list[str]:
    """The servers clockwise from a key, each once."""
    r = d.router
    r._build_ring()
    places = r.ring.places
    start = next((i for i, (p, _) in enumerate(places) if p >= balance.ring_hash(key)), 0)
    return list(dict.fromkeys(name for _, name in places[start:] + places[:start]))
