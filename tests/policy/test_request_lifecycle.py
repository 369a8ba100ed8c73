"""Each request gets one answer in time, and its state is removed afterwards."""

from __future__ import annotations

import pytest

from ironrail.policy import hash_ring
from ironrail.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
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
from tests.driver import Driver, Outcome, endpoint, settings
from tests.policy.fleets import CACHE_ASIDE, fleet


def test_queued_requests_are_answered_in_time_without_any_server() -> None:
    d = Driver(settings())
    d.receive("r")
    assert not d.servers_sent_to
    d.advance(3.0)
    assert d.outcomes["r"] == Outcome.REJECTED


def test_queued_requests_are_sent_when_a_server_is_listed() -> None:
    d = Driver(settings())
    d.receive("r")
    d.now += 0.2
    d.update_endpoints(*fleet("a"))
    assert d.servers_sent_to["r"] == ["a"]


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_request_without_time_left_is_rejected_at_once(time_left: float) -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    d.receive("r", time_left=time_left)
    assert d.outcomes["r"] == Outcome.REJECTED


@pytest.mark.parametrize("kind", ["read", "once"])
def test_a_queued_request_is_rejected_at_its_deadline_even_before_its_timer(kind: str) -> None:
    """The request's timer may fire in the same millisecond as the host's deadline, or after it."""
    d = Driver(settings(**CACHE_ASIDE, timer_resolution=0.001))
    d.update_endpoints(*fleet("a", "o"))
    for n in range(40):  # more than the origin's initial concurrency limit
        d.receive(f"r{n}", class_name=kind, is_write=True)
    waiting = [name for name in d.pending if not d.servers_sent_to.get(name)]
    assert waiting
    for name in waiting:
        d.handle(DeadlineReached(name))
        assert d.outcomes[name] == Outcome.REJECTED
    d.handle(DeadlineReached("nobody"))


def test_reads_queued_for_the_origin_are_answered_in_time() -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.update_endpoints(*fleet("a", "o"))
    for n in range(60):
        d.receive(f"r{n}", key=f"k{n}")
        d.end_attempt(f"r{n}", AttemptStatus.MISS)
    d.advance(3.0)
    assert len(d.outcomes) == 60


def test_nothing_overflows_after_days_of_service() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    d.now += 30 * 86400.0
    assert d.receive("r", finish=True) == "a"


def test_a_disconnected_client_ends_its_request_and_attempts() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b"))
    d.receive("r")
    d.finish_request("r", Outcome.DISCONNECTED)
    assert d.handle(ClientDisconnected("r")) == [CancelAttempt("r", 0)]
    assert d.end_attempt("r", AttemptStatus.CANCELLED) is None
    assert d.handle(ClientDisconnected("r")) == []


def test_events_of_unknown_requests_are_ignored() -> None:
    d = Driver(settings())
    for event in (
        AttemptEnded("x", 0, AttemptStatus.OK, True),
        ClientDisconnected("x"),
        TimerFired(HedgeDue("x", 0)),
        TimerFired(QueueWaitExpired("x")),
        TimerFired(OriginPauseEnded()),
        StreamingStarted("x", 0),
        EndpointListUpdate(EndpointListKind.DELTA, (endpoint("a", state=EndpointState.REMOVED),)),
        EndpointListUpdate(EndpointListKind.FULL, ()),
    ):
        assert [a for a in d.handle(event) if not isinstance(a, SetTimer)] == []
    assert d.router.handle(d.now, RequestReceived("r", "unheard-of", 1.0)) == [
        RejectRequest("r", d.conf.timer_resolution)
    ]


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[Action]]:
        d = Driver(settings(polls_endpoint_list=True), seed=7)
        said = [
            d.update_endpoints(*fleet("a", "b", "c"), kind=EndpointListKind.CACHED),
            d.update_endpoints(kind=EndpointListKind.FAILED),
        ]
        for n in range(30):
            d.receive(f"r{n}", key=f"k{n}")
            said.append(d.last_actions)
        return said

    assert run() == run()


def test_memory_stays_bounded_in_a_long_run() -> None:
    """Keys, servers and requests come and go; state is kept only for the current ones."""
    d = Driver(settings(**CACHE_ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            d.update_endpoints(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            d.update_endpoints()
        name = f"r{n}"
        if d.receive(name, key=f"k{n}") is not None:
            d.end_attempt(name, AttemptStatus.MISS if n % 3 else AttemptStatus.OK)
        if d.servers_sent_to.get(name, [""])[-1] == "o":
            d.succeed(name)
        d.advance(0.05)
    d.advance(5.0)
    r = d.router
    assert not r.pending_requests and not r.attempts_in_flight and r.attempts_in_flight.cache_count == 0
    assert len(r.servers) <= 5 and len(r.origin_queue) < 100
    assert len(r.ring.recent_keys) == hash_ring.NUM_RECENT_KEYS


def test_a_streaming_request_is_left_alone_by_its_queue_timer() -> None:
    d = Driver(settings())
    d.update_endpoints(*fleet("a", "b"))
    d.receive("r")
    d.handle(StreamingStarted("r", 0))
    d.handle(TimerFired(QueueWaitExpired("r")))
    assert "r" in d.pending and len(d.servers_sent_to["r"]) == 1


def test_no_other_attempt_is_awaited_or_sent_once_an_answer_is_streaming() -> None:
    d = Driver(settings(cache_aside=True, origin_kind="origin"))
    d.update_endpoints(*fleet("a", "b", "c"), endpoint("o", kind="origin"))
    d.receive("r")
    d.handle(TimerFired(HedgeDue("r", 0)))
    assert len(d.servers_sent_to["r"]) == 2
    assert CancelAttempt("r", 1) in d.handle(StreamingStarted("r", 0))
    d.handle(AttemptEnded("r", 1, AttemptStatus.MISS))
    assert len(d.servers_sent_to["r"]) == 2 and "r" in d.pending
    d.finish_request("r", Outcome.DISCONNECTED)
    d.handle(AttemptEnded("r", 0, AttemptStatus.RESET, True))
    assert not [a for a in d.last_actions if isinstance(a, (SendAttempt, RejectRequest, FailRequest))]
