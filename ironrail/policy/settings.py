"""Settings of the policy, passed once at its start. Times are seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether requests of a class may be repeated."""

    SAFE = "safe"
    IDEMPOTENCY_KEY = "keyed"  # servers of one scope ignore repeats of a key for some time
    UNSAFE = "unsafe"


class IdempotencyScope(Enum):
    """Which servers know each other's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and what its clients expect."""

    name: str
    latency_objective: float  # seconds within which an answer is in time
    idempotency: Idempotency = Idempotency.SAFE
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0  # seconds for which a server remembers a key
    priority_weight: float = 1.0  # the highest weight is sent first to the origin
    client_timeout: float = math.inf  # seconds that a client waits at most


@dataclass(slots=True, frozen=True)
class RetryBudgetSettings:
    """Allows `reserve + ratio x requests` retries and hedged requests in any `window`."""

    reserve: float  # attempts
    ratio: float  # attempts for each request received
    window: float  # seconds


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings that decisions depend on."""

    classes: dict[str, RequestClass]  # by name
    timer_resolution: float = 0.005  # seconds by which a timer may fire early or late

    # the origin
    cache_aside: bool = False  # the router fetches from the origin what a cache lacks
    origin_kind: str | None = None  # `Endpoint.kind` of the origins

    # discovery
    polls_endpoint_list: bool = False  # the list is polled, not pushed
    # seconds without a poll until the list counts as stale; four times that after a failed one
    poll_interval: float = math.inf

    # attempts
    hedging_allowed: bool = False  # a request may have two attempts in flight
    cancellation_allowed: bool = False
    max_attempts: int = 1  # of one request
    retry_budget: RetryBudgetSettings | None = None  # None: a default

    # servers that warm up
    slow_start_share: float = 0.3  # fraction of its capacity that a server has when it starts
    slow_start_duration: float = 10.0  # seconds until it has its full capacity
    overload_multiple: float = 2.0  # multiple of a fair load that overloads a warming server
    overload_window: float = 1.0  # seconds over which that load is counted

    # the routers
    router_index: int = 0  # of this router, from 0
    router_count: int = 1
    live_weights: bool = False  # endpoint weights depend on the load, not on capacity alone
    names_tenants: bool = True  # each request names its tenant

    # connections
    connections_are_costly: bool = False  # servers support few open connections
    connect_timeout: float = 0.25  # seconds
    connection_idle_timeout: float = 15.0  # seconds without use, after which the host closes it
