"""Division of a cache's connections among routers, and of a router's descriptors among pools."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.connections.upstream.socket_budget import (
    MIN_CONNECTIONS_PER_SERVER,
    SocketDemand,
    connections_per_router,
    share_sockets,
)

CACHE = SocketDemand(MIN_CONNECTIONS_PER_SERVER, 12)
ORIGIN = SocketDemand(32, 32)


@pytest.mark.parametrize(
    ("capacity", "routers", "each"), [(90, 3, 12), (90, 4, 9), (90, 1, 16), (90, 100, 2)]
)
def test_a_cache_s_capacity_is_shared_by_all_routers(capacity: int, routers: int, each: int) -> None:
    assert connections_per_router(capacity, routers) == each


@pytest.mark.parametrize(
    ("total", "caches", "each", "origin"),
    [(120, 9, 9, 32), (120, 14, 6, 32), (77, 9, 5, 32), (77, 14, 3, 32), (333, 14, 12, 32)],
)
def test_the_origin_keeps_its_connections_and_caches_share_the_rest(
    total: int, caches: int, each: int, origin: int
) -> None:
    *shares, last = share_sockets(total, [CACHE] * caches + [ORIGIN])
    assert last == origin
    assert set(shares) <= {each, each + 1} and each in shares  # the first ones get the remainder


@given(
    st.integers(1, 400),
    st.lists(
        st.tuples(st.integers(1, 40), st.integers(0, 40)).map(lambda p: SocketDemand(p[0], p[0] + p[1]))
    ),
)
def test_shares_keep_the_total_and_each_pool_has_one(total: int, demands: list[SocketDemand]) -> None:
    shares = share_sockets(total, demands)
    assert all(1 <= share <= demand.wanted for share, demand in zip(shares, demands, strict=True))
    assert sum(shares) <= total + len(shares)
    total_minimum = sum(demand.minimum for demand in demands)
    if total_minimum < total:
        assert all(share >= demand.minimum for share, demand in zip(shares, demands, strict=True))
        assert sum(shares) == min(total, sum(demand.wanted for demand in demands))
