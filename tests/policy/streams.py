"""Random streams of events, reproducible by seed, as a host might pass them to a router."""

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

TRAFFIC_SECONDS = 14.0  # in which requests arrive
QUIET_SECONDS = 6.0  # after the traffic, until all requests are answered
ROUTER_COUNTS = (1, 10, 40, 200)
ENDPOINT_LIST_KINDS = (  # listed explicitly, so that a new kind does not change the streams
    EndpointListKind.DELTA,
    EndpointListKind.FULL,
    EndpointListKind.CACHED,
    EndpointListKind.FAILED,
    EndpointListKind.MALFORMED,
    EndpointListKind.RELOCATED,
)
SERVER_BEHAVIOURS = (  # weights of each status, and the mean seconds that an attempt takes
    ({AttemptStatus.OK: 0.8, AttemptStatus.MISS: 0.2}, 0.05),
    ({AttemptStatus.OK: 0.8, AttemptStatus.MISS: 0.2}, 0.05),
    ({AttemptStatus.OK: 0.4, AttemptStatus.MISS: 0.5, AttemptStatus.BUSY: 0.1}, 0.8),  # overloaded
    ({AttemptStatus.RESET: 0.4, AttemptStatus.ERROR: 0.3, AttemptStatus.OK: 0.3}, 0.1),
    ({AttemptStatus.CONNECT_FAILED: 1.0}, 0.002),  # stopped
    ({AttemptStatus.CONNECT_FAILED: 0.9, AttemptStatus.OK: 0.1}, 0.25),  # unreachable
    (
        {AttemptStatus.TIMEOUT: 0.8, AttemptStatus.CANCELLED_BEFORE_SEND: 0.1, AttemptStatus.OK: 0.1},
        1.2,
    ),  # hung
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


def draw_settings(draws: random.Random, subsets: bool, many: bool) -> Settings:
    """Draw settings; `subsets`: routers divide the servers, `many`: 200 routers share an origin."""
    routers = 40 if subsets else 200 if many else draws.choice(ROUTER_COUNTS)
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
        connections_are_costly=subsets or draws.random() < 0.6,
        connection_idle_timeout=draws.choice([2.0, 15.0]),
        retry_budget=draws.choice([None, RetryBudgetSettings(3, 0.1, 2.0)]),
    )


