"""Streams of events drawn from a seed, as a host might tell a router."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator

from ironrail.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    DeadlineReached,
    EndpointListUpdate,
    Event,
    RequestReceived,
    StreamingStarted,
    TimerFired,
)
from ironrail.policy.router import Router
from ironrail.policy.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    RetryBudgetSettings,
    Settings,
)

LENGTH, QUIET = 14.0, 6.0  # seconds of requests, and those after which all is answered
PLACES = (1, 10, 40, 200)  # routers
KINDS = (  # named, so that one that comes later changes no stream
    EndpointListKind.DELTA,
    EndpointListKind.FULL,
    EndpointListKind.CACHED,
    EndpointListKind.FAILED,
    EndpointListKind.MALFORMED,
    EndpointListKind.RELOCATED,
)
WAYS = (  # of a server: chances of each status, and the seconds that it takes
    ({AttemptStatus.OK: 0.8, AttemptStatus.MISS: 0.2}, 0.05),
    ({AttemptStatus.OK: 0.8, AttemptStatus.MISS: 0.2}, 0.05),
    ({AttemptStatus.OK: 0.4, AttemptStatus.MISS: 0.5, AttemptStatus.BUSY: 0.1}, 0.8),  # crowded
    ({AttemptStatus.RESET: 0.4, AttemptStatus.ERROR: 0.3, AttemptStatus.OK: 0.3}, 0.1),
    ({AttemptStatus.CONNECT_FAILED: 1.0}, 0.002),  # gone
    ({AttemptStatus.CONNECT_FAILED: 0.9, AttemptStatus.OK: 0.1}, 0.25),  # cut off
    (
        {AttemptStatus.TIMEOUT: 0.8, AttemptStatus.CANCELLED_BEFORE_SEND: 0.1, AttemptStatus.OK: 0.1},
        1.2,
    ),  # silent
    ({AttemptStatus.BUSY: 0.7, AttemptStatus.OK: 0.3}, 0.003),
)
CLASSES = (
    RequestClass("read", 0.8, client_timeout=1.5),
    RequestClass("hurried", 0.3, priority_weight=2.0),
    RequestClass(
        "keyed",
        1.2,
        Idempotency.IDEMPOTENCY_KEY,
        IdempotencyScope.ZONE,
        idempotency_window=0.9,
        priority_weight=5.0,
    ),
    RequestClass("everywhere", 1.0, Idempotency.IDEMPOTENCY_KEY, idempotency_window=0.9, priority_weight=3.0),
    RequestClass("cell", 1.2, Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL, idempotency_window=0.9),
    RequestClass("once", 1.5, Idempotency.UNSAFE, priority_weight=8.0),
)


def drawn_settings(draws: random.Random, parted: bool, many: bool) -> Settings:
    routers = 40 if parted else 200 if many else draws.choice(PLACES)
    return Settings(
        {kind.name: kind for kind in CLASSES},
        cache_aside=many or draws.random() < 0.7,
        origin_kind="origin",
        polls_endpoint_list=draws.random() < 0.7,
        poll_interval=draws.choice([3.0, 9.0]),
        hedging_allowed=draws.random() < 0.6,
        cancellation_allowed=draws.random() < 0.8,
        max_attempts=draws.choice([1, 3, 4]),
        slow_start_duration=draws.choice([3.0, 10.0]),
        router_index=draws.randrange(routers),
        router_count=routers,
        connections_are_costly=parted or draws.random() < 0.6,
        connection_idle_timeout=draws.choice([2.0, 15.0]),
        retry_budget=draws.choice([None, RetryBudgetSettings(3, 0.1, 2.0)]),
    )


class World:
    """Servers, clients and a clock before one router. The seed tells all; events follow its actions."""

    def __init__(self, seed: int, make: type[Router] = Router) -> None:
        self.draws = random.Random(seed)
        # a fleet that routers divide among them, one that is crowded, and many routers before one origin
        parted, crowded, many = seed % 4 == 0, seed % 4 == 1, seed % 4 == 2
        self.settings = drawn_settings(self.draws, parted, many)
        self.now = 1000.0
        self.router = make(self.settings, seed, self.now)
        self.due: list[tuple[float, int, Event]] = []
        self.count = 0
        self.open: dict[str, float] = {}  # until when its client waits
        self.size = 45 if parted else self.draws.choice([3, 12, 45])
        self.names = [f"s{n}" for n in range(self.size)] + ["o", "o2"]
        self.ways = dict.fromkeys(self.names, WAYS[2 if crowded else 0])
        self.rate = 80.0 if crowded else self.draws.choice([20.0, 80.0])
        self.wild = self.draws.random()  # how often something happens

    def later(self, seconds: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + seconds, self.count, event))

    def entry(self, name: str) -> Endpoint:
        number, draws = self.names.index(name), self.draws
        state = draws.choices(list(EndpointState), [0.94, 0.04, 0.02])[0]
        since = self.now - draws.random() * 2.0 if draws.random() < 0.05 + 0.2 * self.wild else 0.0
        kind, weight = "origin" if name in ("o", "o2") else "std", draws.choice([0.0, 1.0, 2.0])
        return Endpoint(name, state, kind, "xy"[number % 2], number % 3, weight, since)

    def news(self) -> EndpointListUpdate:
        kind = self.draws.choice(KINDS)
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            first = self.size // 2 if self.draws.random() < 0.3 else 0  # as where a half is lost
            return EndpointListUpdate(kind, tuple(map(self.entry, self.names[first:])))
        if kind is EndpointListKind.DELTA:
            return EndpointListUpdate(kind, tuple(map(self.entry, self.draws.sample(self.names, 2))))
        return EndpointListUpdate(kind)

    def request(self) -> RequestReceived:
        draws, name = self.draws, f"r{self.count}"
        kind = draws.choices(CLASSES, [6, 2, 1, 1, 1, 1])[0]
        wait = draws.choice([0.0, 0.3, 1.5, 2.5])
        key = f"k{int(300 * draws.random() ** 3)}" if draws.random() < 0.95 else None
        self.open[name] = self.now + wait
        self.later(wait, ClientDisconnected(name) if draws.random() < 0.5 else DeadlineReached(name))
        hint = draws.choice([None, 0.3, 1.0])
        return RequestReceived(name, kind.name, wait, key, hint, kind.idempotency is not Idempotency.SAFE)

    def carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(name, server, _, number):
                chances, takes = self.ways[server]
                status = self.draws.choices(list(chances), list(chances.values()))[0]
                seconds = takes * (0.5 + self.draws.random())
                self.later(seconds, AttemptEnded(name, number, status, False, seconds))
                if status is AttemptStatus.OK and self.draws.random() < 0.1:
                    self.later(seconds / 2, StreamingStarted(name, number))
            case CancelAttempt(name, number):
                self.later(0.001, AttemptEnded(name, number, AttemptStatus.CANCELLED, False, 0.4))
            case SetTimer(delay, timer):
                self.later(delay, TimerFired(timer))
            case RejectRequest(name) | FailRequest(name):
                self.open.pop(name, None)
            case FetchEndpointList():
                self.later(0.2, self.news())

    def told(self, event: Event) -> Event:
        """The event as a host would tell it now: an outcome closes what is served, or ended before."""
        if not isinstance(event, AttemptEnded):
            return event
        closed = event.request_id not in self.open or event.status is AttemptStatus.OK
        if closed:
            self.open.pop(event.request_id, None)
        return AttemptEnded(event.request_id, event.attempt_number, event.status, closed, event.latency)

    def steps(self) -> Iterator[tuple[float, Event, list[Action]]]:
        """All events with what was answered to each."""
        self.later(0.0, EndpointListUpdate(EndpointListKind.CACHED, tuple(map(self.entry, self.names))))
        arrives, changes, ends = self.now, self.now + 2.0, self.now + LENGTH
        while arrives < ends or self.due and self.due[0][0] < ends + QUIET:
            if arrives < ends and (not self.due or arrives <= self.due[0][0]):
                self.now = arrives
                arrives += self.draws.random() * 2.0 / self.rate
                event: Event = self.request()
            else:
                self.now, _, event = heapq.heappop(self.due)
                event = self.told(event)
            if self.now >= changes:
                changes += 0.2 + 2.0 * (1.0 - self.wild) * self.draws.random()
                self.ways[self.draws.choice(self.names)] = self.draws.choice(WAYS)
                if self.draws.random() < 0.4:
                    self.later(0.0, self.news())
            actions = self.router.handle(self.now, event)
            yield self.now, event, actions
            for action in actions:
                self.carry_out(action)
