"""Calls for the list by many routers at one service that has a place for few."""

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

from tests.driver import Driver, entry, settings


@dataclass
class Service:
    """Works through calls in turn, also those that it refused as they had waited too long."""

    rate: float  # calls a second
    patience: float  # seconds that a call waits
    free_at: float = 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """When the call ends, and whether with a list."""
        begins = max(now, self.free_at)
        self.free_at = begins + 1 / self.rate
        if begins - now > self.patience:
            return now + self.patience, False
        return self.free_at, True


@dataclass
class Fleet:
    """Routers that start together, each of which asks until it has the list."""

    routers: int
    service: Service
    grows: bool = True
    told: list[float] = field(default_factory=list)
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
        askings = [DiscoveryFreshness(conf) for _ in range(self.routers)]
        due = [(asking.initial_delay(draws), n) for n, asking in enumerate(askings)]
        heapq.heapify(due)
        while due and due[0][0] < until:
            at, n = heapq.heappop(due)
            self.calls += 1
            ends, listed = self.service.call(at)
            if listed:
                self.told.append(ends)
                continue
            if not self.grows:
                askings[n].failures = -1  # the spread stays as it was
            heapq.heappush(due, (ends + askings[n].on_failure(ends, EndpointListKind.FAILED, draws), n))


@pytest.mark.parametrize("seed", range(5))
def test_forty_routers_all_get_the_list_from_a_service_with_places_for_few(seed: int) -> None:
    """Measured on a fleet at size: 2.6 calls a second, each refused after 2 s in the queue."""
    fleet = Fleet(40, Service(2.6, 2.0))
    fleet.run(seed, 90.0)
    assert len(fleet.told) == 40
    assert sum(at < 30 for at in fleet.told) >= 28
    assert fleet.calls < 3 * 40


@pytest.mark.parametrize("seed", range(5))
def test_with_pauses_that_do_not_grow_most_of_them_never_get_it(seed: int) -> None:
    fleet = Fleet(40, Service(2.6, 2.0), grows=False)
    fleet.run(seed, 90.0)
    assert len(fleet.told) < 20 and fleet.calls > 6 * 40


KINDS = (EndpointListKind.FAILED, EndpointListKind.MALFORMED, EndpointListKind.WATCH_TIMED_OUT)


@given(
    st.integers(1, 2000),
    st.floats(0.1, 600),
    st.floats(0.01, 10),
    st.floats(0.1, 600),
    st.integers(0, 2**32),
    st.lists(st.sampled_from(KINDS), max_size=60),
)
def test_a_call_always_comes_in_time(
    routers: int, ramp: float, window: float, must_ask: float, seed: int, ways: list[EndpointListKind]
) -> None:
    conf = settings(
        polls_endpoint_list=True,
        router_count=routers,
        slow_start_duration=ramp,
        overload_window=window,
        poll_interval=must_ask,
    )
    asking, draws = DiscoveryFreshness(conf), random.Random(seed)
    assert 0 <= asking.initial_delay(draws) <= POLL_INTERVAL_FRACTION * must_ask
    at_once = 0
    for n, how in enumerate(ways):
        at_once = NUM_IMMEDIATE_POLLS if how is EndpointListKind.WATCH_TIMED_OUT else at_once
        pause = asking.on_failure(1.0, how, draws)
        assert (pause == 0) is (at_once > 0)
        at_once -= 1
        assert pause <= POLL_INTERVAL_FRACTION * FAILED_POLL_INTERVAL_FACTOR * must_ask
        assert EndpointListKind.MALFORMED not in ways[: n + 1] or pause <= max(ramp, window)
    asking.on_update()
    assert asking.failures == 0 and asking.require_success_since(100.0) == -math.inf


def test_after_a_spoilt_answer_calls_wait_for_no_others_until_there_is_a_list() -> None:
    """Refused calls included: one that was refused put off the next by half a minute."""
    conf = settings(
        polls_endpoint_list=True,
        router_count=40,
        slow_start_duration=8.9,
        overload_window=1.0,
        poll_interval=10.0,
    )
    draws = random.Random(1)
    failed, spoilt, _ = KINDS
    for _ in range(100):
        asking = DiscoveryFreshness(conf)
        assert asking.on_failure(0.0, failed, draws) > 4.0
        asking.on_update()
        assert asking.on_failure(7.0, spoilt, draws) <= 0.5 and asking.on_failure(7.5, failed, draws) <= 1.0
        assert asking.require_success_since(11.9) == -math.inf and asking.require_success_since(12.0) == 7.0
        asking.on_failure(11.0, spoilt, draws)  # the first one counts
        assert asking.require_success_since(12.0) == 7.0
        asking.on_update()
        assert (
            asking.require_success_since(12.0) == -math.inf and asking.on_failure(12.0, failed, draws) > 4.0
        )


