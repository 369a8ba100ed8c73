"""Writes down what a decision module is told and what it answers, and why it sent nothing. Changes nothing.

Stands between host and module in virtual time. Times are seconds on the clock of the loop.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ironrail.policy import interface as api
from ironrail.policy.balance import Held, Router, Server


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
    status: api.Status | None = None


@dataclass(slots=True)
class Decided:
    """All that one module decided on one request."""

    asked: float
    sent: dict[int, Sent] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)  # when it was held for a place, or for any server
    why: Why | None = None  # None where it was served or its client left


class Tap:
    """A module that is looked at."""

    def __init__(self, router: Router, decided: dict[str, Decided]) -> None:
        self._router, self._decided = router, decided
        self._heard = 0.0  # as it was before the event in hand
        self._end = router._end
        router._end = self._ending  # type: ignore[method-assign]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._router, name)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """As the module itself."""
        self._heard = self._router.health.heard
        if isinstance(event, api.Request):
            self._decided[event.request] = Decided(now)
        elif isinstance(event, api.Outcome):
            self._end_attempt(event, now)
        actions = self._router.handle(now, event)
        for action in actions:
            self._note(action, now)
        return actions

    def _end_attempt(self, event: api.Outcome, now: float) -> None:
        mine = self._decided.get(event.request)
        sent = mine.sent.get(event.attempt) if mine is not None else None
        if sent is not None:
            sent.ended, sent.status = now, event.status

    def _note(self, action: api.Action, now: float) -> None:
        match action:
            case api.Send(name, server, _, number) if name in self._decided:
                self._decided[name].sent[number] = Sent(now, server)
            case api.SetTimer(_, token) if token.startswith("wait:") and token[5:] in self._decided:
                self._decided[token[5:]].waits.append(now)

    def _ending(self, held: Held) -> None:
        """The module is about to give a request up, or would if nothing were out for it."""
        mine = self._decided.get(held.request.request)
        if mine is not None:
            mine.why = self._why(held)
        self._end(held)

    def _why(self, held: Held) -> Why:
        """What keeps the request from another send, by the module's own books."""
        router, now = self._router, self._router.now
        if not held.attempts and router.health.heard > self._heard:
            return Why.SHED
        if now >= held.until - router.settings.tick:
            return Why.TIME
        if any(a.may_have_run for a in held.attempts) and held.request_class.effect is not api.Effect.SAFE:
            return Why.UNSAFE
        if held.attempts and not router.attempts.affords(now, held):
            return Why.BUDGET
        if len(held.attempts) >= router.settings.max_attempts:
            return Why.ATTEMPTS
        if held.to_origin:
            return Why.ARCHIVE
        reasons = Counter(self._passed(s, held) for s in router.servers.values() if s.cache)
        return max(Why, key=lambda why: reasons[why]) if reasons else Why.DRAINED

    def _passed(self, server: Server, held: Held) -> Why:
        """Why a cache was not chosen."""
        router = self._router
        if server.entry.state is not api.State.READY:
            return Why.DRAINED
        if any(a.server is server and not a.broken for a in held.attempts):
            return Why.TRIED
        if server.load >= server.limit:
            return Why.LIMIT
        if router.now < server.trial_at:
            return Why.REST
        if router.cold.share(router.now, server) < 1.0 and server.credit < (held.request.hint or 1.0):
            return Why.COLD
        return Why.CAP