class World:
    """Simulated servers and clients of one router, with a clock; all is determined by the seed."""

    def __init__(self, seed: int, router_class: type[Router] = Router) -> None:
        self.draws = random.Random(seed)
        # a fleet that routers divide into subsets, an overloaded one, many routers with one origin
        subsets = seed % 4 == 0
        overloaded = seed % 4 == 1
        many = seed % 4 == 2
        self.settings = draw_settings(self.draws, subsets, many)
        self.now = 1000.0
        self.router = router_class(self.settings, seed, self.now)
        self.scheduled: list[tuple[float, int, Event]] = []
        self.event_count = 0
        self.pending: dict[str, float] = {}  # time until which its client waits
        self.size = 45 if subsets else self.draws.choice([3, 12, 45])
        self.names = [f"s{n}" for n in range(self.size)] + ["o", "o2"]
        self.behaviours = dict.fromkeys(self.names, SERVER_BEHAVIOURS[2 if overloaded else 0])
        self.rate = 80.0 if overloaded else self.draws.choice([20.0, 80.0])
        self.churn = self.draws.random()  # how often servers change

    def schedule(self, seconds: float, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled, (self.now + seconds, self.event_count, event))

    def draw_endpoint(self, name: str) -> Endpoint:
        number, draws = self.names.index(name), self.draws
        state = draws.choices(list(EndpointState), [0.94, 0.04, 0.02])[0]
        started_at = self.now - draws.random() * 2.0 if draws.random() < 0.05 + 0.2 * self.churn else 0.0
        kind, weight = "origin" if name in ("o", "o2") else "std", draws.choice([0.0, 1.0, 2.0])
        return Endpoint(name, state, kind, "xy"[number % 2], number % 3, weight, started_at)

    def draw_list_update(self) -> EndpointListUpdate:
        kind = self.draws.choice(ENDPOINT_LIST_KINDS)
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            first = self.size // 2 if self.draws.random() < 0.3 else 0  # as after a loss of half of them
            return EndpointListUpdate(kind, tuple(map(self.draw_endpoint, self.names[first:])))
        if kind is EndpointListKind.DELTA:
            return EndpointListUpdate(kind, tuple(map(self.draw_endpoint, self.draws.sample(self.names, 2))))
        return EndpointListUpdate(kind)

    def draw_request(self) -> RequestReceived:
        draws, name = self.draws, f"r{self.event_count}"
        kind = draws.choices(CLASSES, [6, 2, 1, 1, 1, 1])[0]
        wait = draws.choice([0.0, 0.3, 1.5, 2.5])
        key = f"k{int(300 * draws.random() ** 3)}" if draws.random() < 0.95 else None
        self.pending[name] = self.now + wait
        self.schedule(wait, ClientDisconnected(name) if draws.random() < 0.5 else DeadlineReached(name))
        hint = draws.choice([None, 0.3, 1.0])
        return RequestReceived(name, kind.name, wait, key, hint, kind.idempotency is not Idempotency.SAFE)

    def carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(name, server, _, number):
                weights, mean_seconds = self.behaviours[server]
                status = self.draws.choices(list(weights), list(weights.values()))[0]
                seconds = mean_seconds * (0.5 + self.draws.random())
                self.schedule(seconds, AttemptEnded(name, number, status, False, seconds))
                if status is AttemptStatus.OK and self.draws.random() < 0.1:
                    self.schedule(seconds / 2, StreamingStarted(name, number))
            case CancelAttempt(name, number):
                self.schedule(0.001, AttemptEnded(name, number, AttemptStatus.CANCELLED, False, 0.4))
            case SetTimer(delay, timer):
                self.schedule(delay, TimerFired(timer))
            case RejectRequest(name) | FailRequest(name):
                self.pending.pop(name, None)
            case FetchEndpointList():
                self.schedule(0.2, self.draw_list_update())

    def as_host_event(self, event: Event) -> Event:
        """Return the event as a host would emit it now: the end of an attempt may end its request."""
        if not isinstance(event, AttemptEnded):
            return event
        request_ended = event.request_id not in self.pending or event.status is AttemptStatus.OK
        if request_ended:
            self.pending.pop(event.request_id, None)
        return AttemptEnded(
            event.request_id, event.attempt_number, event.status, request_ended, event.latency
        )

    def steps(self) -> Iterator[tuple[float, Event, list[Action]]]:
        """Yield all events, each with its time and the resulting actions."""
        self.schedule(
            0.0, EndpointListUpdate(EndpointListKind.CACHED, tuple(map(self.draw_endpoint, self.names)))
        )
        next_arrival, next_change, traffic_end = self.now, self.now + 2.0, self.now + TRAFFIC_SECONDS
        while (
            next_arrival < traffic_end
            or self.scheduled
            and self.scheduled[0][0] < traffic_end + QUIET_SECONDS
        ):
            if next_arrival < traffic_end and (not self.scheduled or next_arrival <= self.scheduled[0][0]):
                self.now = next_arrival
                next_arrival += self.draws.random() * 2.0 / self.rate
                event: Event = self.draw_request()
            else:
                self.now, _, event = heapq.heappop(self.scheduled)
                event = self.as_host_event(event)
            if self.now >= next_change:
                next_change += 0.2 + 2.0 * (1.0 - self.churn) * self.draws.random()
                self.behaviours[self.draws.choice(self.names)] = self.draws.choice(SERVER_BEHAVIOURS)
                if self.draws.random() < 0.4:
                    self.schedule(0.0, self.draw_list_update())
            actions = self.router.handle(self.now, event)
            yield self.now, event, actions
            for action in actions:
                self.carry_out(action)
