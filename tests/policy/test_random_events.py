"""All rules hold under random valid sequences of events."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ironrail.policy.discovery_freshness import FAILED_UPDATES
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import AttemptStatus, ClientDisconnected, EndpointListUpdate
from ironrail.policy.router import Router
from ironrail.policy.settings import Idempotency, IdempotencyScope, RequestClass, RetryBudgetSettings
from ironrail.policy.state import PendingRequest
from tests.driver import Driver, Outcome, endpoint, settings
from tests.policy.fleets import CACHE_ASIDE, fleet


class RandomDriver(Driver):
    """Passes random valid events to a router; hypothesis chooses them."""

    def step(self, data: st.DataObject, n: int) -> None:
        moves = ["receive"] * 4 + ["end_attempt"] * 5 + ["advance"] * 2 + ["list", "disconnect"]
        move = data.draw(st.sampled_from(moves))
        in_flight = [attempt for attempt, status in self.statuses.items() if status is None]
        if move == "receive":
            names = sorted(self.conf.classes)
            self.receive(
                f"r{n}",
                class_name=data.draw(st.sampled_from(names)),
                time_left=data.draw(st.sampled_from([0.0, 0.01, 0.8, 2.0])),
                key=data.draw(st.sampled_from([None, "k1", "k2", "k3"])),
                is_write=data.draw(st.booleans()),
                work_hint=data.draw(st.sampled_from([None, 0.0, 0.2])),
            )
        elif move == "end_attempt" and in_flight:
            attempt = data.draw(st.sampled_from(in_flight))
            status = data.draw(st.sampled_from(list(AttemptStatus)))
            self.end_attempt(attempt.request_id, status, attempt.attempt_number)
        elif move == "advance":
            self.advance(data.draw(st.sampled_from([0.0, 0.05, 0.4, 1.0])))
        elif move == "list":
            self.random_list(data)
        elif move == "disconnect" and self.pending:
            name = data.draw(st.sampled_from(sorted(self.pending)))
            self.finish_request(name, Outcome.DISCONNECTED)
            self.handle(ClientDisconnected(name))

    def random_list(self, data: st.DataObject) -> None:
        kind = data.draw(st.sampled_from(list(EndpointListKind)))
        names = data.draw(st.lists(st.sampled_from("abcdo"), unique=True))
        states = st.sampled_from(
            [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED]
        )
        since = st.sampled_from([0.0, self.now])
        rows = [
            endpoint(
                n, state=data.draw(states), kind="origin" if n == "o" else "std", started_at=data.draw(since)
            )
            for n in names
        ]
        if kind in (*FAILED_UPDATES, EndpointListKind.RELOCATED):  # these contain no endpoints
            self.handle(EndpointListUpdate(kind))
        else:
            self.update_endpoints(*rows, kind=kind)


def request_classes(scope: IdempotencyScope) -> dict[str, RequestClass]:
    keyed = RequestClass(
        "keyed", 1.0, Idempotency.IDEMPOTENCY_KEY, scope, idempotency_window=0.5, priority_weight=5.0
    )
    once = RequestClass("once", 1.0, Idempotency.UNSAFE, priority_weight=5.0)
    late = RequestClass("late", 0.5)
    return {c.name: c for c in (RequestClass("read", 1.0), keyed, once, late)}


def drive(data: st.DataObject, router_class: type[Router] = Router) -> None:
    conf = settings(
        classes=request_classes(data.draw(st.sampled_from(list(IdempotencyScope)))),
        hedging_allowed=data.draw(st.booleans()),
        cancellation_allowed=data.draw(st.booleans()),
        max_attempts=data.draw(st.sampled_from([1, 3, 6])),
        polls_endpoint_list=data.draw(st.booleans()),
        retry_budget=data.draw(
            st.sampled_from([None, RetryBudgetSettings(2, 0.1, 0.9), RetryBudgetSettings(0, 0.5, 2.0)])
        ),
        **(CACHE_ASIDE if data.draw(st.booleans()) else {}),
    )
    d = RandomDriver(conf, router_class=router_class)
    d.update_endpoints(*fleet("a", "b", "c", "d", "o"), kind=EndpointListKind.CACHED)
    for n in range(data.draw(st.integers(5, 40))):
        d.step(data, n)
    d.advance(10.0)
    assert not d.pending, "rule 1: requests without an answer"
    assert not d.router.pending_requests, "requests are still pending"


CHECKS = hypothesis_settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


@CHECKS
@given(st.data())
def test_rules_hold_under_random_events(data: st.DataObject) -> None:
    drive(data)


class UnsafeRetrier(Router):
    """Broken on purpose: retries and rejects every request."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.retry_policy.may_send = lambda now, pending, server: True  # type: ignore[method-assign]
        self.retry_policy.may_reject = lambda pending: True  # type: ignore[method-assign]


class TimerForgetter(Router):
    """Broken on purpose: sets no timer for queued requests."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.requests._wait_for_origin = self._forget  # type: ignore[method-assign]

    def _forget(self, pending: PendingRequest) -> None:
        pending.is_queued = True


class BudgetIgnorer(Router):
    """Broken on purpose: ignores the retry budget."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.retry_budget.allows_attempt = lambda now, pending: True  # type: ignore[method-assign]


@pytest.mark.parametrize("broken", [UnsafeRetrier, TimerForgetter, BudgetIgnorer])
def test_the_property_test_catches_a_broken_router(broken: type[Router]) -> None:
    @CHECKS
    @given(st.data())
    def attempt(data: st.DataObject) -> None:
        drive(data, broken)

    with pytest.raises(AssertionError):
        attempt()
