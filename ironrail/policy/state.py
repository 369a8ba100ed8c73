"""What a router keeps of each server, attempt and request. Times are seconds on the host's clock."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import AttemptStatus, RequestReceived
from ironrail.policy.settings import RequestClass

LIMIT_START = 4.0  # first guess of what one router may have out at a server; moves within seconds
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
SERVED = (AttemptStatus.OK, AttemptStatus.MISS)
ANSWERED = (AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.ERROR, AttemptStatus.BUSY)


@dataclass(slots=True, eq=False)
class Server:  # as this router sees it
    endpoint: Endpoint
    is_cache: bool = True  # or the origin
    in_flight: int = 0  # own attempts in flight
    in_flight_work: float = 0.0  # expected, in them
    abandoned: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # given up: sent at, counted until
    concurrency_limit: float = LIMIT_START  # of own attempts in flight
    limit_cut_at: float = -math.inf
    paused_until: float = -math.inf
    mean_latency: float = 0.0  # smoothed
    service_time: float = 0.0  # the same without the link there, where that is known
    slowness: float = 0.0  # smoothed share of the target that answers take
    slow_start_tokens: float = 0.0  # of work that it may be sent while warming
    tokens_refilled_at: float = -math.inf
    consecutive_losses: int = 0  # in a row, of attempts that no answer came to
    ejected_until: float = -math.inf  # passed over until then
    last_used_at: float = -math.inf  # latest sign of life on a connection to it
    connect_failed_at: float = -math.inf  # when a connect to it last failed
    proven_at: float = -math.inf  # when the latest attempt was sent that it served or missed
    # a connect to it, at once, since it last answered on a new connection
    connect_refused: bool = False


@dataclass(slots=True, eq=False)
class Attempt:  # one send of a request
    server: Server
    latency_target: float  # slower than this means too many are out
    latency_objective: float  # of its class
    cost: float  # expected work, 1 where no hint is given
    sent_at: float
    # time its connection was unused, infinite if new; losses within an objective are the server's
    connection_idle: float
    hedge_delay: float  # seconds without an answer after which it may be lost
    link_delay: float = 0.0  # seconds by which its answer may be later, as the link there is long
    round_trip: float = 0.0  # seconds there and back when it was sent, as far as known
    is_open: bool = True
    may_have_run: bool = True  # until an outcome proves the contrary
    # soon, by its connection: the same server most likely still has the key
    connection_broke: bool = False
    unanswered: bool = False  # no answer came for long


@dataclass(slots=True, eq=False)
class PendingRequest:  # a request that is owed its final answer
    request: RequestReceived
    key: str
    request_class: RequestClass
    give_up_at: float  # no use in waiting for longer
    needs_origin: bool
    # servers of its key to pass over, as others take their part of a popular key
    hot_key_offset: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    retry_tokens: int = 1  # sends that need no budget: the first, and one for each miss
    is_queued: bool = False  # for a place at the origin, or for any server at all
    is_streaming: bool = False

    def open_attempts(self) -> int:
        return sum(a.is_open for a in self.attempts)
