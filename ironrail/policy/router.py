"""Every decision of a router, as a state machine without I/O.

Its input are events (`ironrail/policy/events.py`), its output actions
(`ironrail/policy/actions.py`). Each other module of this package makes one kind of decision and
owns the state for it. The router connects these parts and passes each event to those it concerns.
"""

from __future__ import annotations

import random

from ironrail.policy.actions import Action, FetchEndpointList
from ironrail.policy.admission import AdmissionControl
from ironrail.policy.attempt_sender import AttemptSender
from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.candidate_selection import CandidateSelection
from ironrail.policy.concurrency_limit import ConcurrencyLimiter
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.policy.event_context import EventContext
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
from ironrail.policy.hedging import HedgingPolicy
from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.membership import Membership, ServerCounts
from ironrail.policy.origin_queue import OriginQueue
from ironrail.policy.outlier_detection import OutlierDetection
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.request_lifecycle import RequestLifecycle
from ironrail.policy.retry_budget import RetryBudget
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import Attempt, PendingRequest
from ironrail.policy.timers import (
    EndpointListPollDue,
    HedgeDue,
    OriginPauseEnded,
    QueueWaitExpired,
    Timer,
)
from ironrail.policy.zone_latency import ZoneLatency


class Router:
    """One router's decisions. The same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.context = EventContext(now)
        self._random = random.Random(seed)
        self._wire_fleet(now)
        self._wire_attempts()
        self.requests = self._new_request_lifecycle()

    def _wire_fleet(self, now: float) -> None:
        """Create the parts that keep the state of the servers and the operators' overrides."""
        settings = self.settings
        self.policy_overrides = PolicyOverrides(settings)
        self.zone_latency = ZoneLatency()
        self.discovery_freshness = DiscoveryFreshness(settings)
        self.membership = Membership(settings, self._random, self.discovery_freshness)
        self.servers = self.membership.servers
        self.slow_start = SlowStart(settings, self._random, now)
        self.ring = HashRing(settings, self.slow_start, self.policy_overrides)
        self.concurrency_limiter = ConcurrencyLimiter(settings)
        self.connection_health = ConnectionHealth(settings, now)
        self.load_shedding = LoadShedding(
            settings, self._random, now, self.slow_start, self.policy_overrides
        )
        self.outlier_detection = OutlierDetection(
            settings, self._random, self.slow_start, self.load_shedding, self.connection_health
        )

    def _wire_attempts(self) -> None:
        """Create the parts that decide on the attempts of requests."""
        settings = self.settings
        self.admission = AdmissionControl(self.load_shedding, self.policy_overrides)
        self.attempts_in_flight = AttemptsInFlight()
        self.retry_budget = RetryBudget(settings, self.policy_overrides)
        self.retry_policy = RetryPolicy(settings, self.retry_budget)
        self.hedging = HedgingPolicy(self.retry_policy, self.load_shedding)
        self.origin_queue = OriginQueue()
        self.candidate_selection = CandidateSelection(
            self.servers,
            self.ring,
            self.attempts_in_flight,
            self.retry_policy,
            self.concurrency_limiter,
            self.slow_start,
            self.connection_health,
            self.discovery_freshness,
            self.zone_latency,
        )
        self.attempt_sender = AttemptSender(
            self.attempts_in_flight,
            self.retry_budget,
            self.retry_policy,
            self.connection_health,
            self.slow_start,
            self.zone_latency,
        )

    def _new_request_lifecycle(self) -> RequestLifecycle:
        return RequestLifecycle(
            settings=self.settings,
            context=self.context,
            random=self._random,
            servers=self.servers,
            ring=self.ring,
            admission=self.admission,
            attempts_in_flight=self.attempts_in_flight,
            retry_budget=self.retry_budget,
            retry_policy=self.retry_policy,
            hedging=self.hedging,
            origin_queue=self.origin_queue,
            candidate_selection=self.candidate_selection,
            attempt_sender=self.attempt_sender,
            load_shedding=self.load_shedding,
        )

    @property
    def now(self) -> float:
        """Seconds on the host's clock, of the latest event."""
        return self.context.now

    @property
    def pending_requests(self) -> dict[str, PendingRequest]:
        """The requests without a final answer so far, by request id."""
        return self.requests.pending_requests

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions, to be carried out in order."""
        self.context.begin(now)
        match event:
            case AttemptEnded():
                self._on_attempt_ended(event)
            case RequestReceived():
                self.requests.on_request_received(event)
            case TimerFired(timer):
                self._on_timer_fired(timer)
            case EndpointListUpdate():
                self._on_endpoint_list_update(event)
            case PolicyOverridesChanged():
                self._on_policy_overrides_changed(event)
            case ZoneLinksChanged():
                self.zone_latency.update(event)
            case ClientDisconnected(request_id):
                self.requests.on_client_disconnected(request_id)
            case DeadlineReached(request_id):
                self.requests.on_deadline_reached(request_id)
            case StreamingStarted(request_id, attempt_number):
                self.requests.on_streaming_started(request_id, attempt_number)
        return self.context.actions

    def server_counts(self, now: float) -> ServerCounts:
        """Return how many servers are listed, and how many of them are draining or ejected."""
        return self.membership.count_servers(now)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts_in_flight.finish(event)
        if attempt is None:
            return
        if event.status is not AttemptStatus.NOT_SENT:
            self._learn_from(attempt, event)
        self.requests.on_attempt_ended(attempt, event)
        if not attempt.server.is_cache:
            self.requests.serve_queue()

    def _learn_from(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Let each part learn about the server from the end of an attempt."""
        now = self.context.now
        actions = self.context.actions
        if self.concurrency_limiter.servers_are_shared and attempt.server.is_cache:
            self.concurrency_limiter.track_abandoned(now, attempt, event.status)
        self.outlier_detection.on_attempt_ended(now, attempt, event, actions)
        self.concurrency_limiter.on_attempt_ended(now, attempt, event, actions)
        self.zone_latency.on_attempt_ended(attempt, event)

    def _on_endpoint_list_update(self, event: EndpointListUpdate) -> None:
        if self.membership.update(self.context.now, event, self.context.actions):
            self.ring.needs_rebuild = True
            self.requests.advance_queued()

    def _on_policy_overrides_changed(self, event: PolicyOverridesChanged) -> None:
        self.policy_overrides.update(event)
        self.ring.needs_rebuild = True

    def _on_timer_fired(self, timer: Timer) -> None:
        match timer:
            case HedgeDue(request_id, attempt_number):
                self.requests.on_hedge_due(request_id, attempt_number)
            case QueueWaitExpired(request_id):
                self.requests.on_queue_wait_expired(request_id)
            case EndpointListPollDue():
                self.context.actions.append(FetchEndpointList())
                self.requests.serve_queue()
            case OriginPauseEnded():
                self.requests.serve_queue()
