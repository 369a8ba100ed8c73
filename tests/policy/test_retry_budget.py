"""The retry budget bounds retries and hedged requests."""

from __future__ import annotations

from ironrail.policy.events import AttemptStatus
from ironrail.policy.settings import RetryBudgetSettings
from tests.driver import Driver, Outcome, endpoint, settings
from tests.policy.fleets import CACHE_ASIDE, fleet


def test_retries_are_bounded_by_the_requests_received() -> None:
    """Retries of requests that overloaded servers reject must not add to the overload."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.receive(f"r{n}", key=f"k{n}")
        while f"r{n}" in d.servers_sent_to and d.is_in_flight(f"r{n}"):
            d.end_attempt(f"r{n}", AttemptStatus.BUSY)
        d.now += 0.01
    assert sum(map(len, d.servers_sent_to.values())) <= 200 * 1.2 + 11


def test_retries_keep_to_the_stated_budget() -> None:
    """At most two, plus a tenth of the requests, in any five seconds."""
    d = Driver(settings(retry_budget=RetryBudgetSettings(2, 0.1, 5.0)))
    d.update_endpoints(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.now += 0.05
        if d.receive(f"r{n}", key=f"k{n}") and d.end_attempt(f"r{n}", AttemptStatus.ERROR):
            d.succeed(f"r{n}")
    retried = sum(len(s) > 1 for s in d.servers_sent_to.values())
    assert 20 <= retried <= 2 * (2 + 10)  # ten seconds hold two windows


def test_a_fetch_after_a_miss_is_not_charged_to_the_budget() -> None:
    d = Driver(settings(**CACHE_ASIDE, retry_budget=RetryBudgetSettings(0, 0.0, 5.0)))
    d.update_endpoints(*fleet("a", "b", "o"))
    d.receive("r", key="k")
    assert d.end_attempt("r", AttemptStatus.MISS) == "o"
    d.end_attempt("r", AttemptStatus.BUSY)
    assert d.outcomes["r"] == Outcome.REJECTED


def test_requests_leave_the_retry_budget_after_its_window() -> None:
    """The record of request times must not grow while there are no retries."""
    d = Driver(settings())
    d.update_endpoints(endpoint("a"), endpoint("b"))
    for n in range(200):
        d.receive(f"r{n}", key=f"k{n}", finish=True)
        d.now += 1.0
    assert len(d.router.retry_budget._request_times) <= d.router.retry_budget.settings.window + 1
