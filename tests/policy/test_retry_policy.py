"""The attempts and the rejections that the idempotency of a request class permits."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ironrail.policy.actions import Action, SendAttempt
from ironrail.policy.events import AttemptStatus
from ironrail.policy.settings import Idempotency, IdempotencyScope, RequestClass
from tests.driver import Driver, Outcome, settings
from tests.policy.fleets import CACHE_ASIDE, fleet

MAY_HAVE_RUN = [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]
NEVER_RAN = [AttemptStatus.BUSY, AttemptStatus.CONNECT_FAILED, AttemptStatus.CANCELLED_BEFORE_SEND]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_neither_resent_nor_rejected(status: AttemptStatus) -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r", class_name="once", is_write=True)
    assert d.end_attempt("r", status) is None
    assert d.outcomes["r"] == Outcome.FAILED


@pytest.mark.parametrize("status", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_is_resent(status: AttemptStatus) -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    first = d.receive("r", class_name="once", is_write=True)
    assert d.end_attempt("r", status) not in (None, first)


def test_a_request_with_idempotency_key_is_resent_within_its_window_only() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r", class_name="keyed", time_left=3.0)
    assert d.end_attempt("r", AttemptStatus.RESET) is not None
    late = Driver(settings())
    late.update_endpoints(*fleet("a", "b", "c"))
    late.receive("r", class_name="keyed", time_left=3.0)
    late.now += 1.6
    assert late.end_attempt("r", AttemptStatus.RESET) is None


@pytest.mark.parametrize("group", [IdempotencyScope.ZONE, IdempotencyScope.CELL])
def test_a_request_with_idempotency_key_stays_within_its_scope_and_is_then_failed(
    group: IdempotencyScope,
) -> None:
    kind = RequestClass("keyed", 2.0, Idempotency.IDEMPOTENCY_KEY, group, idempotency_window=1.5)
    for key in map(str, range(20)):
        d = Driver(settings(classes={"keyed": kind}))
        d.update_endpoints(*fleet("a", "b", "c", "d"))
        first = d.receive("r", class_name="keyed", time_left=3.0, key=key)
        second = d.end_attempt("r", AttemptStatus.RESET)
        assert second == first  # it most likely still has the key
        third = d.end_attempt("r", AttemptStatus.TIMEOUT)
        assert {first, third} in ({"a", "c"}, {"b", "d"})
        assert d.end_attempt("r", AttemptStatus.TIMEOUT) is None
        assert d.outcomes["r"] == Outcome.FAILED


def test_the_origin_is_next_after_a_failure_at_a_cache() -> None:
    """The other caches most likely lack the key; trying them costs time and retry budget."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "b", "o"))
    d.receive("r", key="k")
    assert d.end_attempt("r", AttemptStatus.TIMEOUT) == "o"


@pytest.mark.parametrize("status", [AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED])
def test_a_request_lost_with_its_connection_is_retried_at_the_same_cache(status: AttemptStatus) -> None:
    """The cache is likely healthy and has the key, and the origin can serve few fetches."""
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "b", "o"))
    first = d.receive("r", key="k")
    assert d.end_attempt("r", status) == first
    assert d.receive("r2", key="k") == first
    assert d.end_attempt("r", AttemptStatus.MISS) == "o"
    assert d.end_attempt("r2", status, latency=0.9) == "o"  # overdue: the server is at fault


def sent(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]


def test_a_retry_with_idempotency_key_is_bounded_by_the_rest_of_its_window() -> None:
    """The host may have to wait for a connection, so it needs the time until which it may send."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r", class_name="keyed", time_left=3.0)
    assert [s.send_within for s in sent(d.last_actions)] == [None]  # nothing has run yet
    d.now += 0.4
    d.end_attempt("r", AttemptStatus.RESET)
    assert [s.send_within for s in sent(d.last_actions)] == [pytest.approx(1.1)]
    d.now += 0.5
    d.end_attempt("r", AttemptStatus.RESET)  # counted from the first attempt that may have run, not the last
    assert [s.send_within for s in sent(d.last_actions)] == [pytest.approx(0.6)]


@pytest.mark.parametrize(("name", "first"), [("keyed", AttemptStatus.BUSY), ("read", AttemptStatus.RESET)])
def test_a_retry_of_a_request_that_never_ran_or_is_safe_has_no_bound(name: str, first: AttemptStatus) -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r", class_name=name, time_left=3.0)
    d.end_attempt("r", first)
    assert [s.send_within for s in sent(d.last_actions)] == [None]


# A keyed request ran twice: a restarted server was taken for the process that had seen its key.
def test_a_keyed_request_is_not_repeated_at_a_process_that_started_after_its_first_attempt() -> None:
    kind = RequestClass("keyed", 2.0, Idempotency.IDEMPOTENCY_KEY, idempotency_window=1.5)
    d = Driver(settings(classes={"keyed": kind}))
    (only,) = fleet("a")
    d.update_endpoints(only)
    assert d.receive("r", class_name="keyed", time_left=3.0) == "a"
    d.now += 0.2
    d.update_endpoints(replace(only, started_at=d.now - 0.1))
    assert d.end_attempt("r", AttemptStatus.RESET) is None
    d.receive("s", class_name="keyed", time_left=3.0)
    d.now += 0.2
    assert d.end_attempt("s", AttemptStatus.RESET) == "a"  # nothing has started since
