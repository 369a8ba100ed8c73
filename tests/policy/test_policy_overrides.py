"""Overrides that operators set for all routers."""

from __future__ import annotations

from collections import Counter

import pytest

from ironrail.policy.events import AttemptStatus, PolicyOverridesChanged
from ironrail.policy.settings import RequestClass, RetryBudgetSettings
from tests.driver import Driver, Outcome, endpoint, settings

ENDPOINTS = [endpoint(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(3)]


def test_a_drained_zone_gets_no_attempts_until_the_override_ends() -> None:
    d = Driver(settings(max_attempts=3))
    d.update_endpoints(*ENDPOINTS)
    d.handle(PolicyOverridesChanged(drained_zones=frozenset("a")))
    sent = Counter(str(d.receive(f"r{n}", key=f"k{n}", finish=True))[0] for n in range(60))
    assert sent == {"b": 60}
    d.receive("again", key="k1")
    assert str(d.end_attempt("again", AttemptStatus.CONNECT_FAILED))[0] == "b"  # retries as well
    d.handle(PolicyOverridesChanged())
    sent = Counter(str(d.receive(f"s{n}", key=f"k{n}", finish=True))[0] for n in range(60))
    assert sent["a"] > 10


def test_requests_are_rejected_in_time_where_all_zones_are_drained() -> None:
    d = Driver(settings())
    d.update_endpoints(*ENDPOINTS)
    d.handle(PolicyOverridesChanged(drained_zones=frozenset("ab")))
    assert d.receive("r1") is None
    d.advance(2.0)
    assert d.outcomes["r1"] == Outcome.REJECTED


# rate, routers, and the maximum served: a burst of one second, and two seconds of the rate
RATES = [(20.0, 1, 60), (20.0, 4, 15), (1.0, 4, 1), (0.0, 1, 0)]


@pytest.mark.parametrize(("rate", "routers", "max_served"), RATES)
def test_a_tenant_rate_is_shared_by_all_routers_and_limits_no_other_tenant(
    rate: float, routers: int, max_served: int
) -> None:
    d = Driver(settings(router_count=routers))
    d.update_endpoints(*ENDPOINTS)
    d.handle(PolicyOverridesChanged(tenant_rates={"x": rate}))
    served: Counter[str] = Counter()
    for n in range(200):  # 50 a second of each for 2 s
        d.now += 0.01
        tenant = "xy"[n % 2]
        served[tenant] += d.receive(f"r{n}", key=f"k{n}", tenant=tenant, finish=False) is not None
        if f"r{n}" in d.pending:
            d.succeed(f"r{n}")
    assert max_served * 0.9 <= served["x"] <= max_served and served["y"] == 100
    assert all(outcome in (Outcome.SERVED, Outcome.REJECTED) for outcome in d.outcomes.values())  # at once


def overload(d: Driver, shed: dict[str, float]) -> dict[str, Counter[str]]:
    """Count requests of each class that are sent or shed, a third of the answers being in time."""
    d.update_endpoints(*ENDPOINTS)
    d.handle(PolicyOverridesChanged(shed_thresholds=shed))
    counts: dict[str, Counter[str]] = {"read": Counter(), "late": Counter()}
    for n in range(600):
        d.now += 0.01
        kind = "read" if n % 2 else "late"
        server = d.receive(f"r{n}", key=f"k{n}", class_name=kind)
        counts[kind]["shed" if server is None else "sent"] += n > 300
        if server is not None:
            d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.1 if n % 3 == 0 else 5.0)
    return counts


def test_classes_are_shed_by_their_thresholds() -> None:
    classes = {name: RequestClass(name, 0.8) for name in ("read", "late")}
    d = Driver(settings(classes=classes))
    counts = overload(d, {"late": 0.05, "read": 0.95})
    assert counts["read"]["shed"] == 0 < counts["late"]["shed"]
    assert counts["late"]["sent"] < 0.7 * counts["read"]["sent"]


def test_the_retry_ratio_of_a_class_limits_its_retries() -> None:
    counts = []
    for share in (1.0, 0.25, 0.0):
        d = Driver(settings(max_attempts=3, retry_budget=RetryBudgetSettings(0.0, 0.4, 10.0)))
        d.update_endpoints(*ENDPOINTS)
        d.handle(PolicyOverridesChanged(retry_ratios={"read": share}))
        for n in range(100):
            d.now += 0.01
            if d.receive(f"r{n}", key=f"k{n}") is not None and d.end_attempt(f"r{n}", AttemptStatus.RESET):
                d.succeed(f"r{n}")
        counts.append(sum(len(sent) - 1 for sent in d.servers_sent_to.values()))
    assert counts[0] > 2.5 * counts[1] > 0 == counts[2]
