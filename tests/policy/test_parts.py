"""Parts of a fleet, each of which some routers keep to."""

from ironrail.policy import hash_ring
from ironrail.policy.actions import CloseIdleConnections
from ironrail.policy.endpoints import EndpointState

from tests.driver import Driver, entry, settings


def parts_used(routers: int, servers: int) -> list[set[str | None]]:
    """Of each of so many routers, the servers that it sends to."""
    used, count = [], 30 * servers // routers + 90
    for index in range(routers):
        d = Driver(settings(router_index=index, router_count=routers, connections_are_costly=True))
        d.list(*(entry(f"s{n}") for n in range(servers)))
        used.append({d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(count)})
    return used


def test_routers_keep_to_parts_where_connections_are_priced() -> None:
    """Forty routers met each of sixty servers once in some seconds: every other send was a handshake."""
    used = parts_used(40, 60)
    assert all(sum(f"s{n}" in part for part in used) == hash_ring.NUM_ROUTERS_PER_SUBSET for n in range(60))
    assert len({frozenset(part) for part in used}) == 4


def test_a_part_is_more_than_a_hall() -> None:
    """As many parts as a crowd of routers would have left each with a server or two."""
    used = parts_used(90, 30)
    assert {len(part) for part in used} == {hash_ring.MIN_SUBSET_SERVERS}
    assert set().union(*used) == {f"s{n}" for n in range(30)}


def test_servers_that_come_and_go_do_not_change_the_parts() -> None:
    """At a border each change would have moved every key."""
    d = Driver(settings(router_count=8 * hash_ring.NUM_ROUTERS_PER_SUBSET, connections_are_costly=True))
    parts: list[int] = []
    for count in (20, 19, 14, 20, 21, 29, 30, 29, 21, 20, 14, 13, 14, 20):
        d.list(*(entry(f"s{n}") for n in range(count)))
        d.request(f"r{len(parts)}", finish=True)
        parts.append(d.router.ring.subset_count)
    assert parts == [2, 2, 2, 2, 2, 2, 3, 3, 3, 2, 2, 1, 1, 2]


def members(d: Driver) -> set[str]:
    """Servers of this router's part."""
    d.request(f"of-{d.now}", finish=True)
    return set(d.router.ring.virtual_node_counts)


def test_new_servers_beside_those_they_replace_do_not_divide_the_fleet_anew() -> None:
    """A release of six in ten of 138: parts went from 13 to 17 for good, and all keys lost their places."""
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    old = [entry(f"s{n}") for n in range(138)]
    d.list(*old)
    assert members(d) and d.router.ring.subset_count == 13
    d.now += 1.0
    new = [entry(f"t{n}", started_at=d.now) for n in range(42)]
    d.list(*old, *new)
    assert members(d) and d.router.ring.subset_count == 13
    d.now += 10.0  # they are warm, and those that they replace have gone
    d.list(*old[42:], *new)
    assert members(d) and d.router.ring.subset_count == 13
    d.list(*old, *new)  # a fleet that has grown has more parts
    assert members(d) and d.router.ring.subset_count == 18


def test_a_fleet_that_is_lost_and_returns_cold_has_its_parts_again_at_once() -> None:
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    old = [entry(f"s{n}") for n in range(60)]
    d.list(*old)
    assert members(d) and d.router.ring.subset_count == 6
    d.list(*old[:20])
    assert members(d) and d.router.ring.subset_count == 2
    d.now += 1.0
    d.list(*old[:20], *(entry(f"s{n}", started_at=d.now) for n in range(20, 60)))
    assert members(d) and d.router.ring.subset_count == 6


def test_a_router_asked_before_it_is_told_of_any_server_has_its_parts_at_once() -> None:
    """With all that it was told of then cold, it kept to one part until news after they had warmed up."""
    d = Driver(settings(router_count=200, connections_are_costly=True, slow_start_duration=8.0))
    d.list(*(entry(f"s{n}", state=EndpointState.DRAINING) for n in range(60)))
    d.request("early")
    assert d.router.ring.subset_count == 1
    d.list(*(entry(f"s{n}", started_at=d.now) for n in range(60, 120)))
    assert members(d) and d.router.ring.subset_count == 6


def test_connections_to_other_parts_are_closed() -> None:
    d = Driver(settings(router_count=2 * hash_ring.NUM_ROUTERS_PER_SUBSET, connections_are_costly=True))
    names = [f"s{n}" for n in range(2 * hash_ring.MIN_SUBSET_SERVERS)]
    d.list(*(entry(n) for n in names))
    d.request("first", key="k")
    closed = {a.server for a in d.last if isinstance(a, CloseIdleConnections)}
    used = {d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(200)}
    assert len(used) == hash_ring.MIN_SUBSET_SERVERS and closed == set(names) - used


def test_unpriced_connections_leave_the_ring_whole() -> None:
    d = Driver(settings(router_count=10 * hash_ring.NUM_ROUTERS_PER_SUBSET))
    d.list(*(entry(f"s{n}") for n in range(10)))
    assert len({d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(200)}) == 10
