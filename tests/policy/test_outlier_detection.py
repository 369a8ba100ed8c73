"""Ejection of servers that fail, with growing backoff."""

from __future__ import annotations

import itertools

from ironrail.policy.events import AttemptStatus
from tests.driver import Driver, settings
from tests.policy.fleets import fleet, servers_clockwise


def test_a_server_is_tried_again_after_a_thousand_losses() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    for n in range(1100):
        assert d.receive(f"r{n}") == "a"
        d.end_attempt(f"r{n}", AttemptStatus.CONNECT_FAILED)
        d.now += 2 * d.conf.slow_start_duration


def test_an_ejected_server_is_tried_again_after_growing_backoff() -> None:
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a", "b"))
    first, second = servers_clockwise(d, "k")
    trials = []
    for n in range(300):
        d.now += 0.1
        if d.receive(f"r{n}", key="k", finish=n < 20) == first and n >= 20:
            trials.append(d.now)
            d.now += 0.6
            d.end_attempt(f"r{n}", AttemptStatus.TIMEOUT, latency=0.6)
        elif n >= 20:
            d.succeed(f"r{n}")
    gaps = [b - a for a, b in itertools.pairwise(trials)]
    assert 3 <= len(gaps) <= 12 and gaps[-1] > 2 * gaps[0]
    d.now += 20.0
    assert d.receive("back", key="k", finish=True) == first
    assert d.receive("more", key="k", finish=True) == first
