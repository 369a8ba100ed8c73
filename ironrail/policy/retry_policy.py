"""Attempts of requests: which ones their class and the budget permit, and what is out."""

from __future__ import annotations

import math
from collections import deque

from ironrail.policy.actions import Action, CloseIdleConnections, SendAttempt, SetTimer
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.settings import Idempotency, IdempotencyScope, RetryBudgetSettings, Settings
from ironrail.policy.state import Attempt, PendingRequest, Server
from ironrail.policy.zone_latency import ZoneLatency

CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
ORIGIN_TARGET = 0.5  # the same for the origin, which is slow by nature
# where no budget is stated: enough for a server lost, too few to feed an overload
RETRY_SHARE = 0.2
# and these many over a ramp besides, so that those of a lost server can all go at once
RETRIES_SAVED = 10.0
OVERDUE = 0.5  # of the aim without an answer: in time for another attempt
# of the aim that a long link puts that off: what is out for an aim is late in any case
MOST_LATER = 0.5
UNHEARD = (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.CANCELLED_BEFORE_SEND)
BROKEN = (
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
    AttemptStatus.CANCELLED,
)  # the server may be well
NEVER_RAN = (
    AttemptStatus.BUSY,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED_BEFORE_SEND,
    AttemptStatus.MISS,
    AttemptStatus.NOT_SENT,
)


def group_of(
    group: IdempotencyScope, entry: Endpoint
) -> str | int:  # of those that know a keyed request
    return (
        entry.zone
        if group is IdempotencyScope.ZONE
        else entry.cell
        if group is IdempotencyScope.CELL
        else ""
    )


class RetryPolicy:
    """All attempts of this router that are out, and the budget of further ones."""

    def __init__(
        self,
        settings: Settings,
        connections: ConnectionHealth,
        guide: PolicyOverrides,
        links: ZoneLatency,
    ) -> None:
        self._settings, self._connections = settings, connections
        self._guide, self._links = guide, links
        self.out: dict[tuple[str, int], Attempt] = {}  # by request and number
        self.ring_load = 0  # of them, those at caches
        self.budget = settings.retry_budget or RetryBudgetSettings(
            RETRIES_SAVED, RETRY_SHARE, settings.slow_start_duration
        )
        self.taken, self.further = (
            deque[float](),
            deque[float](),
        )  # times of what the stated budget counts

    def affords(self, now: float, held: PendingRequest) -> bool:
        """Guards against feeding an overload: the stated budget of further attempts, or one of our own."""
        since = now - self.budget.window
        for times in (
            self.taken,
            self.further,
        ):  # at every send, or they would grow as long as all is well
            while times and times[0] <= since:
                times.popleft()
        if held.retry_tokens > 0:
            return True
        allowed = self.budget.reserve + self.budget.ratio * len(self.taken)
        return len(self.further) + 1 <= allowed * self._guide.retry_ratio(held.request_class.name)

    def spent(self, now: float, held: PendingRequest) -> bool:
        """Whether no further attempt of a request may be sent, wherever to."""
        return len(held.attempts) >= self._settings.max_attempts or not self.affords(now, held)

    def permits(self, now: float, held: PendingRequest, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        if server is not None:
            second = not self._settings.hedging_allowed and held.open_attempts()
            if self.spent(now, held) or second:
                return False
        ran = [a for a in held.attempts if a.may_have_run]
        if kind.idempotency is Idempotency.SAFE or not ran:
            return True
        if kind.idempotency is Idempotency.UNSAFE or server is None:
            return (
                kind.idempotency is Idempotency.IDEMPOTENCY_KEY
                and kind.idempotency_scope is IdempotencyScope.ALL
            )
        if now >= min(a.sent_at for a in ran) + kind.idempotency_window:
            return False
        return {group_of(kind.idempotency_scope, a.server.endpoint) for a in ran} == {
            group_of(kind.idempotency_scope, server.endpoint)
        }

    def send(self, now: float, held: PendingRequest, server: Server, out: list[Action]) -> None:
        """The next attempt of a request goes to this server."""
        name, number, conf = held.request.request_id, len(held.attempts), self._settings
        target, aim = (
            CACHE_TARGET if server.is_cache else ORIGIN_TARGET,
            held.request_class.latency_objective,
        )
        idle = 0.0 if server.in_flight else now - server.last_used_at
        if not self._connections.is_connected(now, server):
            if idle <= conf.connection_idle_timeout:
                out.append(CloseIdleConnections(server.endpoint.name))
            idle = math.inf
        kind, ran = held.request_class, [a.sent_at for a in held.attempts if a.may_have_run]
        within = (
            min(ran) + kind.idempotency_window - now
            if ran and kind.idempotency is Idempotency.IDEMPOTENCY_KEY
            else None
        )
        attempt = Attempt(
            server, target * aim, aim, held.request.work_hint or 1.0, now, idle, OVERDUE * aim
        )
        if self._links.has_links and server.is_cache:
            attempt.link_delay, attempt.round_trip = (
                self._links.expected_delay(server),
                self._links.round_trip(server),
            )
            attempt.hedge_delay += min(attempt.link_delay, MOST_LATER * aim)
        server.last_used_at = now
        self.out[name, number] = attempt
        held.attempts.append(attempt)
        if held.retry_tokens == 0:
            self.further.append(now)
        held.retry_tokens = max(0, held.retry_tokens - 1)
        server.in_flight += 1
        server.in_flight_work += attempt.cost
        self.ring_load += server.is_cache
        server.slow_start_tokens -= attempt.cost
        out.append(
            SendAttempt(name, server.endpoint.name, attempt_number=number, send_within=within)
        )
        if server.is_cache and held.request_class.idempotency is not Idempotency.UNSAFE:
            out.append(SetTimer(attempt.hedge_delay, f"late:{name}:{number}"))

    def ended(self, event: AttemptEnded) -> Attempt | None:
        """The attempt that an outcome is of, no longer counted as out; None if there is no such."""
        attempt = self.out.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        status, server = event.status, attempt.server
        attempt.is_open = False
        soon = event.latency < attempt.hedge_delay
        attempt.connection_broke = status in BROKEN and soon
        attempt.unanswered = status in UNHEARD and not soon
        attempt.may_have_run = status not in NEVER_RAN
        server.in_flight -= 1
        server.in_flight_work -= attempt.cost
        self.ring_load -= server.is_cache
        return attempt
