"""Writes down what a decision module is told and what it answers, and why it sent nothing. Changes nothing.

Stands between host and module in virtual time. Times are seconds on the clock of the loop.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ironrail.policy.actions import Action, SendAttempt, SetTimer
from ironrail.policy.endpoints import EndpointState
from ironrail.policy.events import AttemptEnded, AttemptStatus, Event, RequestReceived
from ironrail.policy.router import Router
from ironrail.policy.settings import Idempotency
from ironrail.policy.state import PendingRequest, Server
from ironrail.policy.timers import QueueWaitExpired


class Why(StrEnum):
    """Why the module gave a request up."""

    SHED = "shed, as too many are asked for"
    LIMIT = "each server at the limit of its router"
    COLD = "cold servers beyond their budget"
    REST = "servers resting after losses"
    TRIED = "no server left that was not tried"
    DRAINED = "no server in the list"
    CAP = "passed over by the cap"
    BUDGET = "no budget for another attempt"
    ATTEMPTS = "no attempt left"
    UNSAFE = "it may have run and may not be repeated"
    ARCHIVE = "the archive had no room in time"
    TIME = "its time was up"


@dataclass(slots=True)
class Sent:
    """One attempt as the module knows it."""

    at: float
    server: str
    ended: float | None = None
    status: AttemptStatus | None = None


@dataclass(slots=True)
class Decided:
    """All that one module decided on one request."""

    asked: float
    sent: dict[int, Sent] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)  # times at which it was queued
    why: Why | None = None  # None where it was served or its client left


class Tap:
    """A module that is looked at."""

    def __init__(self, router: Router, decided: dict[str, Decided]) -> None:
        self._router, self._decided = router, decided
        self._answers_before = 0.0  # as they were before the event in hand
        self._end = router.requests._give_up
        router.requests._give_up = self._ending  # type: ignore[method-assign]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._router, name)

    def handle(self, now: float, event: Event) -> list[Action]:
        """As the module itself."""
        self._answers_before = self._router.load_shedding.answers
        if isinstance(event, RequestReceived):
            self._decided[event.request_id] = Decided(now)
        elif isinstance(event, AttemptEnded):
            self._end_attempt(event, now)
        actions = self._router.handle(now, event)
        for action in actions:
            self._note(action, now)
        return actions

    def _end_attempt(self, event: AttemptEnded, now: float) -> None:
        mine = self._decided.get(event.request_id)
        sent = mine.sent.get(event.attempt_number) if mine is not None else None
        if sent is not None:
            sent.ended, sent.status = now, event.status

    def _note(self, action: Action, now: float) -> None:
        match action:
            case SendAttempt(name, server, _, number) if name in self._decided:
                self._decided[name].sent[number] = Sent(now, server)
            case SetTimer(_, QueueWaitExpired(name)) if name in self._decided:
                self._decided[name].waits.append(now)

    def _ending(self, pending: PendingRequest) -> None:
        """The module is about to give a request up, or would if nothing were out for it."""
        mine = self._decided.get(pending.request.request_id)
        if mine is not None:
            mine.why = self._why(pending)
        self._end(pending)

    def _why(self, pending: PendingRequest) -> Why:
        """What keeps the request from another send, by the module's own books."""
        router, now = self._router, self._router.now
        if not pending.attempts and router.load_shedding.answers > self._answers_before:
            return Why.SHED
        if now >= pending.give_up_at - router.settings.timer_resolution:
            return Why.TIME
        if (
            any(a.may_have_run for a in pending.attempts)
            and pending.request_class.idempotency is not Idempotency.SAFE
        ):
            return Why.UNSAFE
        if pending.attempts and not router.retry_budget.allows_attempt(now, pending):
            return Why.BUDGET
        if len(pending.attempts) >= router.settings.max_attempts:
            return Why.ATTEMPTS
        if pending.needs_origin:
            return Why.ARCHIVE
        reasons = Counter(self._passed(s, pending) for s in router.servers.values() if s.is_cache)
        return max(Why, key=lambda why: reasons[why]) if reasons else Why.DRAINED

    def _passed(self, server: Server, pending: PendingRequest) -> Why:
        """Why a cache was not chosen."""
        router = self._router
        if server.endpoint.state is not EndpointState.READY:
            return Why.DRAINED
        if any(a.server is server and not a.connection_broke for a in pending.attempts):
            return Why.TRIED
        if server.in_flight >= server.concurrency_limit:
            return Why.LIMIT
        if router.now < server.ejected_until:
            return Why.REST
        if router.slow_start.capacity_fraction(router.now, server) < 1.0 and server.slow_start_tokens < (
            pending.request.work_hint or 1.0
        ):
            return Why.COLD
        return Why.CAP
