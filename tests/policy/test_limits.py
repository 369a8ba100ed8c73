"""How much may be out at a server."""

from __future__ import annotations

import pytest
from ironrail.policy import concurrency_limit, hash_ring, state
from ironrail.policy.events import AttemptStatus

from tests.driver import Driver, entry, settings
from tests.policy.fleets import ASIDE, fleet, missed


def test_a_server_slow_under_our_load_gets_less_of_it() -> None:
    """Servers driven past what they bear answered late or not at all, and nothing held us back."""
    d = Driver(settings())
    d.list(entry("a"))
    for n in range(40):
        d.request(f"s{n}")
        d.now += 0.6
        d.end(f"s{n}", AttemptStatus.OK, latency=0.9)
    sent = [d.request(f"r{n}") for n in range(10)]
    assert sent.count("a") == 1 and sent.count(None) == 9
    assert [d.ended[f"r{n}"] for n in range(1, 10)] == ["refused"] * 9


def test_what_a_limit_at_the_origin_grows_by_at_first_is_shared_by_all_routers() -> None:
    """200 routers grew from 4 fetches each to 16 before one of them cut: it turned away 413 in a second."""
    limits = {}
    for routers in (1, 40, 200):
        d = Driver(settings(cache_aside=True, origin_kind="o", router_count=routers))
        d.list(*fleet("a"), entry("o", kind="o"))
        for n in range(12):
            d.request(f"r{n}", class_name="once", is_write=True)
        for n in range(8):
            if f"r{n}" in d.sends:
                d.ok(f"r{n}")
        limits[routers] = d.router.servers["o"].concurrency_limit
    assert limits == {1: 11.0, 40: pytest.approx(10.4), 200: 6.0}


def test_a_limit_starts_with_steps_that_a_restart_under_load_can_wait_for() -> None:
    """The limit at the origin took seconds from its start to what the load needs, and most were refused."""
    d = Driver(settings(cache_aside=True, origin_kind="o"))
    d.list(*fleet("a"), entry("o", kind="o"))
    for n in range(40):
        d.request(f"r{n}", class_name="once", is_write=True)
    for n in range(36):  # as many as it takes for all that wait to be out
        if f"r{n}" in d.sends:
            d.ok(f"r{n}")
    assert d.router.servers["o"].concurrency_limit >= 20.0
    d.router.servers["o"].limit_cut_at = d.now  # what one learns after a cut is learnt slowly
    before = d.router.servers["o"].concurrency_limit
    d.ok("r39")
    assert d.router.servers["o"].concurrency_limit - before < 0.2


def test_one_slow_answer_does_not_cut_a_limit() -> None:
    """A single heavy request cut the limit of a server that was well."""
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(20):
        d.request(f"r{n}", key="k")
        d.end(f"r{n}", AttemptStatus.OK, latency=0.9 if n == 10 else 0.05)
    assert d.router.servers["a"].concurrency_limit >= state.INITIAL_CONCURRENCY_LIMIT


def test_what_was_given_up_counts_as_out_until_a_later_answer_or_an_aim() -> None:
    """Servers go on with it: 200 routers kept old ones full of it, and next to nothing came."""
    d = Driver(settings(max_attempts=1, hedging_allowed=False, router_count=hash_ring.NUM_ROUTERS_PER_SUBSET))
    d.list(*fleet("a"))
    d.router.servers["a"].concurrency_limit = 3.0
    assert [d.request(f"r{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end("r0", AttemptStatus.TIMEOUT, latency=0.1)
    d.end("r1", AttemptStatus.CANCELLED, latency=0.1)
    assert d.request("early", key="k") is None  # one out, two given up
    d.end("r2", AttemptStatus.BUSY, latency=0.1)  # tells nothing of those before it
    d.router.servers["a"].concurrency_limit = 3.0
    assert d.request("r4", key="k") == "a" and d.request("more", key="k") is None
    d.ok("r4")  # sent after them
    assert [d.request(f"s{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end("s0", AttemptStatus.TIMEOUT, latency=0.1)
    assert d.request("at once", key="k") is None
    d.now += 1.1  # longer than its aim: whether the server still lives has to be learned
    assert d.request("later", key="k") == "a"


@pytest.mark.parametrize(
    ("status", "limit"),
    [
        (AttemptStatus.ERROR, 2 * concurrency_limit.MULTIPLICATIVE_DECREASE_FACTOR),
        (AttemptStatus.TIMEOUT, 1.0),
    ],
)
def test_where_routers_are_many_a_limit_is_cut_from_what_is_out(status: AttemptStatus, limit: float) -> None:
    """Limits of nine, grown while all was well, took eight cuts to bound the three that were out."""
    found = []
    for routers in (1, hash_ring.NUM_ROUTERS_PER_SUBSET):
        d = Driver(settings(max_attempts=1, hedging_allowed=False, router_count=routers))
        d.list(*fleet("a"))
        d.router.servers["a"].concurrency_limit = 9.0
        for n in range(3):
            d.request(f"r{n}", key="k")
        for n in range(2):
            d.end(f"r{n}", status, latency=0.9)
        found.append(d.router.servers["a"].concurrency_limit)
    assert found == [
        9.0 * concurrency_limit.MULTIPLICATIVE_DECREASE_FACTOR,
        limit,
    ]  # two out of which one has ended, or one left


def test_a_full_server_shows_what_it_bears() -> None:
    """Limits fell a quarter a round while small servers turned two attempts in three away."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].concurrency_limit = 9.0
    for n in range(6):
        d.request(f"r{n}", key="k")
    d.end("r5", AttemptStatus.BUSY)
    assert d.router.servers["a"].concurrency_limit == 5.0


def test_a_cut_that_shuts_out_caches_is_no_crowd_at_them() -> None:
    """Failed connects through a cut lowered limits, and a few routers did not get them up again in time."""
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(5):
        d.request(f"r{n}", key="k")
        if f"r{n}" in d.open:
            d.end(f"r{n}", AttemptStatus.CONNECT_FAILED)
        d.wait(1.0)
    assert d.router.servers["a"].concurrency_limit == state.INITIAL_CONCURRENCY_LIMIT


def test_an_origin_behind_a_cut_is_not_taken_for_one_that_refuses() -> None:
    """Connects that took long to fail lowered the limit, and fetches stayed few long after the cut."""
    d = Driver(settings(**ASIDE, router_count=10 * concurrency_limit.NUM_ROUTERS_PER_ORIGIN))
    d.list(*fleet("a", "o"))
    for n in range(20):
        missed(d, f"r{n}", key=f"k{n}")
        if d.sends[f"r{n}"][-1] == "o":
            d.end(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.25)
        d.wait(1.0)
    assert d.router.servers["o"].concurrency_limit >= 1.0


def test_few_routers_never_pause_at_the_origin() -> None:
    """Three routers lost a third of what the origin could do with each pause of one."""
    d = Driver(settings(**ASIDE, router_count=3))
    d.list(*fleet("a", "o"))
    for n in range(20):
        missed(d, f"r{n}", key=f"k{n}")
        if d.sends[f"r{n}"][-1] == "o":
            d.end(f"r{n}", AttemptStatus.BUSY)
        d.wait(1.0)
    assert d.router.servers["o"].concurrency_limit == 1.0
