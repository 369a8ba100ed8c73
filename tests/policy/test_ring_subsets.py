"""Subsets of a fleet: each router sends only to the servers of one subset."""

from ironrail.policy import hash_ring
from ironrail.policy.actions import CloseIdleConnections
from ironrail.policy.endpoints import EndpointState
from tests.driver import Driver, endpoint, settings


def servers_used(routers: int, servers: int) -> list[set[str | None]]:
    """Return, for each router, the servers that it sends to."""
    used, count = [], 30 * servers // routers + 90
    for index in range(routers):
        d = Driver(settings(router_index=index, router_count=routers, connections_are_costly=True))
        d.update_endpoints(*(endpoint(f"s{n}") for n in range(servers)))
        used.append({d.receive(f"r{n}", key=f"k{n}", finish=True) for n in range(count)})
    return used


def test_routers_send_to_a_subset_where_connections_are_costly() -> None:
    """Without subsets, forty routers at sixty servers needed a new connection for every other attempt."""
    used = servers_used(40, 60)
    assert all(sum(f"s{n}" in part for part in used) == hash_ring.NUM_ROUTERS_PER_SUBSET for n in range(60))
    assert len({frozenset(part) for part in used}) == 4


def test_a_subset_has_the_minimum_of_servers() -> None:
    """By the number of routers alone a subset would have only one or two servers."""
    used = servers_used(90, 30)
    assert {len(part) for part in used} == {hash_ring.MIN_SUBSET_SERVERS}
    assert set().union(*used) == {f"s{n}" for n in range(30)}


def test_the_number_of_subsets_stays_while_few_servers_come_and_go() -> None:
    """A change of the number of subsets moves most keys."""
    d = Driver(settings(router_count=8 * hash_ring.NUM_ROUTERS_PER_SUBSET, connections_are_costly=True))
    parts: list[int] = []
    for count in (20, 19, 14, 20, 21, 29, 30, 29, 21, 20, 14, 13, 14, 20):
        d.update_endpoints(*(endpoint(f"s{n}") for n in range(count)))
        d.receive(f"r{len(parts)}", finish=True)
        parts.append(d.router.ring.subset_count)
    assert parts == [2, 2, 2, 2, 2, 2, 3, 3, 3, 2, 2, 1, 1, 2]


def members(d: Driver) -> set[str]:
    """Return the servers of this router's subset."""
    d.receive(f"of-{d.now}", finish=True)
    return set(d.router.ring.virtual_node_counts)


def test_servers_that_warm_up_beside_those_they_replace_add_no_subset() -> None:
    """A release that replaced six of ten of 138 servers changed 13 subsets to 17, and moved all keys."""
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    old = [endpoint(f"s{n}") for n in range(138)]
    d.update_endpoints(*old)
    assert members(d) and d.router.ring.subset_count == 13
    d.now += 1.0
    new = [endpoint(f"t{n}", started_at=d.now) for n in range(42)]
    d.update_endpoints(*old, *new)
    assert members(d) and d.router.ring.subset_count == 13
    d.now += 10.0  # the new ones are warm, and those that they replace are removed
    d.update_endpoints(*old[42:], *new)
    assert members(d) and d.router.ring.subset_count == 13
    d.update_endpoints(*old, *new)  # a larger fleet has more subsets
    assert members(d) and d.router.ring.subset_count == 18


def test_the_subsets_are_restored_when_lost_servers_return() -> None:
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    old = [endpoint(f"s{n}") for n in range(60)]
    d.update_endpoints(*old)
    assert members(d) and d.router.ring.subset_count == 6
    d.update_endpoints(*old[:20])
    assert members(d) and d.router.ring.subset_count == 2
    d.now += 1.0
    d.update_endpoints(*old[:20], *(endpoint(f"s{n}", started_at=d.now) for n in range(20, 60)))
    assert members(d) and d.router.ring.subset_count == 6


def test_the_first_list_with_ready_servers_sets_the_subsets_even_if_all_warm_up() -> None:
    """Guards against a router that keeps one subset until an update after the servers have warmed up."""
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    d.update_endpoints(*(endpoint(f"s{n}", state=EndpointState.DRAINING) for n in range(60)))
    d.receive("early")
    assert d.router.ring.subset_count == 1
    d.update_endpoints(*(endpoint(f"s{n}", started_at=d.now) for n in range(60, 120)))
    assert members(d) and d.router.ring.subset_count == 6


def test_connections_to_other_subsets_are_closed() -> None:
    d = Driver(settings(router_count=2 * hash_ring.NUM_ROUTERS_PER_SUBSET, connections_are_costly=True))
    names = [f"s{n}" for n in range(2 * hash_ring.MIN_SUBSET_SERVERS)]
    d.update_endpoints(*(endpoint(n) for n in names))
    d.receive("first", key="k")
    closed = {a.server for a in d.last_actions if isinstance(a, CloseIdleConnections)}
    used = {d.receive(f"r{n}", key=f"k{n}", finish=True) for n in range(200)}
    assert len(used) == hash_ring.MIN_SUBSET_SERVERS and closed == set(names) - used


def test_there_is_one_subset_where_connections_are_not_costly() -> None:
    d = Driver(settings(router_count=10 * hash_ring.NUM_ROUTERS_PER_SUBSET))
    d.update_endpoints(*(endpoint(f"s{n}") for n in range(10)))
    assert len({d.receive(f"r{n}", key=f"k{n}", finish=True) for n in range(200)}) == 10
