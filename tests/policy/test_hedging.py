"""Overdue attempts are hedged or replaced while the fleet is not congested."""

from __future__ import annotations

import pytest

from ironrail.policy.actions import Action, CancelAttempt, SendAttempt
from ironrail.policy.events import AttemptStatus, TimerFired
from ironrail.policy.timers import HedgeDue
from tests.driver import Driver, settings
from tests.policy.fleets import CACHE_ASIDE, fleet


def sent(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]


def test_no_request_is_hedged_where_the_settings_forbid_it() -> None:
    d = Driver(settings(hedging_allowed=False))
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r")
    d.advance(1.9)
    in_flight = [i for i in range(len(d.servers_sent_to["r"])) if d.is_in_flight("r", i)]
    assert len(in_flight) <= 1


@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_an_overdue_attempt_is_hedged_or_replaced(hedging_allowed: bool) -> None:
    """A server that accepts work and does not answer must not hold a request to its deadline."""
    d = Driver(settings(hedging_allowed=hedging_allowed))
    d.update_endpoints(*fleet("a", "b"))
    first = d.receive("r", key="k")
    d.advance(0.51)
    if not hedging_allowed:
        assert d.last_actions == [CancelAttempt("r", 0)]
        d.end_attempt("r", AttemptStatus.CANCELLED, 0, latency=0.51)
    assert len(d.servers_sent_to["r"]) == 2 and d.servers_sent_to["r"][1] != first


@pytest.mark.parametrize("early", [0.0003, 0.01])
def test_an_attempt_cancelled_as_overdue_is_not_taken_for_a_broken_connection(early: float) -> None:
    """Its timer may fire early by rounding; the request must not go to the silent server again."""
    d = Driver(settings(**CACHE_ASIDE, hedging_allowed=False))
    d.update_endpoints(*fleet("a", "b", "o"))
    d.receive("r", key="k")
    d.advance(0.51)
    assert d.last_actions == [CancelAttempt("r", 0)]
    assert d.end_attempt("r", AttemptStatus.CANCELLED, 0, latency=0.5 - early) == "o"


def test_no_request_is_hedged_in_a_congested_fleet_nor_if_it_is_unsafe() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b"))
    d.receive("once", key="k", class_name="once")
    for n in range(60):
        d.receive(f"w{n}", key=f"k{n}")
        d.end_attempt(f"w{n}", AttemptStatus.OK, latency=0.6)
    d.receive("r", key="k")
    d.advance(0.7)
    assert len(d.servers_sent_to["once"]) == len(d.servers_sent_to["r"]) == 1


def test_a_hedged_request_with_idempotency_key_is_bounded_by_its_window() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b", "c"))
    d.receive("r", class_name="keyed", time_left=3.0)
    d.now += 0.5
    d.handle(TimerFired(HedgeDue("r", 0)))
    assert [s.send_within for s in sent(d.last_actions)] == [pytest.approx(1.0)]
