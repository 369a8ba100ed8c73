"""Which attempts a class and the budget permit: rule 2 and rule 5, each alone."""

from __future__ import annotations

import pytest
from ironrail.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    StreamingStarted,
    TimerFired,
)
from ironrail.policy.settings import Idempotency, IdempotencyScope, RequestClass, RetryBudgetSettings
from ironrail.policy.timers import HedgeDue, QueueWaitExpired

from tests.driver import Driver, entry, settings
from tests.policy.fleets import CACHE_ASIDE, fleet

MAY_HAVE_RUN = [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]
NEVER_RAN = [AttemptStatus.BUSY, AttemptStatus.CONNECT_FAILED, AttemptStatus.CANCELLED_BEFORE_SEND]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_is_never_resent_nor_refused_once_it_may_have_run(status: AttemptStatus) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", class_name="once", is_write=True)
    assert d.end("r", status) is None
    assert d.ended["r"] == "failed"


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_is_resent_when_proven_not_to_have_run(status: AttemptStatus) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    first = d.request("r", class_name="once", is_write=True)
    assert d.end("r", status) not in (None, first)


def test_keyed_is_resent_within_its_window_and_not_after() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", class_name="keyed", time_left=3.0)
    assert d.end("r", AttemptStatus.RESET) is not None
    late = Driver(settings())
    late.list(*fleet("a", "b", "c"))
    late.request("r", class_name="keyed", time_left=3.0)
    late.now += 1.6
    assert late.end("r", AttemptStatus.RESET) is None


@pytest.mark.parametrize("group", [IdempotencyScope.ZONE, IdempotencyScope.CELL])
def test_keyed_stays_within_its_group_and_is_then_failed(group: IdempotencyScope) -> None:
    kind = RequestClass("keyed", 2.0, Idempotency.IDEMPOTENCY_KEY, group, idempotency_window=1.5)
    for key in map(str, range(20)):
        d = Driver(settings(classes={"keyed": kind}))
        d.list(*fleet("a", "b", "c", "d"))
        first = d.request("r", class_name="keyed", time_left=3.0, key=key)
        second = d.end("r", AttemptStatus.RESET)
        assert second == first  # once more: it most likely still has the key
        third = d.end("r", AttemptStatus.TIMEOUT)
        assert {first, third} in ({"a", "c"}, {"b", "d"})
        assert d.end("r", AttemptStatus.TIMEOUT) is None
        assert d.ended["r"] == "failed"


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    d = Driver(settings(hedging_allowed=False))
    d.list(*fleet("a", "b", "c"))
    d.request("r")
    d.wait(1.9)
    outstanding = [i for i in range(len(d.sends["r"])) if d.state["r", i] is None]
    assert len(outstanding) <= 1


def test_a_stream_that_began_is_left_alone() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.feed(StreamingStarted("r", 0))
    d.feed(TimerFired(QueueWaitExpired("r")))
    assert "r" in d.open and len(d.sends["r"]) == 1


def test_once_a_long_answer_has_begun_no_other_attempt_is_waited_for_or_sent() -> None:
    d = Driver(settings(cache_aside=True, origin_kind="origin"))
    d.list(*fleet("a", "b", "c"), entry("o", kind="origin"))
    d.request("r")
    d.feed(TimerFired(HedgeDue("r", 0)))
    assert len(d.sends["r"]) == 2
    assert CancelAttempt("r", 1) in d.feed(StreamingStarted("r", 0))
    d.feed(AttemptEnded("r", 1, AttemptStatus.MISS))
    assert len(d.sends["r"]) == 2 and "r" in d.open
    d.finish("r", "gone")
    d.feed(AttemptEnded("r", 0, AttemptStatus.RESET, True))  # broken off: its client has seen that
    assert not [a for a in d.last if isinstance(a, (SendAttempt, RejectRequest, FailRequest))]


