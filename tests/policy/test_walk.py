"""Which servers a key is sent on to."""

from __future__ import annotations

import math

from tests.driver import Driver, settings
from tests.policy.fleets import fleet, order_of


def crowd(d: Driver, *names: str) -> None:
    for name in names:
        d.router.servers[name].concurrency_limit = 0.0


def test_a_key_goes_no_further_than_the_third_crowded_server() -> None:
    """Crowded servers sent keys on to servers that lack them; with two many were refused beside idle ones."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, fourth = order_of(d, "k")
    crowd(d, first)
    assert d.request("r1", key="k") == second
    crowd(d, second)
    assert d.request("r2", key="k") == third
    crowd(d, third)
    assert d.request("r3", key="k") is None and d.ended["r3"] == "refused"
    assert d.router.servers[fourth].in_flight == 0


def test_lost_servers_are_passed_without_being_counted() -> None:
    """Servers behind a cut used up those that a key may pass, and their keys were refused."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, _ = order_of(d, "k")
    for name in (first, second):
        d.router.servers[name].ejected_until = d.now + 1.0
    assert d.request("r1", key="k") == third


def test_with_all_servers_lost_one_is_tried_all_the_same() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    for name in "ab":
        d.router.servers[name].ejected_until = d.now + 9.0
    assert d.request("r1", key="k") == order_of(d, "k")[0]


def test_open_connections_go_first_while_connects_are_in_vain() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet(*"abcdefgh"))
    first, second = order_of(d, "k")[:2]
    d.router.servers[second].last_used_at = d.now
    assert d.request("r0", key="k", finish=True) == first
    d.router.servers[first].last_used_at = -math.inf
    d.router.connection_health.rates.connect_timeouts = 0.3
    assert d.request("r1", key="k") == second
