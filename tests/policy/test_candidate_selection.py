"""The servers that a key goes to when its first one is not chosen."""

from __future__ import annotations

import math

from tests.driver import Driver, Outcome, settings
from tests.policy.fleets import fleet, servers_clockwise


def fill(d: Driver, *names: str) -> None:
    for name in names:
        d.router.servers[name].concurrency_limit = 0.0


def test_a_key_visits_three_servers_at_their_limit_at_most() -> None:
    """With more visits keys go to servers that do not cache them; with two, idle servers stay unused."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c", "d"))
    first, second, third, fourth = servers_clockwise(d, "k")
    fill(d, first)
    assert d.receive("r1", key="k") == second
    fill(d, second)
    assert d.receive("r2", key="k") == third
    fill(d, third)
    assert d.receive("r3", key="k") is None and d.outcomes["r3"] == Outcome.REJECTED
    assert d.router.servers[fourth].in_flight == 0


def test_ejected_servers_do_not_count_as_visited() -> None:
    """Otherwise keys of servers behind a cut link would be rejected."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c", "d"))
    first, second, third, _ = servers_clockwise(d, "k")
    for name in (first, second):
        d.router.servers[name].ejected_until = d.now + 1.0
    assert d.receive("r1", key="k") == third


def test_an_ejected_server_is_the_last_resort_where_all_are_ejected() -> None:
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a", "b"))
    for name in "ab":
        d.router.servers[name].ejected_until = d.now + 9.0
    assert d.receive("r1", key="k") == servers_clockwise(d, "k")[0]


def test_servers_with_open_connections_come_first_while_connects_time_out() -> None:
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet(*"abcdefgh"))
    first, second = servers_clockwise(d, "k")[:2]
    d.router.servers[second].last_used_at = d.now
    assert d.receive("r0", key="k", finish=True) == first
    d.router.servers[first].last_used_at = -math.inf
    d.router.connection_health.rates.connect_timeouts = 0.3
    assert d.receive("r1", key="k") == second
