"""A change counts as known 6 s after discovery had it: routers know it by then, or are cautious."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from ironrail.net.discovery import timeouts
from ironrail.policy.discovery_freshness import (
    MAX_BACKOFF_SECONDS,
    MAX_STALENESS_SECONDS,
    NUM_CONCURRENT_POLLERS,
    RELOCATION_STALENESS_SECONDS,
    DiscoveryFreshness,
)
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import AttemptStatus, EndpointListUpdate
from tests.driver import Driver, Outcome, endpoint, settings
from tests.policy.test_discovery_freshness import Service

GRACE = 1.0  # seconds in which sends to a server must cease once its drain counts as told
HELD_UP = 0.15  # seconds for which a router may be held up at any moment
TOLD = 6.0  # seconds after which news counts as told
REFUSES = 2.0  # seconds for which the service lets a call wait
SERVED = 0.95  # of requests, with one server in three draining and no list


def test_two_polls_fit_into_the_staleness_limit() -> None:
    """One that was out and lost when discovery could be reached again, a pause, and one that is answered."""
    answered = NUM_CONCURRENT_POLLERS / 2.6  # behind all others, at the pace that was measured
    assert timeouts.SERVICE_FIRST_BYTE_TIMEOUT_SECONDS + MAX_BACKOFF_SECONDS + min(answered, 1.5) <= TOLD
    assert timeouts.SERVICE_CONNECT_TIMEOUT_SECONDS <= timeouts.SERVICE_FIRST_BYTE_TIMEOUT_SECONDS
    assert MAX_STALENESS_SECONDS <= TOLD - 1.0 and RELOCATION_STALENESS_SECONDS <= 4.0 - 1.0


def test_two_calls_to_an_agent_fit_into_the_grace_period() -> None:
    """What an agent has counts as told at once: within the grace of a drain, less a hold-up."""
    silent = timeouts.AGENT_WATCH_WAIT_SECONDS + timeouts.AGENT_WATCH_GRACE_SECONDS
    lost = timeouts.AGENT_CALL_INTERVAL_SECONDS  # a call that hangs, is spoilt or finds no connection
    assert silent + lost <= GRACE - HELD_UP
    assert 3 * lost <= GRACE - HELD_UP


@dataclass
class Outage:
    """Routers whose watches all end as discovery goes down; while it is down calls are refused, or hang."""

    routers: int
    rate: float
    hangs: bool
    seed: int
    lasts: float = 8.0
    told: dict[int, float] = field(default_factory=dict)
    calls: list[float] = field(default_factory=list)
    doubts: list[tuple[float, float, int]] = field(default_factory=list)  # when, proof from, whose

    def run(self, until: float, first: EndpointListKind = EndpointListKind.FAILED) -> None:
        conf = settings(
            polls_endpoint_list=True,
            router_count=self.routers,
            slow_start_duration=8.9,
            overload_window=1.0,
            poll_interval=10.0,
        )
        draws, service = random.Random(self.seed), Service(self.rate, REFUSES)
        self.askings = [DiscoveryFreshness(conf) for _ in range(self.routers)]
        due = [(a.on_failure(0.0, first, draws, 0.0), n) for n, a in enumerate(self.askings)]
        heapq.heapify(due)
        while due and due[0][0] < until:
            at, n = heapq.heappop(due)
            self.calls.append(at)
            ends, listed = at + (timeouts.SERVICE_FIRST_BYTE_TIMEOUT_SECONDS if self.hangs else 0.002), False
            if at >= self.lasts:
                ends, listed = service.call(at)
            for look in (at, ends - 1e-6):
                self.doubts.append((look, self.askings[n].require_success_since(look), n))
            if listed:
                self.told[n] = ends
                self.askings[n].on_update()
            else:
                again = ends + self.askings[n].on_failure(ends, EndpointListKind.FAILED, draws, ends)
                heapq.heappush(due, (again, n))

    def unguarded(self, change: float) -> list[float]:
        """When a router might have sent to a server that served before it began to drain, too late.

        The guard only grows until there is a list: it is enough to look when the news counts as told.
        """
        counts = max(change, self.lasts) + TOLD
        late = [n for n in range(self.routers) if self.told.get(n, math.inf) > counts]
        looks = [(at, proof) for at, proof, n in self.doubts if n in late and at >= counts]
        looks += [(counts, self.askings[n].require_success_since(counts)) for n in late if n not in self.told]
        return [at for at, proof in looks if proof < change]

    def most_calls(self, after: float) -> int:
        """In any second."""
        return max(Counter(int(at) for at in self.calls if at >= after).values(), default=0)


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_few_routers_are_updated_in_time_by_their_polls_alone(seed: int, hangs: bool) -> None:
    for lasts in (0.5, 3.0, 8.0, 40.0):
        outage = Outage(3, 2.6, hangs, seed, lasts)
        outage.run(lasts + 30.0)
        assert len(outage.told) == 3 and max(outage.told.values()) <= lasts + TOLD
        assert outage.most_calls(0.0) <= 3 / (MAX_BACKOFF_SECONDS / 2)
        assert not outage.unguarded(0.1)


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("routers", "rate"), [(40, 2.6), (200, 2.6), (200, 20.0)])
def test_many_routers_are_updated_in_time_or_cautious_and_do_not_overload_the_service(
    routers: int, rate: float, seed: int, hangs: bool
) -> None:
    outage = Outage(routers, rate, hangs, seed)
    outage.run(90.0)
    for change in (0.1, 1.0, 4.0, 7.9, 9.0, 15.0, 30.0):
        assert not outage.unguarded(change)
    # as their pauses have it, of 14 to 28 s in the end, each asks once: never all together
    assert outage.most_calls(0.0) <= max(12, routers / 7)
    assert len(outage.calls) <= 7 * routers
    if rate / routers >= 0.06:
        assert len(outage.told) == routers


@pytest.mark.parametrize("routers", [40, 200])
def test_malformed_responses_are_retried_with_backoff(routers: int) -> None:
    outage = Outage(routers, 2.6, False, 1)
    outage.run(90.0, EndpointListKind.MALFORMED)
    assert len(outage.calls) <= 15 * routers
    assert outage.most_calls(60.0) <= routers / 4
    for change in (0.1, 9.0, 30.0):
        assert not outage.unguarded(change)


def test_a_failed_poll_has_no_deadline_where_the_poll_interval_decides() -> None:
    """In the simulator four times the interval passes, and pauses grow as long as a cold server's ramp."""
    asking, draws = (
        DiscoveryFreshness(settings(polls_endpoint_list=True, slow_start_duration=8.9, poll_interval=10.0)),
        random.Random(1),
    )
    pauses = [asking.on_failure(float(n), EndpointListKind.FAILED, draws) for n in range(20)]
    assert asking.require_success_since(1000.0) == -math.inf and max(pauses) > 4.0