def test_retries_are_bounded_by_what_was_taken() -> None:
    """Full servers made every request into a dozen attempts and fed the overload."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.request(f"r{n}", key=f"k{n}")
        while f"r{n}" in d.sends and d.state[f"r{n}", len(d.sends[f"r{n}"]) - 1] is None:
            d.end(f"r{n}", AttemptStatus.BUSY)
        d.now += 0.01
    assert sum(map(len, d.sends.values())) <= 200 * 1.2 + 11


@pytest.mark.parametrize("copies", [True, False])
def test_an_overdue_attempt_is_overtaken(copies: bool) -> None:
    """A server that takes work and answers nothing took the request with it until the client gave up."""
    d = Driver(settings(hedging_allowed=copies))
    d.list(*fleet("a", "b"))
    first = d.request("r", key="k")
    d.wait(0.51)
    if not copies:
        assert d.last == [CancelAttempt("r", 0)]
        d.end("r", AttemptStatus.CANCELLED, 0, latency=0.51)
    assert len(d.sends["r"]) == 2 and d.sends["r"][1] != first


@pytest.mark.parametrize("early", [0.0003, 0.01])
def test_an_attempt_that_was_given_up_as_overdue_is_no_broken_connection(early: float) -> None:
    """Its timer may fire a fraction of a tick early: the silent server got the request a second time."""
    d = Driver(settings(**CACHE_ASIDE, hedging_allowed=False))
    d.list(*fleet("a", "b", "o"))
    d.request("r", key="k")
    d.wait(0.51)
    assert d.last == [CancelAttempt("r", 0)]
    assert d.end("r", AttemptStatus.CANCELLED, 0, latency=0.5 - early) == "o"


def test_nothing_is_overtaken_in_a_crowd_nor_what_must_not_run_twice() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("once", key="k", class_name="once")
    for n in range(60):
        d.request(f"w{n}", key=f"k{n}")
        d.end(f"w{n}", AttemptStatus.OK, latency=0.6)
    d.request("r", key="k")
    d.wait(0.7)
    assert len(d.sends["once"]) == len(d.sends["r"]) == 1


def test_further_attempts_keep_to_the_stated_budget() -> None:
    """Two saved up and a tenth of what was taken, in any five seconds; misses pay for their own fetch."""
    d = Driver(settings(retry_budget=RetryBudgetSettings(2, 0.1, 5.0)))
    d.list(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.now += 0.05
        if d.request(f"r{n}", key=f"k{n}") and d.end(f"r{n}", AttemptStatus.ERROR):
            d.ok(f"r{n}")
    retried = sum(len(s) > 1 for s in d.sends.values())
    assert 20 <= retried <= 2 * (2 + 10)  # ten seconds hold two spans


def test_a_miss_pays_for_its_fetch() -> None:
    d = Driver(settings(**CACHE_ASIDE, retry_budget=RetryBudgetSettings(0, 0.0, 5.0)))
    d.list(*fleet("a", "b", "o"))
    d.request("r", key="k")
    assert d.end("r", AttemptStatus.MISS) == "o"
    d.end("r", AttemptStatus.BUSY)
    assert d.ended["r"] == "refused"


def test_after_a_failure_at_a_cache_the_origin_is_next() -> None:
    """The next attempt went to a cache that mostly lacked the key, and took the budget and the time."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "b", "o"))
    d.request("r", key="k")
    assert d.end("r", AttemptStatus.TIMEOUT) == "o"


@pytest.mark.parametrize("status", [AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED])
def test_what_a_broken_connection_loses_goes_to_the_same_cache_again(status: AttemptStatus) -> None:
    """Each spoilt reply and reset went to the origin, which bears few, and its server was passed over."""
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "b", "o"))
    first = d.request("r", key="k")
    assert d.end("r", status) == first
    assert d.request("r2", key="k") == first
    assert d.end("r", AttemptStatus.MISS) == "o"
    assert d.end("r2", status, latency=0.9) == "o"  # after a long wait it is no connection's fault


def sent(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]


def test_a_further_attempt_of_a_keyed_request_is_told_what_is_left_of_the_window() -> None:
    """It may have to wait for a connection: the host is to know until when."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", class_name="keyed", time_left=3.0)
    assert [s.send_within for s in sent(d.last)] == [None]  # nothing has run yet
    d.now += 0.4
    d.end("r", AttemptStatus.RESET)
    assert [s.send_within for s in sent(d.last)] == [pytest.approx(1.1)]
    d.now += 0.5
    d.end("r", AttemptStatus.RESET)  # from the first that may have run, not from the last
    assert [s.send_within for s in sent(d.last)] == [pytest.approx(0.6)]


@pytest.mark.parametrize(("name", "first"), [("keyed", AttemptStatus.BUSY), ("read", AttemptStatus.RESET)])
def test_nothing_bounds_a_further_attempt_of_what_never_ran_or_is_safe(
    name: str, first: AttemptStatus
) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", class_name=name, time_left=3.0)
    d.end("r", first)
    assert [s.send_within for s in sent(d.last)] == [None]


def test_a_second_copy_of_a_keyed_request_is_bounded_too() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", class_name="keyed", time_left=3.0)
    d.now += 0.5
    d.feed(TimerFired(HedgeDue("r", 0)))
    assert [s.send_within for s in sent(d.last)] == [pytest.approx(1.0)]


def test_what_was_taken_back_unsent_gives_its_place_back_and_tells_nothing_of_its_server() -> None:
    d = Driver(settings(cancellation_allowed=False))
    d.list(*fleet("a"))
    d.request("r")
    server = d.router.servers["a"]
    known = (
        server.mean_latency,
        server.slowness,
        server.concurrency_limit,
        server.consecutive_losses,
        server.ejected_until,
    )
    d.now += 0.9  # overdue: any other end would speak against the server
    d.finish("r", "gone")
    d.feed(AttemptEnded("r", 0, AttemptStatus.NOT_SENT, True, 0.9))
    d.feed(ClientDisconnected("r"))
    assert (
        server.mean_latency,
        server.slowness,
        server.concurrency_limit,
        server.consecutive_losses,
        server.ejected_until,
    ) == known
    assert (server.in_flight, server.in_flight_work, d.router.attempts_in_flight.cache_count) == (0, 0.0, 0)
    assert not d.router.attempts_in_flight and not d.router.pending_requests
