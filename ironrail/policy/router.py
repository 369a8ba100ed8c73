"""Every decision of a router, as a state machine without I/O.

Events (`ironrail/policy/events.py`) go in, actions (`ironrail/policy/actions.py`) come out. Each module
beside this one decides one thing and keeps the state it needs.
"""

from __future__ import annotations

import random

from ironrail.policy import actions
from ironrail.policy.actions import Action
from ironrail.policy.candidate_selection import CandidateSelection
from ironrail.policy.concurrency_limit import ConcurrencyLimiter
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    DeadlineReached,
    EndpointListUpdate,
    Event,
    PolicyOverridesChanged,
    RequestReceived,
    StreamingStarted,
    TimerFired,
    ZoneLinksChanged,
)
from ironrail.policy.hash_ring import HashRing
from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.membership import Membership
from ironrail.policy.origin_queue import OriginQueue, in_time
from ironrail.policy.outlier_detection import OutlierDetection
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Idempotency, RequestClass, Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import PendingRequest
from ironrail.policy.zone_latency import ZoneLatency


class Router:
    """One router's decisions. The same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.now, self.random = now, random.Random(seed)
        self.out: list[Action] = []  # answers to the event in hand
        self.held: dict[str, PendingRequest] = {}
        self.asking = DiscoveryFreshness(settings)
        self.news = Membership(settings, self.random, self.asking)
        self.servers = self.news.servers
        self.cold = SlowStart(settings, self.random, now)
        self.guide = PolicyOverrides(settings)
        self.load_shedding = LoadShedding(settings, self.random, now, self.cold, self.guide)
        self.connections = ConnectionHealth(settings, now)
        self.health = OutlierDetection(
            settings, self.random, self.cold, self.load_shedding, self.connections
        )
        self.limits = ConcurrencyLimiter(settings)
        self.links = ZoneLatency()
        self.attempts = RetryPolicy(settings, self.connections, self.guide, self.links)
        self.ring = HashRing(settings, self.cold, self.guide)
        parts = self.attempts, self.limits, self.cold, self.connections, self.asking, self.links
        self.walk = CandidateSelection(self.servers, self.ring, *parts)
        self.queue = OriginQueue()  # for a place at the origin

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = now, []
        match event:
            case AttemptEnded():
                self._on_outcome(event)
            case RequestReceived():
                self._on_request(event)
            case TimerFired(token) if token.startswith("late:"):
                self._on_overdue(*token[5:].rsplit(":", 1))
            case TimerFired():
                self._on_timer(event)
            case EndpointListUpdate():
                self._on_list(event)
            case PolicyOverridesChanged():
                self.guide.update(event)
                self.ring.needs_rebuild = True
            case ZoneLinksChanged():
                self.links.update(event)
            case ClientDisconnected(name) if name in self.held:
                self._forget(self.held[name])
            # its own timer may be due an instant later
            case DeadlineReached(name) if name in self.held:
                self._end(self.held[name])
            case StreamingStarted(name, number) if name in self.held:
                self._on_streaming(self.held[name], number)
        return self.out

    def listed(self, now: float) -> tuple[int, int]:
        """Servers in the list, and those that nothing is sent to now: drained, or lost not long ago."""
        return self.news.count_unavailable(now)

    def _on_list(self, event: EndpointListUpdate) -> None:
        if not self.news.update(self.now, event, self.out):
            return
        self.ring.needs_rebuild = True
        self.queue.clear()
        for held in [h for h in self.held.values() if h.is_queued]:
            held.is_queued = False
            self._advance(held)

    def _build_ring(self) -> None:
        self.out += self.ring.rebuild(self.now, self.servers)

    def _on_request(self, request: RequestReceived) -> None:
        conf = self.settings
        known = conf.classes.get(request.class_name)
        kind = known or RequestClass(request.class_name, 0.0, Idempotency.UNSAFE)
        due = self.now + min(request.time_left - conf.timer_resolution, kind.latency_objective)
        key, to_origin = request.key or request.request_id, conf.cache_aside and request.is_write
        held = PendingRequest(request, key, kind, due, to_origin)
        self.held[request.request_id] = held
        held.hot_key_offset = self.random.randrange(self.ring.count_replicas(held.key))
        self.attempts.taken.append(self.now)
        shed = not held.needs_origin and self.load_shedding.should_shed(kind.name)
        if shed or self.guide.exceeds_tenant_rate(self.now, request.tenant):
            self._end(held)
        else:
            self._advance(held)

    def _on_streaming(self, held: PendingRequest, number: int) -> None:
        """The client is given the answer of one attempt: no other one is waited for, nor sent."""
        held.is_streaming, held.is_queued = True, False
        for other, attempt in enumerate(held.attempts):
            if other != number and attempt.is_open and self.settings.cancellation_allowed:
                self.out.append(actions.CancelAttempt(held.request.request_id, other))

    def _advance(self, held: PendingRequest) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        if self.ring.needs_rebuild:
            self._build_ring()
        if self.now >= held.give_up_at:
            self._end(held)
        elif self.ring.virtual_nodes and not held.needs_origin:
            server = self.walk.choose(self.now, held)
            if server is None:
                self._end(held)
            else:
                self.attempts.send(self.now, held, server, self.out)
        else:
            self._wait(held)

    def _wait(self, held: PendingRequest) -> None:
        """Hold a request for a place at the origin, with a timer: it is answered in time whatever comes."""
        self.out.append(
            actions.SetTimer(held.give_up_at - self.now, "wait:" + held.request.request_id)
        )
        self.queue.add(held, len(self.held))
        self._serve_queue()

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == "list":
            self.out.append(actions.FetchEndpointList())
        self._serve_queue()
        held = self.held.get(event.token.partition(":")[2])
        # half a tick of grace: rounding may wake us a hair before `until`, and no other timer would come
        if (
            held is not None
            and held.is_queued
            and self.now >= held.give_up_at - self.settings.timer_resolution / 2
        ):
            self._end(held)

    def _on_overdue(self, name: str, number: str) -> None:
        """Guards against servers that answer nothing: a second copy, or one in its place, while calm."""
        held, attempt = self.held.get(name), self.attempts.out.get((name, int(number)))
        if held is None or attempt is None:
            return
        if held.is_queued or held.is_streaming or held.needs_origin:
            return
        is_late = self.load_shedding.is_uncongested(attempt.latency_objective)
        if not is_late or held.open_attempts() > 1 or self.attempts.spent(self.now, held):
            return
        if self.settings.hedging_allowed:
            usable = self.ring.virtual_nodes and not self.ring.needs_rebuild
            server = self.walk.choose(self.now, held) if usable else None
            if server is not None:
                self.attempts.send(self.now, held, server, self.out)
        elif self.settings.cancellation_allowed:
            attempt.hedge_delay = 0.0  # its timer may fire a fraction of a tick early
            self.out.append(actions.CancelAttempt(name, int(number)))

    def _end(self, held: PendingRequest) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if held.is_streaming or held.open_attempts():
            held.is_queued = False
            return
        name = held.request.request_id
        pause = max(self.settings.timer_resolution, self.load_shedding.mean_latency)
        refusable = self.attempts.permits(self.now, held, None)
        self.out.append(
            actions.RejectRequest(name, pause) if refusable else actions.FailRequest(name)
        )
        self._forget(held)

    def _forget(self, held: PendingRequest) -> None:
        held.is_queued = False
        del self.held[held.request.request_id]
        for number, attempt in enumerate(held.attempts):
            if attempt.is_open and self.settings.cancellation_allowed:
                self.out.append(actions.CancelAttempt(held.request.request_id, number))

    def _on_outcome(self, event: AttemptEnded) -> None:
        attempt = self.attempts.ended(event)
        if attempt is None:
            return
        now, out, cache = self.now, self.out, attempt.server.is_cache
        if event.status is not AttemptStatus.NOT_SENT:
            if self.limits.servers_are_shared and cache:
                self.limits.track_abandoned(now, attempt, event.status)
            self.health.on_attempt_ended(now, attempt, event, out)
            self.limits.on_attempt_ended(now, attempt, event, out)
            self.links.on_attempt_ended(attempt, event)
        held = self.held.get(event.request_id)
        missed = event.status is AttemptStatus.MISS and self.settings.hedging_allowed
        if held is not None:
            if event.request_ended or event.status is AttemptStatus.OK:
                self._forget(held)
            elif not (held.is_queued or held.is_streaming) and (
                not held.open_attempts() or missed and not held.needs_origin
            ):
                self._after_failure(held, event)
        if not cache:
            self._serve_queue()

    def _after_failure(self, held: PendingRequest, event: AttemptEnded) -> None:
        """The origin is next, where it is ours to ask; else a retry at a cache, while the budget lasts."""
        held.retry_tokens += event.status is AttemptStatus.MISS
        held.needs_origin |= (
            self.settings.cache_aside and not held.attempts[event.attempt_number].connection_broke
        )  # others lack it
        self._advance(held) if self.attempts.affords(self.now, held) else self._end(held)

    def _serve_queue(self) -> None:
        while (found := self.queue.take(self.now, self.servers)) is not None:
            held, origin = found
            if self.attempts.permits(self.now, held, origin) and in_time(self.now, held, origin):
                self.attempts.send(self.now, held, origin, self.out)
            else:
                self._end(held)
