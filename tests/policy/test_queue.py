"""Who waits for the origin, and what is fetched at all."""

from __future__ import annotations

import pytest
from ironrail.policy import concurrency_limit
from ironrail.policy.events import AttemptStatus, ClientDisconnected

from tests.driver import Driver, settings
from tests.policy.fleets import CACHE_ASIDE, end_with_misses, fleet


@pytest.mark.parametrize("how", ["gone", "failed"])
def test_a_lost_fetch_does_not_strand_those_waiting(how: str) -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    end_with_misses(d, "r1", "r2", "r3")
    assert [d.sends[n] for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if how == "gone":
        d.finish("r1", "gone")
        d.feed(ClientDisconnected("r1"))
    d.end("r1", AttemptStatus.RESET)
    assert [d.sends[n] for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    d.wait(3.0)
    assert not d.open


def test_no_fetch_is_sent_that_cannot_be_back_in_time() -> None:
    """With a slow origin, fetches were sent that came back after the aim, and kept others out."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 2.0
    d.router.servers["o"].mean_latency = 0.45
    for n in "123":
        end_with_misses(d, f"r{n}", key=f"k{n}")
    assert d.sends["r2"] == ["a", "o"] and d.sends["r3"] == ["a"]
    d.now += 0.5
    d.ok("r1")
    assert d.sends["r3"] == ["a"] and d.ended["r3"] == "refused"


def test_a_fetch_needs_twice_the_usual_latency() -> None:
    """A third of fetches were given up midway by their clients, and so were not even stored."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].mean_latency = 0.4
    end_with_misses(d, "r1", key="k1")
    d.request("r2", key="k2", time_left=0.7)
    assert d.end("r2", AttemptStatus.MISS) is None and d.ended["r2"] == "refused"
    d.request("r3", key="k3", time_left=0.9)
    assert d.end("r3", AttemptStatus.MISS) == "o"


def test_a_write_needs_the_usual_latency_but_once() -> None:
    """With an origin somewhat slow every booking was failed at once, though most would have been in time."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.request("r0", key="k0", is_write=True)
    d.router.servers["o"].mean_latency = 0.6
    assert d.request("r1", key="k1", is_write=True) == "o"
    d.router.servers["o"].mean_latency = 1.1
    assert d.request("r2", key="k2", is_write=True) is None and d.ended["r2"] == "refused"


def test_worth_goes_first_at_the_origin() -> None:
    """Bookings waited behind the misses of reads when the origin was slow."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    end_with_misses(d, "r1", key="k1")
    end_with_misses(d, "r2", key="k2")
    d.request("w", class_name="keyed", key="k3", is_write=True)
    d.end("r1", AttemptStatus.RESET)
    assert d.sends.get("w") == ["o"] and d.sends["r2"] == ["a"]


def test_an_origin_that_stopped_is_tried_now_and_then() -> None:
    """A fetch each from hundreds of routers and retries at once: eight attempts a request, none connected."""
    d = Driver(settings(**CACHE_ASIDE, router_count=10 * concurrency_limit.NUM_ROUTERS_PER_ORIGIN))
    d.list(*fleet("a", "o"))
    tries = 0
    for n in range(800):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        d.wait(0.05)
        for name in [n for n in d.open if d.sends[n][-1] == "o"]:
            while d.sends[name][-1] == "o" and d.state[name, len(d.sends[name]) - 1] is None:
                stopped = n < 400
                tries += 200 <= n < 400
                d.end(
                    name,
                    AttemptStatus.CONNECT_FAILED if stopped else AttemptStatus.OK,
                    latency=0.002 if stopped else 0.05,
                )
    assert tries <= 20  # of 200 that missed in ten seconds
    assert d.router.servers["o"].concurrency_limit >= 1.0  # it came back


def test_the_queue_for_the_origin_stays_bounded() -> None:
    """Reads long ended lay behind a steady flow of writes of more worth."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].concurrency_limit = 1.0
    for n in range(2000):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        d.router.servers["o"].concurrency_limit = 1.0
        d.wait(0.05)
    assert len(d.router.origin_queue) < 200 and len(d.router.pending_requests) < 100
