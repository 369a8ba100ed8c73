"""Requests that wait for the origin, their order, and the fetches that are sent."""

from __future__ import annotations

import pytest

from ironrail.policy import concurrency_limit
from ironrail.policy.events import AttemptStatus, ClientDisconnected
from tests.driver import Driver, Outcome, settings
from tests.policy.fleets import CACHE_ASIDE, end_with_misses, fleet


@pytest.mark.parametrize("how", ["disconnected", "failed"])
def test_after_a_failed_fetch_the_next_queued_request_is_sent(how: str) -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    end_with_misses(d, "r1", "r2", "r3")
    assert [d.servers_sent_to[n] for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if how == "disconnected":
        d.finish_request("r1", Outcome.DISCONNECTED)
        d.handle(ClientDisconnected("r1"))
    d.end_attempt("r1", AttemptStatus.RESET)
    assert [d.servers_sent_to[n] for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    d.advance(3.0)
    assert not d.pending


def test_no_fetch_is_sent_that_cannot_finish_in_time() -> None:
    """A fetch that is answered after the latency objective only delays others."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 2.0
    d.router.servers["o"].mean_latency = 0.45
    for n in "123":
        end_with_misses(d, f"r{n}", key=f"k{n}")
    assert d.servers_sent_to["r2"] == ["a", "o"] and d.servers_sent_to["r3"] == ["a"]
    d.now += 0.5
    d.succeed("r1")
    assert d.servers_sent_to["r3"] == ["a"] and d.outcomes["r3"] == Outcome.REJECTED


def test_a_fetch_needs_time_for_twice_the_mean_latency() -> None:
    """A fetch whose client stops waiting midway is not stored, so its work is wasted."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.router.servers["o"].mean_latency = 0.4
    end_with_misses(d, "r1", key="k1")
    d.receive("r2", key="k2", time_left=0.7)
    assert d.end_attempt("r2", AttemptStatus.MISS) is None and d.outcomes["r2"] == Outcome.REJECTED
    d.receive("r3", key="k3", time_left=0.9)
    assert d.end_attempt("r3", AttemptStatus.MISS) == "o"


def test_a_write_needs_time_for_the_mean_latency_once() -> None:
    """A write wastes no fetch, so it may be tried with less time left."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.receive("r0", key="k0", is_write=True)
    d.router.servers["o"].mean_latency = 0.6
    assert d.receive("r1", key="k1", is_write=True) == "o"
    d.router.servers["o"].mean_latency = 1.1
    assert d.receive("r2", key="k2", is_write=True) is None and d.outcomes["r2"] == Outcome.REJECTED


def test_the_highest_priority_weight_goes_first() -> None:
    """Writes must not queue behind fetches for reads when the origin is slow."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    end_with_misses(d, "r1", key="k1")
    end_with_misses(d, "r2", key="k2")
    d.receive("w", class_name="keyed", key="k3", is_write=True)
    d.end_attempt("r1", AttemptStatus.RESET)
    assert d.servers_sent_to.get("w") == ["o"] and d.servers_sent_to["r2"] == ["a"]


def test_a_stopped_origin_is_seldom_tried_and_recovers() -> None:
    """Hundreds of routers with a fetch each would prevent a stopped origin from starting."""
    d = Driver(settings(**CACHE_ASIDE, router_count=10 * concurrency_limit.NUM_ROUTERS_PER_ORIGIN))
    d.update_endpoints(*fleet("a", "o"))
    tries = 0
    for n in range(800):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        d.advance(0.05)
        for name in [n for n in d.pending if d.servers_sent_to[n][-1] == "o"]:
            while d.servers_sent_to[name][-1] == "o" and d.is_in_flight(name):
                stopped = n < 400
                tries += 200 <= n < 400
                d.end_attempt(
                    name,
                    AttemptStatus.CONNECT_FAILED if stopped else AttemptStatus.OK,
                    latency=0.002 if stopped else 0.05,
                )
    assert tries <= 20  # of 200 misses in ten seconds
    assert d.router.servers["o"].concurrency_limit >= 1.0  # it recovered


def test_the_queue_stays_bounded() -> None:
    """Stale entries of low priority must not accumulate behind a steady flow of writes."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    for n in range(2000):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        d.router.servers["o"].concurrency_limit = 1.0
        d.advance(0.05)
    assert len(d.router.origin_queue) < 200 and len(d.router.pending_requests) < 100
