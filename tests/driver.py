"""Drives one router step by step, as its host would, and checks its actions against the rules.

The checks keep their own records, so that they don't depend on those of the policy.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import Any, NamedTuple

from ironrail.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from ironrail.policy.router import Router
from ironrail.policy.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from ironrail.policy.state import AttemptId
from ironrail.policy.timers import Timer
from ironrail.simulator_wire import encode_timer

SAFE_READ = RequestClass("read", latency_objective=1.0)
KEYED_WRITE = RequestClass(
    "keyed",
    1.0,
    Idempotency.IDEMPOTENCY_KEY,
    IdempotencyScope.ALL,
    idempotency_window=1.5,
    priority_weight=5.0,
)
UNSAFE_WRITE = RequestClass("once", 1.0, Idempotency.UNSAFE, priority_weight=5.0)
NEVER_RAN = {
    AttemptStatus.BUSY,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED_BEFORE_SEND,
    AttemptStatus.MISS,
    AttemptStatus.NOT_SENT,
}
GRACE_SECONDS = 0.02  # time after its deadline in which a request may still be answered


class Outcome(StrEnum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    DISCONNECTED = "disconnected"


class Due(NamedTuple):
    """The next timer or timeout of an attempt; ordered by the first three fields."""

    at: float
    request_id: str
    timer_context: str
    attempt_number: int
    timer: Timer | None


def settings(**changes: Any) -> Settings:
    """Make settings with three request classes that allow hedging and cancellation."""
    base = Settings(
        classes={c.name: c for c in (SAFE_READ, KEYED_WRITE, UNSAFE_WRITE)},
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=4,
    )
    return replace(base, **changes)


def endpoint(server: str, **fields: Any) -> Endpoint:
    """Make a listed server of weight 1."""
    fields.setdefault("weight", 1.0)
    return Endpoint(server, **fields)


class Driver:
    """A router with a clock, and the records of its requests, attempts and servers."""

    def __init__(self, conf: Settings, seed: int = 1, router_class: type[Router] = Router) -> None:
        self.conf = conf
        self.now = 100.0
        self.router = router_class(conf, seed, self.now)
        self.pending: dict[str, RequestReceived] = {}
        self.deadlines: dict[str, float] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.servers_sent_to: dict[str, list[str]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.statuses: dict[AttemptId, AttemptStatus | None] = {}  # None: in flight
        self.timeouts: dict[AttemptId, float] = {}
        self.timers: list[tuple[float, Timer]] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.last_actions: list[Action] = []
        self.request_times: list[float] = []
        self.charged_at: dict[AttemptId, float] = {}

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the router and check the resulting actions."""
        self.last_actions = self.router.handle(self.now, event)
        for action in self.last_actions:
            self.check(action)
        return self.last_actions

    def is_in_flight(self, request_id: str, attempt_number: int | None = None) -> bool:
        """Whether an attempt of a request has not ended; by default the latest one."""
        if attempt_number is None:
            attempt_number = len(self.servers_sent_to[request_id]) - 1
        return self.statuses[AttemptId(request_id, attempt_number)] is None

    # Checks of the actions against the rules

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0 <= action.delay < 4260 and 1 <= len(encode_timer(action.timer)) <= 64
            self.timers.append((self.now + action.delay, action.timer))
        elif isinstance(action, CancelAttempt):
            attempt_id = AttemptId(action.request_id, action.attempt_number)
            assert attempt_id in self.statuses, "cancels an attempt that was never sent"
        elif isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, RejectRequest):
            self.check_rejection(action.request_id)
            self.finish_request(action.request_id, Outcome.REJECTED)
        elif isinstance(action, FailRequest):
            self.finish_request(action.request_id, Outcome.FAILED)

    def check_send(self, action: SendAttempt) -> None:
        name = action.request_id
        assert name in self.pending, f"rule 1: sends an attempt for {name}, which has ended or is unknown"
        target = self.endpoints.get(action.server)
        assert target is not None and target.state is EndpointState.READY, (
            "rule 3: sends to a server that is not ready"
        )
        earlier = self.servers_sent_to.setdefault(name, [])
        assert len(earlier) < self.conf.max_attempts, "more attempts than allowed"
        ran = self.attempts_that_may_have_run(name)
        outstanding = [number for number in ran if self.is_in_flight(name, number)]
        assert self.conf.hedging_allowed or not outstanding, "rule 2: two attempts in flight at once"
        if ran:
            self.check_repeat(name, ran, target)
        attempt_id = AttemptId(name, len(earlier))
        self.check_budget(attempt_id)
        self.statuses[attempt_id] = None
        limit = self.deadlines[name]
        if action.timeout is not None:
            limit = min(limit, self.now + action.timeout)
        self.timeouts[attempt_id] = limit
        earlier.append(action.server)
        self.sent_at.setdefault(name, []).append(self.now)

    def attempts_that_may_have_run(self, name: str) -> list[int]:
        """Return the numbers of the attempts that may have taken effect, or may still."""
        numbers = range(len(self.servers_sent_to.get(name, [])))
        return [number for number in numbers if self.statuses[AttemptId(name, number)] not in NEVER_RAN]

    def check_repeat(self, name: str, ran: list[int], target: Endpoint) -> None:
        """Rule 2: a request that may have run must not take effect twice."""
        kind = self.conf.classes[self.pending[name].class_name]
        if kind.idempotency is Idempotency.SAFE:
            return
        assert kind.idempotency is Idempotency.IDEMPOTENCY_KEY, "rule 2: an unsafe request is sent again"
        first = min(self.sent_at[name][number] for number in ran)
        assert self.now <= first + kind.idempotency_window, "rule 2: a keyed request is sent after its window"
        for number in ran:
            other = self.endpoints.get(self.servers_sent_to[name][number])
            assert in_one_scope(kind.idempotency_scope, other, target), (
                "rule 2: a keyed request is sent outside its scope"
            )

    def check_budget(self, attempt_id: AttemptId) -> None:
        """Rule 5, the retry budget, counted from all attempts ever sent, unlike the policy's count."""
        name = attempt_id.request_id
        misses = sum(
            status is AttemptStatus.MISS for key, status in self.statuses.items() if key.request_id == name
        )
        charged = sum(key.request_id == name for key in self.charged_at)
        if attempt_id.attempt_number <= misses + charged:  # free: the first, and one for each miss
            return
        self.charged_at[attempt_id] = self.now
        budget = self.conf.retry_budget
        if budget is None:
            return
        since = self.now - budget.window
        counted = [key for key, at in self.charged_at.items() if at > since]
        used = sum(self.statuses.get(key) is not AttemptStatus.CANCELLED_BEFORE_SEND for key in counted)
        allowed = budget.reserve + budget.ratio * sum(at > since for at in self.request_times)
        assert used <= allowed, f"rule 5: {used} extra attempts, {allowed} are allowed"

    def check_rejection(self, name: str) -> None:
        """Rule 2: a client that is rejected may retry."""
        assert name in self.pending, "rule 1: answers a request again, or an unknown one"
        kind = self.conf.classes[self.pending[name].class_name]
        if self.attempts_that_may_have_run(name) and kind.idempotency is not Idempotency.SAFE:
            harmless = (
                kind.idempotency is Idempotency.IDEMPOTENCY_KEY
                and kind.idempotency_scope is IdempotencyScope.ALL
            )
            assert harmless, "rule 2: rejects a request that may have run"

    def finish_request(self, name: str, outcome: Outcome) -> None:
        assert name in self.pending, "rule 1: answers a request again, or an unknown one"
        del self.pending[name]
        self.outcomes[name] = outcome

    def check_deadlines(self) -> None:
        late = [name for name in self.pending if self.now > self.deadlines[name] + GRACE_SECONDS]
        assert not late, f"rule 1: no answer in time for {late}"

    # Events

    def update_endpoints(
        self, *endpoints: Endpoint, kind: EndpointListKind = EndpointListKind.FULL
    ) -> list[Action]:
        """Let discovery list these servers."""
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            removed = EndpointState.REMOVED
            self.endpoints = {name: replace(known, state=removed) for name, known in self.endpoints.items()}
        self.endpoints.update({known.name: known for known in endpoints})
        return self.handle(EndpointListUpdate(kind, endpoints))

    def receive(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """Let a request arrive; return the server that its first attempt went to, if any."""
        fields.setdefault("class_name", "read")
        fields.setdefault("time_left", 2.0)
        event = RequestReceived(name, **fields)
        self.pending[name] = event
        self.deadlines[name] = self.now + event.time_left
        self.request_times.append(self.now)
        self.handle(event)
        sent = self.servers_sent_to.get(name, [None])[0]
        if finish:
            self.succeed(name)
        return sent

    def end_attempt(
        self, name: str, status: AttemptStatus, attempt: int | None = None, latency: float = 0.05
    ) -> str | None:
        """End an attempt; return the server that the next one went to, if one was sent."""
        count = len(self.servers_sent_to[name])
        number = count - 1 if attempt is None else attempt
        assert self.is_in_flight(name, number)
        self.statuses[AttemptId(name, number)] = status
        request_ended = status is AttemptStatus.OK or name not in self.pending
        if request_ended and name in self.pending:
            self.finish_request(name, Outcome.SERVED)
        self.handle(AttemptEnded(name, number, status, request_ended, latency))
        return self.servers_sent_to[name][-1] if len(self.servers_sent_to[name]) > count else None

    def succeed(self, name: str) -> None:
        """End the latest attempt of a request with success."""
        self.end_attempt(name, AttemptStatus.OK)

    def advance(self, seconds: float) -> None:
        """Let time pass, with timers and timeouts in their order."""
        until = self.now + seconds
        while (due := self.next_due()) is not None and due.at <= until:
            self.now = max(self.now, due.at)
            if due.timer is None:
                self.end_attempt(due.request_id, AttemptStatus.TIMEOUT, due.attempt_number, 1.0)
            else:
                self.timers.remove((due.at, due.timer))
                self.handle(TimerFired(due.timer))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def next_due(self) -> Due | None:
        """Return the next timer or timeout."""
        due = [Due(at, "", encode_timer(timer), 0, timer) for at, timer in self.timers]
        due += [
            Due(at, key.request_id, "", key.attempt_number, None)
            for key, at in self.timeouts.items()
            if self.statuses[key] is None
        ]
        return min(due, key=lambda each: each[:3], default=None)


def in_one_scope(scope: IdempotencyScope, one: Endpoint | None, other: Endpoint) -> bool:
    """Whether two servers know each other's idempotency keys."""
    if scope is IdempotencyScope.ALL:
        return True
    if one is None:
        return False
    return one.zone == other.zone if scope is IdempotencyScope.ZONE else one.cell == other.cell
