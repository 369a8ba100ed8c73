"""Polls for the endpoint list by many routers, at one service that handles few calls."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.policy.actions import FetchEndpointList, SetTimer
from ironrail.policy.discovery_freshness import (
    FAILED_POLL_INTERVAL_FACTOR,
    MAX_STALENESS_SECONDS,
    NUM_IMMEDIATE_POLLS,
    POLL_INTERVAL_FRACTION,
    DiscoveryFreshness,
)
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import AttemptStatus, EndpointListUpdate
from ironrail.policy.settings import Settings
from ironrail.policy.timers import EndpointListPollDue
from tests.driver import Driver, endpoint, settings


@dataclass
class Service:
    """Handles calls in order, also those that it has refused because they waited too long."""

    rate: float  # calls a second
    max_wait: float  # seconds that a call waits before it is refused
    free_at: float = 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """Return when the call ends, and whether it returns a list."""
        begins = max(now, self.free_at)
        self.free_at = begins + 1 / self.rate
        if begins - now > self.max_wait:
            return now + self.max_wait, False
        return self.free_at, True


@dataclass
class Fleet:
    """Routers that start at the same time, each of which polls until it has the list."""

    routers: int
    service: Service
    backoff_grows: bool = True
    listed_at: list[float] = field(default_factory=list)
    calls: int = 0

    def run(self, seed: int, until: float) -> None:
        conf = settings(
            polls_endpoint_list=True,
            router_count=self.routers,
            slow_start_duration=8.9,
            overload_window=1.0,
            poll_interval=10.0,
        )
        draws = random.Random(seed)
        schedules = [DiscoveryFreshness(conf) for _ in range(self.routers)]
        due = [(freshness.initial_delay(draws), n) for n, freshness in enumerate(schedules)]
        heapq.heapify(due)
        while due and due[0][0] < until:
            at, n = heapq.heappop(due)
            self.calls += 1
            ends, listed = self.service.call(at)
            if listed:
                self.listed_at.append(ends)
                continue
            if not self.backoff_grows:
                schedules[n].failures = -1  # the backoff does not grow
            heapq.heappush(due, (ends + schedules[n].on_failure(ends, EndpointListKind.FAILED, draws), n))


@pytest.mark.parametrize("seed", range(5))
def test_forty_routers_all_get_the_list_from_a_service_that_serves_few_calls(seed: int) -> None:
    """The service serves 2.6 calls a second, and refuses each after 2 s in its queue."""
    fleet = Fleet(40, Service(2.6, 2.0))
    fleet.run(seed, 90.0)
    assert len(fleet.listed_at) == 40
    assert sum(at < 30 for at in fleet.listed_at) >= 28
    assert fleet.calls < 3 * 40


@pytest.mark.parametrize("seed", range(5))
def test_without_growing_backoff_most_routers_never_get_the_list(seed: int) -> None:
    fleet = Fleet(40, Service(2.6, 2.0), backoff_grows=False)
    fleet.run(seed, 90.0)
    assert len(fleet.listed_at) < 20 and fleet.calls > 6 * 40


KINDS = (EndpointListKind.FAILED, EndpointListKind.MALFORMED, EndpointListKind.WATCH_TIMED_OUT)


def check_delays(
    routers: int,
    slow_start: float,
    overload_window: float,
    poll_interval: float,
    seed: int,
    kinds: list[EndpointListKind],
) -> None:
    conf = settings(
        polls_endpoint_list=True,
        router_count=routers,
        slow_start_duration=slow_start,
        overload_window=overload_window,
        poll_interval=poll_interval,
    )
    freshness, draws = DiscoveryFreshness(conf), random.Random(seed)
    assert 0 <= freshness.initial_delay(draws) <= POLL_INTERVAL_FRACTION * poll_interval
    immediate_polls = 0
    for n, kind in enumerate(kinds):
        immediate_polls = NUM_IMMEDIATE_POLLS if kind is EndpointListKind.WATCH_TIMED_OUT else immediate_polls
        delay = freshness.on_failure(1.0, kind, draws)
        assert (delay == 0) is (immediate_polls > 0)
        immediate_polls -= 1
        assert delay <= POLL_INTERVAL_FRACTION * FAILED_POLL_INTERVAL_FACTOR * poll_interval
        assert EndpointListKind.MALFORMED not in kinds[: n + 1] or delay <= max(slow_start, overload_window)
    freshness.on_update()
    assert freshness.failures == 0 and freshness.require_success_since(100.0) == -math.inf


@given(
    st.integers(1, 2000),
    st.floats(0.1, 600),
    st.floats(0.01, 10),
    st.floats(0.1, 600),
    st.integers(0, 2**32),
    st.lists(st.sampled_from(KINDS), max_size=60),
)
def test_the_next_poll_always_comes_in_time(
    routers: int,
    slow_start: float,
    overload_window: float,
    poll_interval: float,
    seed: int,
    kinds: list[EndpointListKind],
) -> None:
    check_delays(routers, slow_start, overload_window, poll_interval, seed, kinds)


def test_a_pause_after_a_malformed_list_is_no_longer_than_a_short_slow_start() -> None:
    """Guards against a pause that is longer than the slow start; found by the test above."""
    failures = [EndpointListKind.FAILED, EndpointListKind.FAILED, EndpointListKind.MALFORMED]
    check_delays(routers=1, slow_start=0.25, overload_window=0.25, poll_interval=1.0, seed=0, kinds=failures)


def test_after_a_malformed_answer_polls_are_not_spread_until_there_is_a_list() -> None:
    """Also after refused calls, one of which delayed the next poll by half a minute."""
    conf = settings(
        polls_endpoint_list=True,
        router_count=40,
        slow_start_duration=8.9,
        overload_window=1.0,
        poll_interval=10.0,
    )
    draws = random.Random(1)
    failed, malformed, _ = KINDS
    for _ in range(100):
        freshness = DiscoveryFreshness(conf)
        assert freshness.on_failure(0.0, failed, draws) > 4.0
        freshness.on_update()
        assert (
            freshness.on_failure(7.0, malformed, draws) <= 0.5
            and freshness.on_failure(7.5, failed, draws) <= 1.0
        )
        assert (
            freshness.require_success_since(11.9) == -math.inf
            and freshness.require_success_since(12.0) == 7.0
        )
        freshness.on_failure(11.0, malformed, draws)  # the earlier failure counts
        assert freshness.require_success_since(12.0) == 7.0
        freshness.on_update()
        assert (
            freshness.require_success_since(12.0) == -math.inf
            and freshness.on_failure(12.0, failed, draws) > 4.0
        )


def test_after_a_watch_timeout_two_polls_are_immediate() -> None:
    """The watch times out 0.5 s after its wait; changes that it missed count 2 s after the wait."""
    conf = settings(
        polls_endpoint_list=True,
        router_count=200,
        slow_start_duration=8.9,
        overload_window=1.0,
        poll_interval=30.0,
    )
    draws = random.Random(1)
    freshness = DiscoveryFreshness(conf)
    assert freshness.on_failure(20.5, EndpointListKind.WATCH_TIMED_OUT, draws) == 0.0
    assert freshness.on_failure(21.2, EndpointListKind.FAILED, draws) == 0.0
    assert (
        freshness.require_success_since(20.9) == -math.inf and freshness.require_success_since(21.0) == 20.5
    )
    assert (
        freshness.on_failure(21.5, EndpointListKind.FAILED, draws) > 4.0
    )  # the service may be overloaded, so the third poll backs off
    freshness.on_update()
    assert freshness.require_success_since(99.0) == -math.inf


@pytest.mark.parametrize("missed", [EndpointListKind.MALFORMED, EndpointListKind.WATCH_TIMED_OUT])
def test_with_a_stale_list_only_servers_with_recent_successes_are_used(missed: EndpointListKind) -> None:
    """Draining servers reject new requests, and the update about them was missed."""
    d = Driver(settings(polls_endpoint_list=True, router_count=5, poll_interval=10.0, max_attempts=3))
    d.update_endpoints(*(endpoint(name) for name in "abcdef"))
    d.update_endpoints(kind=missed)
    sent: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}
    for n in range(600):
        d.now += 0.02
        is_stale = n >= 260
        server = d.receive(f"r{n}", key=f"k{n % 97}")
        while f"r{n}" in d.pending and server is not None:
            sent[is_stale][server] += 1
            is_draining = server in "ab"
            server = d.end_attempt(
                f"r{n}", AttemptStatus.BUSY if is_draining else AttemptStatus.OK, latency=0.005
            )
    assert sent[False]["a"] and sent[False]["b"]
    assert not sent[True]["a"] and not sent[True]["b"]
    assert all(sent[True][name] for name in "cdef")
    d.update_endpoints(*(endpoint(name) for name in "abcdef"))
    again = {d.receive(f"s{n}", key=f"k{n}") for n in range(60)}
    assert again & {"a", "b"}  # a new list ends the staleness


def test_with_a_stale_list_a_server_that_refused_a_connect_is_not_used_again() -> None:
    """The server may have been removed from the list, even if it answers after a restart."""
    d = Driver(settings(polls_endpoint_list=True, router_count=5, poll_interval=10.0, max_attempts=3))
    d.update_endpoints(*(endpoint(name) for name in "abcdef"))
    d.update_endpoints(kind=EndpointListKind.MALFORMED)
    began, sent = d.now, Counter[str]()
    for n in range(600):
        d.now += 0.02
        is_down = 2.0 <= d.now - began < 4.0  # before the list counts as stale
        server = d.receive(f"r{n}", key=f"k{n % 97}")
        while f"r{n}" in d.pending and server is not None:
            sent[server] += d.now - began >= MAX_STALENESS_SECONDS
            is_refused = server == "a" and is_down
            server = d.end_attempt(
                f"r{n}", AttemptStatus.CONNECT_FAILED if is_refused else AttemptStatus.OK, latency=0.001
            )
    assert not sent["a"] and all(sent[name] for name in "bcdef")
    d.update_endpoints(*(endpoint(name) for name in "abcdef"))
    d.now += 10.0
    assert "a" in {d.receive(f"s{n}", key=f"k{n}") for n in range(60)}


def test_the_backoff_is_bounded_without_a_poll_interval() -> None:
    """With a thousand routers the backoff stays bounded after any number of failures."""
    freshness, draws = (
        DiscoveryFreshness(settings(polls_endpoint_list=True, router_count=1000, slow_start_duration=5.0)),
        random.Random(1),
    )
    assert freshness.initial_delay(draws) <= 5.0
    assert all(freshness.on_failure(0.0, EndpointListKind.FAILED, draws) <= 4 * 5.0 for _ in range(1200))


def test_there_is_no_poll_spread_where_the_list_is_pushed() -> None:
    conf = Settings(settings().classes, router_count=40)
    assert (
        DiscoveryFreshness(conf).poll_spread
        == 0.0
        == DiscoveryFreshness(conf).initial_delay(random.Random(1))
    )


def test_polls_are_spread_after_the_list_is_relocated() -> None:
    """SIGHUP relocates the list for the whole fleet within a second."""
    delays = []
    for index in range(40):
        d = Driver(
            settings(polls_endpoint_list=True, router_count=40, router_index=index, poll_interval=10.0),
            seed=index,
        )
        d.update_endpoints(endpoint("a"))
        before = dict(d.router.servers)
        actions = d.handle(EndpointListUpdate(EndpointListKind.RELOCATED))
        assert d.router.servers == before
        delays += [a.delay for a in actions if isinstance(a, SetTimer) and a.timer == EndpointListPollDue()]
    assert len(delays) == 40
    assert max(sum(at <= delay < at + 1 for delay in delays) for at in delays) <= 13
    assert max(delays) <= POLL_INTERVAL_FRACTION * 10.0


def test_few_routers_poll_at_once_after_the_list_is_relocated() -> None:
    d = Driver(settings(polls_endpoint_list=True, router_count=3))
    assert FetchEndpointList() in d.handle(EndpointListUpdate(EndpointListKind.RELOCATED))
