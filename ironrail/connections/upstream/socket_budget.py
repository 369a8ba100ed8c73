"""Divides a cache's connections among routers, and a router's descriptors among pools.

A cache accepts a fixed number of connections from all routers together, which it does not
announce; each costs it work when opened and memory while open. A router has a fixed number of
descriptors for all servers.
"""

from __future__ import annotations

from dataclasses import dataclass

# of a cache's capacity; the rest serves connections that replace broken ones
USABLE_CAPACITY_FRACTION = 0.4
MIN_CONNECTIONS_PER_SERVER = 2  # so that one is left when the other breaks
MAX_CONNECTIONS_PER_SERVER = 16


@dataclass(frozen=True, slots=True)
class SocketDemand:
    """The connections that one pool asks for."""

    minimum: int  # granted first; with fewer the pool's service suffers
    wanted: int


def connections_per_router(capacity: int, routers: int) -> int:
    """Return the connections from one of `routers` to a cache that accepts `capacity`."""
    share = int(capacity * USABLE_CAPACITY_FRACTION / max(1, routers))
    return max(MIN_CONNECTIONS_PER_SERVER, min(MAX_CONNECTIONS_PER_SERVER, share))


def share_sockets(total: int, demands: list[SocketDemand]) -> list[int]:
    """Return each pool's share of `total` descriptors: its minimum, then an equal part of the rest.

    Each pool gets at least one, because a server without a connection can't be reached; if there
    are more pools than descriptors the shares exceed the total. Earlier pools get the remainder.
    """
    if not demands:
        return []
    minimum = sum(demand.minimum for demand in demands)
    if minimum >= total:
        return [max(1, demand.minimum * total // minimum) for demand in demands]
    shares = [demand.minimum for demand in demands]
    _share_rest(total - minimum, demands, shares)
    return shares


def _share_rest(rest: int, demands: list[SocketDemand], shares: list[int]) -> None:
    """Raise the shares evenly, each at most to what its pool wants."""
    while rest > 0:
        unsatisfied = [i for i, demand in enumerate(demands) if shares[i] < demand.wanted]
        if not unsatisfied:
            return
        each = max(1, rest // len(unsatisfied))
        for i in unsatisfied:
            grant = min(each, demands[i].wanted - shares[i], rest)
            shares[i] += grant
            rest -= grant
