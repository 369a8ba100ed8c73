"""Drives one router by hand and keeps the rules' books beside it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

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
from ironrail.policy.timers import Timer
from ironrail.simulator_wire import encode_timer

READ = RequestClass("read", latency_objective=1.0)
KEYED = RequestClass(
    "keyed",
    1.0,
    Idempotency.IDEMPOTENCY_KEY,
    IdempotencyScope.ALL,
    idempotency_window=1.5,
    priority_weight=5.0,
)
ONCE = RequestClass("once", 1.0, Idempotency.UNSAFE, priority_weight=5.0)
NEVER_RAN = {
    AttemptStatus.BUSY,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED_BEFORE_SEND,
    AttemptStatus.MISS,
    AttemptStatus.NOT_SENT,
}


def settings(**changes: Any) -> Settings:
    base = Settings(
        classes={c.name: c for c in (READ, KEYED, ONCE)},
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=4,
    )
    return replace(base, **changes)


def entry(server: str, **fields: Any) -> Endpoint:
    fields.setdefault("weight", 1.0)
    return Endpoint(server, **fields)


class Driver:
    """A router with a clock, and what a client, the servers and the rules would see of it."""

    def __init__(self, conf: Settings, seed: int = 1, make: type[Router] = Router) -> None:
        self.conf = conf
        self.now = 100.0
        self.router = make(conf, seed, self.now)
        self.open: dict[str, RequestReceived] = {}
        self.due: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.sends: dict[str, list[str]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.state: dict[tuple[str, int], AttemptStatus | None] = {}
        self.expiry: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, Timer]] = []
        self.listed: dict[str, Endpoint] = {}
        self.last: list[Action] = []
        self.taken: list[float] = []
        self.further: dict[tuple[str, int], float] = {}

    def feed(self, event: Event) -> list[Action]:
        self.last = self.router.handle(self.now, event)
        for action in self.last:
            self.check(action)
        return self.last

    # What each action means, and the rules it must keep

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0 <= action.delay < 4260 and 1 <= len(encode_timer(action.timer)) <= 64
            self.timers.append((self.now + action.delay, action.timer))
        elif isinstance(action, CancelAttempt):
            assert (action.request_id, action.attempt_number) in self.state, "cancels an attempt never made"
        elif isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, RejectRequest):
            self.check_refusal(action.request_id)
            self.finish(action.request_id, "refused")
        elif isinstance(action, FailRequest):
            self.finish(action.request_id, "failed")

    def check_send(self, action: SendAttempt) -> None:
        name = action.request_id
        assert name in self.open, f"rule 1: sends for {name}, which is ended or unknown"
        target = self.listed.get(action.server)
        assert target is not None and target.state is EndpointState.READY, "rule 3: sends to a drained server"
        kind = self.conf.classes[self.open[name].class_name]
        earlier = self.sends.setdefault(name, [])
        assert len(earlier) < self.conf.max_attempts, "more attempts than allowed"
        ran = [i for i in range(len(earlier)) if self.state[name, i] not in NEVER_RAN]
        outstanding = [i for i in ran if self.state[name, i] is None]
        assert self.conf.hedging_allowed or not outstanding, "rule 2: two copies out at once"
        if ran and kind.idempotency is not Idempotency.SAFE:
            assert kind.idempotency is Idempotency.IDEMPOTENCY_KEY, "rule 2: an unsafe request sent again"
            first = min(self.sent_at[name][i] for i in ran)
            assert self.now <= first + kind.idempotency_window, (
                "rule 2: a keyed request sent after its window"
            )
            for i in ran:
                other = self.listed.get(earlier[i])
                same = kind.idempotency_scope is IdempotencyScope.ALL or (
                    other is not None
                    and (
                        other.zone == target.zone
                        if kind.idempotency_scope is IdempotencyScope.ZONE
                        else other.cell == target.cell
                    )
                )
                assert same, "rule 2: a keyed request sent outside its group"
        self.check_budget(name, len(earlier))
        self.state[name, len(earlier)] = None
        limit = self.due[name] if action.timeout is None else min(self.due[name], self.now + action.timeout)
        self.expiry[name, len(earlier)] = limit
        earlier.append(action.server)
        self.sent_at.setdefault(name, []).append(self.now)

    def check_budget(self, name: str, number: int) -> None:
        """Counted anew from all that was ever sent: not as the module counts it."""
        misses = sum(s is AttemptStatus.MISS for (n, _), s in self.state.items() if n == name)
        spent = sum(n == name for n, _ in self.further)
        if number <= misses + spent:  # the first, and one for each miss
            return
        self.further[name, number] = self.now
        budget = self.conf.retry_budget
        if budget is None:
            return
        counted = [k for k, at in self.further.items() if at > self.now - budget.window]
        used = sum(self.state.get(k) is not AttemptStatus.CANCELLED_BEFORE_SEND for k in counted)
        allowed = budget.reserve + budget.ratio * sum(at > self.now - budget.window for at in self.taken)
        assert used <= allowed, f"rule 5: {used} further attempts where {allowed} are allowed"

    def check_refusal(self, name: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        kind = self.conf.classes[self.open[name].class_name]
        ran = [i for i in range(len(self.sends.get(name, []))) if self.state[name, i] not in NEVER_RAN]
        if ran and kind.idempotency is not Idempotency.SAFE:
            harmless = (
                kind.idempotency is Idempotency.IDEMPOTENCY_KEY
                and kind.idempotency_scope is IdempotencyScope.ALL
            )
            assert harmless, "rule 2: a refusal of what may have run"

    def finish(self, name: str, how: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        del self.open[name]
        self.ended[name] = how

    # Moves

    def list(self, *entries: Endpoint, kind: EndpointListKind = EndpointListKind.FULL) -> list[Action]:
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            gone = EndpointState.REMOVED
            self.listed = {s: replace(e, state=gone) for s, e in self.listed.items()}
        self.listed.update({e.name: e for e in entries})
        return self.feed(EndpointListUpdate(kind, entries))

    def request(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """A request arrives; answers with the server its first attempt went to, if any."""
        fields.setdefault("class_name", "read")
        fields.setdefault("time_left", 2.0)
        event = RequestReceived(name, **fields)
        self.open[name] = event
        self.due[name] = self.now + event.time_left
        self.taken.append(self.now)
        self.feed(event)
        sent = self.sends.get(name, [None])[0]
        if finish:
            self.ok(name)
        return sent

    def end(
        self, name: str, status: AttemptStatus, attempt: int | None = None, latency: float = 0.05
    ) -> str | None:
        """An attempt ends; answers with the server that the next one went to, if one was sent."""
        count = len(self.sends[name])
        number = count - 1 if attempt is None else attempt
        assert self.state[name, number] is None
        self.state[name, number] = status
        closed = status is AttemptStatus.OK or name not in self.open
        if closed and name in self.open:
            self.finish(name, "served")
        self.feed(AttemptEnded(name, number, status, closed, latency))
        return self.sends[name][-1] if len(self.sends[name]) > count else None

    def ok(self, name: str) -> None:
        self.end(name, AttemptStatus.OK)

    def wait(self, seconds: float) -> None:
        """Let time pass, with timers and time-outs in their order."""
        until = self.now + seconds
        while True:
            due: list[tuple[float, str, Timer | None, int | None]] = [
                (t, "", n, None) for t, n in self.timers
            ]
            due += [(t, n, None, i) for (n, i), t in self.expiry.items() if self.state[n, i] is None]
            due.sort(key=lambda d: (d[0], d[1], encode_timer(d[2]) if d[2] is not None else ""))
            if not due or due[0][0] > until:
                break
            at, name, timer, attempt = due[0]
            self.now = max(self.now, at)
            if timer is None:
                self.end(name, AttemptStatus.TIMEOUT, attempt, 1.0)
            else:
                self.timers.remove((at, timer))
                self.feed(TimerFired(timer))
            self.check_overdue()
        self.now = until
        self.check_overdue()

    def check_overdue(self) -> None:
        late = [n for n in self.open if self.now > self.due[n] + 0.02]
        assert not late, f"rule 1: no answer in time for {late}"