def test_after_a_silent_watch_two_calls_fit_in_before_what_it_missed_counts_as_told() -> None:
    """Half a second after the wait it is given up, 2 s after the wait all that it missed counts as told."""
    conf = settings(
        polls_endpoint_list=True,
        router_count=200,
        slow_start_duration=8.9,
        overload_window=1.0,
        poll_interval=30.0,
    )
    draws = random.Random(1)
    asking = DiscoveryFreshness(conf)
    assert asking.on_failure(20.5, EndpointListKind.WATCH_TIMED_OUT, draws) == 0.0
    assert asking.on_failure(21.2, EndpointListKind.FAILED, draws) == 0.0
    assert asking.require_success_since(20.9) == -math.inf and asking.require_success_since(21.0) == 20.5
    assert (
        asking.on_failure(21.5, EndpointListKind.FAILED, draws) > 4.0
    )  # it is a crowd: not a third one at once
    asking.on_update()
    assert asking.require_success_since(99.0) == -math.inf


@pytest.mark.parametrize("missed", [EndpointListKind.MALFORMED, EndpointListKind.WATCH_TIMED_OUT])
def test_once_news_that_was_missed_binds_only_servers_that_served_since_are_sent_to(
    missed: EndpointListKind,
) -> None:
    """Draining ones turn away what is new to them; the news that they drain never came."""
    d = Driver(settings(polls_endpoint_list=True, router_count=5, poll_interval=10.0, max_attempts=3))
    d.list(*(entry(name) for name in "abcdef"))
    d.list(kind=missed)
    sent: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}
    for n in range(600):
        d.now += 0.02
        late = n >= 260
        server = d.request(f"r{n}", key=f"k{n % 97}")
        while f"r{n}" in d.open and server is not None:
            sent[late][server] += 1
            drains = server in "ab"
            server = d.end(f"r{n}", AttemptStatus.BUSY if drains else AttemptStatus.OK, latency=0.005)
    assert sent[False]["a"] and sent[False]["b"]
    assert not sent[True]["a"] and not sent[True]["b"]
    assert all(sent[True][name] for name in "cdef")
    d.list(*(entry(name) for name in "abcdef"))
    again = {d.request(f"s{n}", key=f"k{n}") for n in range(60)}
    assert again & {"a", "b"}  # a list clears the doubt


def test_once_news_that_was_missed_binds_who_was_lost_since_is_not_sent_to_though_it_is_back() -> None:
    """A restart within the doubt: the list told that it is gone, and it serves before the list tells so."""
    d = Driver(settings(polls_endpoint_list=True, router_count=5, poll_interval=10.0, max_attempts=3))
    d.list(*(entry(name) for name in "abcdef"))
    d.list(kind=EndpointListKind.MALFORMED)
    began, sent = d.now, Counter[str]()
    for n in range(600):
        d.now += 0.02
        down = 2.0 <= d.now - began < 4.0  # less than the doubt takes to bind
        server = d.request(f"r{n}", key=f"k{n % 97}")
        while f"r{n}" in d.open and server is not None:
            sent[server] += d.now - began >= MAX_STALENESS_SECONDS
            lost = server == "a" and down
            server = d.end(f"r{n}", AttemptStatus.CONNECT_FAILED if lost else AttemptStatus.OK, latency=0.001)
    assert not sent["a"] and all(sent[name] for name in "bcdef")
    d.list(*(entry(name) for name in "abcdef"))
    d.now += 10.0
    assert "a" in {d.request(f"s{n}", key=f"k{n}") for n in range(60)}


def test_where_no_rule_says_when_to_ask_pauses_are_bounded_all_the_same() -> None:
    """Of a thousand routers none waits for minutes, however often it failed."""
    asking, draws = (
        DiscoveryFreshness(settings(polls_endpoint_list=True, router_count=1000, slow_start_duration=5.0)),
        random.Random(1),
    )
    assert asking.initial_delay(draws) <= 5.0
    assert all(asking.on_failure(0.0, EndpointListKind.FAILED, draws) <= 4 * 5.0 for _ in range(1200))


def test_a_push_needs_no_spread() -> None:
    conf = Settings(settings().classes, router_count=40)
    assert (
        DiscoveryFreshness(conf).poll_spread
        == 0.0
        == DiscoveryFreshness(conf).initial_delay(random.Random(1))
    )


def test_routers_that_are_told_of_another_place_at_once_do_not_ask_there_at_once() -> None:
    """SIGHUP reaches a whole fleet within a second: 14 of 14 routers called within one."""
    pauses = []
    for index in range(40):
        d = Driver(
            settings(polls_endpoint_list=True, router_count=40, router_index=index, poll_interval=10.0),
            seed=index,
        )
        d.list(entry("a"))
        before = dict(d.router.servers)
        actions = d.feed(EndpointListUpdate(EndpointListKind.RELOCATED))
        assert d.router.servers == before
        pauses += [a.delay for a in actions if isinstance(a, SetTimer) and a.timer == EndpointListPollDue()]
    assert len(pauses) == 40
    assert max(sum(at <= pause < at + 1 for pause in pauses) for at in pauses) <= 13
    assert max(pauses) <= POLL_INTERVAL_FRACTION * 10.0


def test_few_routers_ask_at_once_where_the_list_is_told_now() -> None:
    d = Driver(settings(polls_endpoint_list=True, router_count=3))
    assert FetchEndpointList() in d.feed(EndpointListUpdate(EndpointListKind.RELOCATED))
