"""Each request has one answer in time, and nothing is kept of it after."""

from __future__ import annotations

import pytest
from ironrail.policy import hash_ring
from ironrail.policy.actions import Action, CancelAttempt, RejectRequest, SetTimer
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    DeadlineReached,
    EndpointListUpdate,
    RequestReceived,
    StreamingStarted,
    TimerFired,
)
from ironrail.policy.timers import HedgeDue, OriginPauseEnded, QueueWaitExpired

from tests.driver import Driver, entry, settings
from tests.policy.fleets import CACHE_ASIDE, fleet


def test_held_requests_are_answered_in_time_without_any_server() -> None:
    d = Driver(settings())
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


def test_held_requests_go_out_when_a_server_is_listed() -> None:
    d = Driver(settings())
    d.request("r")
    d.now += 0.2
    d.list(*fleet("a"))
    assert d.sends["r"] == ["a"]


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_budget_of_nothing_is_refused_at_once(time_left: float) -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.request("r", time_left=time_left)
    assert d.ended["r"] == "refused"


@pytest.mark.parametrize("kind", ["read", "once"])
def test_what_waits_when_time_is_up_is_refused_at_once_whatever_its_own_timer_does(kind: str) -> None:
    """Its timer came due within the same millisecond as the host's, which failed it for want of an answer."""
    d = Driver(settings(**CACHE_ASIDE, timer_resolution=0.001))
    d.list(*fleet("a", "o"))
    for n in range(40):  # more than the origin is sent at first
        d.request(f"r{n}", class_name=kind, is_write=True)
    waiting = [name for name in d.open if not d.sends.get(name)]
    assert waiting
    for name in waiting:
        d.feed(DeadlineReached(name))
        assert d.ended[name] == "refused"
    d.feed(DeadlineReached("nobody"))


def test_reads_that_wait_for_the_origin_are_answered_in_time() -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    for n in range(60):
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", AttemptStatus.MISS)
    d.wait(3.0)
    assert len(d.ended) == 60


def test_days_of_service_overflow_nothing() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.now += 30 * 86400.0
    assert d.request("r", finish=True) == "a"


def test_client_gone_ends_everything_for_it() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.finish("r", "gone")
    assert d.feed(ClientDisconnected("r")) == [CancelAttempt("r", 0)]
    assert d.end("r", AttemptStatus.CANCELLED) is None
    assert d.feed(ClientDisconnected("r")) == []


def test_unknown_things_are_passed_over() -> None:
    d = Driver(settings())
    for event in (
        AttemptEnded("x", 0, AttemptStatus.OK, True),
        ClientDisconnected("x"),
        TimerFired(HedgeDue("x", 0)),
        TimerFired(QueueWaitExpired("x")),
        TimerFired(OriginPauseEnded()),
        StreamingStarted("x", 0),
        EndpointListUpdate(EndpointListKind.DELTA, (entry("a", state=EndpointState.REMOVED),)),
        EndpointListUpdate(EndpointListKind.FULL, ()),
    ):
        assert [a for a in d.feed(event) if not isinstance(a, SetTimer)] == []
    assert d.router.handle(d.now, RequestReceived("r", "unheard-of", 1.0)) == [
        RejectRequest("r", d.conf.timer_resolution)
    ]


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[Action]]:
        d = Driver(settings(polls_endpoint_list=True), seed=7)
        said = [
            d.list(*fleet("a", "b", "c"), kind=EndpointListKind.CACHED),
            d.list(kind=EndpointListKind.FAILED),
        ]
        for n in range(30):
            d.request(f"r{n}", key=f"k{n}")
            said.append(d.last)
        return said

    assert run() == run()


def test_a_long_run_holds_bounded_memory() -> None:
    """Many keys, servers and requests pass through; what is kept follows what is in hand."""
    d = Driver(settings(**CACHE_ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            d.list(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            d.list()
        name = f"r{n}"
        if d.request(name, key=f"k{n}") is not None:
            d.end(name, AttemptStatus.MISS if n % 3 else AttemptStatus.OK)
        if d.sends.get(name, [""])[-1] == "o":
            d.ok(name)
        d.wait(0.05)
    d.wait(5.0)
    r = d.router
    assert not r.pending_requests and not r.attempts_in_flight and r.attempts_in_flight.cache_count == 0
    assert len(r.servers) <= 5 and len(r.origin_queue) < 100
    assert len(r.ring.recent_keys) == hash_ring.NUM_RECENT_KEYS