def test_one_failed_poll_with_a_list_soon_after_has_no_effect() -> None:
    asking, draws = (
        DiscoveryFreshness(settings(polls_endpoint_list=True, router_count=200, poll_interval=10.0)),
        random.Random(1),
    )
    asking.on_failure(100.0, EndpointListKind.FAILED, draws, 0.0)
    assert asking.require_success_since(104.9) == -math.inf
    asking.on_update()
    assert asking.require_success_since(200.0) == -math.inf


def test_a_relocation_limits_staleness_to_four_seconds() -> None:
    d = Driver(settings(polls_endpoint_list=True, router_count=200, poll_interval=10.0))
    d.update_endpoints(*(endpoint(name) for name in "ab"))
    d.handle(EndpointListUpdate(EndpointListKind.RELOCATED))
    asking = d.router.discovery_freshness
    assert asking.require_success_since(d.now + 2.9) == -math.inf
    assert asking.require_success_since(d.now + 3.0) == d.now  # a second early
    assert asking.require_success_since(d.now + 20.0) == d.now + 20.0 - MAX_STALENESS_SECONDS


def test_a_failed_first_poll_limits_staleness_from_the_start() -> None:
    """What changed while it was put off counts as told by then."""
    asking = DiscoveryFreshness(settings(polls_endpoint_list=True, router_count=200, poll_interval=10.0))
    asking.on_failure(109.0, EndpointListKind.FAILED, random.Random(1), 9.0)
    assert asking.require_success_since(109.0) == 104.0


@pytest.mark.parametrize("rate", [2.0, 50.0])
def test_servers_that_drain_unnoticed_get_no_requests_and_others_go_on(rate: float) -> None:
    """A failed watch, drains 2 s later, no list for half a minute; also with little to send."""
    d = Driver(
        settings(
            polls_endpoint_list=True,
            router_count=200,
            poll_interval=10.0,
            max_attempts=3,
            slow_start_duration=8.9,
        )
    )
    d.update_endpoints(*(endpoint(name) for name in "abcdef"))
    failed = d.now
    d.handle(EndpointListUpdate(EndpointListKind.FAILED, uncertain_for=0.0))
    late, served, asked_for = Counter[str](), 0, 0
    while d.now < failed + 30.0:
        d.now += 1 / rate
        name = f"r{d.now}"
        server = d.receive(name, key=f"k{asked_for % 97}")
        asked_for += 1
        while name in d.pending and server is not None:
            drains = server in "ab" and d.now > failed + 2.0
            if d.now > failed + 2.0 + TOLD:
                late[server] += 1
            server = d.end_attempt(name, AttemptStatus.BUSY if drains else AttemptStatus.OK, latency=0.005)
        served += d.outcomes.get(name) == Outcome.SERVED
    assert late and not late["a"] and not late["b"]
    assert served >= SERVED * asked_for
