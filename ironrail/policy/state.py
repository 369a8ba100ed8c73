"""The state of each server, attempt and request, and which part of the policy writes it.

Times are seconds on the host's clock. -inf stands for "never", and inf for "not known".
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import AttemptStatus, RequestReceived
from ironrail.policy.settings import RequestClass

INITIAL_CONCURRENCY_LIMIT = 4.0  # attempts of one router at one server; adapts within seconds
SMOOTHING_FACTOR = 0.2  # weight of the latest sample in an exponential moving average

# statuses of attempts that the server served, and of those that it answered at all
SERVED_STATUSES = (AttemptStatus.OK, AttemptStatus.MISS)
ANSWERED_STATUSES = (
    AttemptStatus.OK,
    AttemptStatus.MISS,
    AttemptStatus.ERROR,
    AttemptStatus.BUSY,
)


@dataclass(slots=True, frozen=True)
class AttemptId:
    """Identifies an attempt: those of a request are numbered from 0 in the order sent."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class AbandonedAttempt:
    """An attempt that was given up, but that its server may still work on."""

    sent_at: float
    counted_until: float


@dataclass(slots=True, eq=False)
class Server:
    """A server as this router sees it; `Membership` creates and drops it.

    Each group of fields is written by the part that is named before it.
    """

    # Membership
    endpoint: Endpoint
    is_cache: bool = True  # False: an origin

    # AttemptsInFlight
    in_flight: int = 0  # own attempts in flight
    in_flight_work: float = 0.0  # their expected work, 1 is that of a mean request

    # ConcurrencyLimiter
    abandoned: deque[AbandonedAttempt] = field(default_factory=deque)
    concurrency_limit: float = INITIAL_CONCURRENCY_LIMIT  # of own attempts in flight
    limit_decreased_at: float = -math.inf
    paused_until: float = -math.inf
    mean_latency: float = 0.0  # seconds, smoothed
    slowness: float = 0.0  # smoothed latency as a fraction of the latency target

    # ZoneLatency
    service_time: float = 0.0  # seconds, smoothed: the latency without the round trip

    # SlowStart
    slow_start_tokens: float = 0.0  # work that it may be sent while it warms up
    tokens_refilled_at: float = -math.inf

    # OutlierDetection
    consecutive_losses: int = 0  # attempts in a row without any answer
    ejected_until: float = -math.inf
    connect_failed_at: float = -math.inf
    last_success_sent_at: float = -math.inf  # send of the latest hit or miss

    # ConnectionHealth
    last_used_at: float = -math.inf  # latest send or answer on a connection
    connect_refused: bool = False  # fast refusal since the latest answer on a new connection


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a server. `AttemptSender` creates it.

    `AttemptsInFlight` sets the fields of the last group when the attempt ends.
    """

    server: Server
    latency_target: float  # seconds; a mean above it shows that the server is overloaded
    latency_objective: float  # seconds, of the request's class
    cost: float  # expected work, 1 is that of a mean request
    sent_at: float
    connection_idle: float  # seconds for which its connection was unused; inf: a new connection
    hedge_delay: float  # seconds without an answer after which it is overdue
    link_delay: float = 0.0  # seconds by which the link may delay its answer
    round_trip: float = 0.0  # seconds of a round trip to the server's zone at its send

    is_open: bool = True
    may_have_run: bool = True  # the server may have carried it out, or may yet
    connection_broke: bool = False  # before it was overdue; the server itself is likely healthy
    unanswered: bool = False  # it was overdue when it ended without an answer

    def mark_overdue(self) -> None:
        """Count the attempt as overdue even if its timer fired early, by rounding."""
        self.hedge_delay = 0.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer so far. The router creates and drops it."""

    request: RequestReceived
    key: str  # on the hash ring
    request_class: RequestClass
    give_up_at: float  # time after which an answer would be late
    needs_origin: bool  # is not sent to caches (any more); RetryPolicy sets it after a failure
    hot_key_offset: int = 0  # servers of a popular key to skip on the ring, to spread its load
    attempts: list[Attempt] = field(default_factory=list)  # appended by AttemptSender
    # attempts, the first included, that need no retry budget; RetryBudget owns it
    free_attempts: int = 1
    is_queued: bool = False  # waits for an origin, or for any server; OriginQueue owns it
    is_streaming: bool = False  # its answer is being sent to the client

    def open_attempt_count(self) -> int:
        """Count the attempts that have not ended."""
        return sum(attempt.is_open for attempt in self.attempts)
