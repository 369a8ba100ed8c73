"""The adaptive limit of attempts in flight at a server."""

from __future__ import annotations

import pytest

from ironrail.policy import concurrency_limit, hash_ring, state
from ironrail.policy.events import AttemptStatus
from tests.driver import Driver, Outcome, endpoint, settings
from tests.policy.fleets import CACHE_ASIDE, end_with_misses, fleet


def test_a_slow_server_gets_a_lower_limit() -> None:
    """Overloaded servers answer late or not at all."""
    d = Driver(settings())
    d.update_endpoints(endpoint("a"))
    for n in range(40):
        d.receive(f"s{n}")
        d.now += 0.6
        d.end_attempt(f"s{n}", AttemptStatus.OK, latency=0.9)
    sent = [d.receive(f"r{n}") for n in range(10)]
    assert sent.count("a") == 1 and sent.count(None) == 9
    assert [d.outcomes[f"r{n}"] for n in range(1, 10)] == [Outcome.REJECTED] * 9


def test_the_initial_growth_of_the_origin_limit_is_shared_by_all_routers() -> None:
    """The limits of 200 routers grew from 4 to 16 fetches each: the origin rejected 413 in a second."""
    limits = {}
    for routers in (1, 40, 200):
        d = Driver(settings(cache_aside=True, origin_kind="o", router_count=routers))
        d.update_endpoints(*fleet("a"), endpoint("o", kind="o"))
        for n in range(12):
            d.receive(f"r{n}", class_name="once", is_write=True)
        for n in range(8):
            if f"r{n}" in d.servers_sent_to:
                d.succeed(f"r{n}")
        limits[routers] = d.router.servers["o"].concurrency_limit
    assert limits == {1: 11.0, 40: pytest.approx(10.4), 200: 6.0}


def test_a_limit_grows_faster_before_its_first_decrease() -> None:
    """Guards against a limit that takes seconds to reach the load, while most requests are rejected."""
    d = Driver(settings(cache_aside=True, origin_kind="o"))
    d.update_endpoints(*fleet("a"), endpoint("o", kind="o"))
    for n in range(40):
        d.receive(f"r{n}", class_name="once", is_write=True)
    for n in range(36):  # as many as it takes until no request is queued
        if f"r{n}" in d.servers_sent_to:
            d.succeed(f"r{n}")
    assert d.router.servers["o"].concurrency_limit >= 20.0
    d.router.servers["o"].limit_decreased_at = d.now  # growth is slow after a decrease
    before = d.router.servers["o"].concurrency_limit
    d.succeed("r39")
    assert d.router.servers["o"].concurrency_limit - before < 0.2


def test_one_slow_answer_does_not_decrease_the_limit() -> None:
    """Guards against a single expensive request that lowers the limit of a healthy server."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    for n in range(20):
        d.receive(f"r{n}", key="k")
        d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.9 if n == 10 else 0.05)
    assert d.router.servers["a"].concurrency_limit >= state.INITIAL_CONCURRENCY_LIMIT


def test_abandoned_attempts_count_as_in_flight_until_a_later_answer_or_the_latency_objective() -> None:
    """Servers still work on abandoned attempts: 200 routers kept their queues full of these."""
    d = Driver(settings(max_attempts=1, hedging_allowed=False, router_count=hash_ring.NUM_ROUTERS_PER_SUBSET))
    d.update_endpoints(*fleet("a"))
    d.router.servers["a"].concurrency_limit = 3.0
    assert [d.receive(f"r{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end_attempt("r0", AttemptStatus.TIMEOUT, latency=0.1)
    d.end_attempt("r1", AttemptStatus.CANCELLED, latency=0.1)
    assert d.receive("early", key="k") is None  # one in flight, two abandoned
    d.end_attempt("r2", AttemptStatus.BUSY, latency=0.1)  # says nothing about earlier attempts
    d.router.servers["a"].concurrency_limit = 3.0
    assert d.receive("r4", key="k") == "a" and d.receive("more", key="k") is None
    d.succeed("r4")  # was sent after the abandoned ones
    assert [d.receive(f"s{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end_attempt("s0", AttemptStatus.TIMEOUT, latency=0.1)
    assert d.receive("at once", key="k") is None
    d.now += 1.1  # longer than the latency objective: the server must be tried again
    assert d.receive("later", key="k") == "a"


@pytest.mark.parametrize(
    ("status", "limit"),
    [
        (AttemptStatus.ERROR, 2 * concurrency_limit.MULTIPLICATIVE_DECREASE_FACTOR),
        (AttemptStatus.TIMEOUT, 1.0),
    ],
)
def test_with_many_routers_the_decrease_starts_from_what_is_in_flight(
    status: AttemptStatus, limit: float
) -> None:
    """A limit of nine took eight decreases to bound three attempts in flight."""
    found = []
    for routers in (1, hash_ring.NUM_ROUTERS_PER_SUBSET):
        d = Driver(settings(max_attempts=1, hedging_allowed=False, router_count=routers))
        d.update_endpoints(*fleet("a"))
        d.router.servers["a"].concurrency_limit = 9.0
        for n in range(3):
            d.receive(f"r{n}", key="k")
        for n in range(2):
            d.end_attempt(f"r{n}", status, latency=0.9)
        found.append(d.router.servers["a"].concurrency_limit)
    assert found == [
        9.0 * concurrency_limit.MULTIPLICATIVE_DECREASE_FACTOR,
        limit,
    ]  # the second end leaves two in flight, counting itself, or one


def test_a_rejection_lowers_the_limit_to_what_is_in_flight() -> None:
    """Limits fell by only a quarter at a time, while small servers rejected two of three attempts."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    d.router.servers["a"].concurrency_limit = 9.0
    for n in range(6):
        d.receive(f"r{n}", key="k")
    d.end_attempt("r5", AttemptStatus.BUSY)
    assert d.router.servers["a"].concurrency_limit == 5.0


def test_failed_connects_to_a_cache_do_not_decrease_its_limit() -> None:
    """With few routers the limit would take long to rise again after a cut link recovers."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    for n in range(5):
        d.receive(f"r{n}", key="k")
        if f"r{n}" in d.pending:
            d.end_attempt(f"r{n}", AttemptStatus.CONNECT_FAILED)
        d.advance(1.0)
    assert d.router.servers["a"].concurrency_limit == state.INITIAL_CONCURRENCY_LIMIT


def test_connects_to_the_origin_that_time_out_do_not_decrease_its_limit() -> None:
    """Otherwise few fetches are sent for a long time after a cut link recovers."""
    d = Driver(settings(**CACHE_ASIDE, router_count=10 * concurrency_limit.NUM_ROUTERS_PER_ORIGIN))
    d.update_endpoints(*fleet("a", "o"))
    for n in range(20):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        if d.servers_sent_to[f"r{n}"][-1] == "o":
            d.end_attempt(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.25)
        d.advance(1.0)
    assert d.router.servers["o"].concurrency_limit >= 1.0


def test_few_routers_keep_an_origin_limit_of_one() -> None:
    """With three routers, a third of the origin's capacity is lost whenever one of them pauses."""
    d = Driver(settings(**CACHE_ASIDE, router_count=3))
    d.update_endpoints(*fleet("a", "o"))
    for n in range(20):
        end_with_misses(d, f"r{n}", key=f"k{n}")
        if d.servers_sent_to[f"r{n}"][-1] == "o":
            d.end_attempt(f"r{n}", AttemptStatus.BUSY)
        d.advance(1.0)
    assert d.router.servers["o"].concurrency_limit == 1.0
