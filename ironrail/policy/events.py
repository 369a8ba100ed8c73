"""Events: what has happened, as the input of the policy.

A host passes them to `router.Router.handle`, one by one: the daemon's dispatcher, or the simulator.
Times are seconds on one clock that only advances.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ironrail.policy.endpoints import Endpoint, EndpointListKind
from ironrail.policy.timers import Timer


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error, or its answer was malformed
    BUSY = "busy"  # the server rejected it
    TIMEOUT = "timeout"
    # not delivered for any reason: no connection, server draining, or not completely written
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection was closed before the answer was complete
    CANCELLED = "cancelled"
    CANCELLED_BEFORE_SEND = "cancelled_before_send"  # cancelled while it waited for a connection
    MISS = "miss"
    NOT_SENT = "not_sent"  # withdrawn by the host; says nothing about the server


class LinkState(Enum):
    """State of the link to a zone."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SLOW = "slow"  # much slower than its baseline
    CUT = "cut"


@dataclass(slots=True, frozen=True)
class ZoneLink:
    """The link from the router's zone to another; an unknown one has the worst values."""

    state: LinkState = LinkState.UNKNOWN
    fastest: float = math.inf  # seconds of a quick round trip
    median: float = math.inf  # seconds of the median round trip
    loss_ratio: float = 1.0  # of round trips
    age: float = math.inf  # seconds since the evidence, when the event was emitted


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """Discovery has received an endpoint list or a watch event, or a call for it has failed."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    # seconds for which updates may have been missed; None if that does not limit their staleness
    uncertain_for: float | None = None


@dataclass(slots=True, frozen=True)
class PolicyOverridesChanged:
    """The operators' policy has changed. Emitted by the peers' runtime.

    Zones, classes and tenants that it does not name are not limited.
    """

    drained_zones: frozenset[str] = frozenset()  # zones whose servers get no new attempts
    # by request class: the excess load, as a fraction, from which the class is shed
    shed_thresholds: Mapping[str, float] = field(default_factory=dict)
    # by request class: the fraction of the retry budget that it may use
    retry_ratios: Mapping[str, float] = field(default_factory=dict)
    # by tenant: requests per second, of all routers together
    tenant_rates: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ZoneLinksChanged:
    """The links to other zones have changed. Emitted by the peers' runtime, only on changes."""

    links: Mapping[str, ZoneLink] = field(default_factory=dict)  # by zone


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request has arrived; it gets exactly one final answer within `time_left`."""

    request_id: str
    class_name: str
    time_left: float  # seconds until its client stops waiting
    key: str | None = None  # on the hash ring; None: its id is used
    work_hint: float | None = None  # expected work; 1 is that of a mean request
    is_write: bool = False
    tenant: str = ""


@dataclass(slots=True, frozen=True)
class StreamingStarted:
    """The host has begun to send the answer of an attempt on to the client."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended. The host emits exactly one for each `SendAttempt`."""

    request_id: str
    attempt_number: int
    status: AttemptStatus
    request_ended: bool = False  # the request ended too: answered, or its client disconnected
    latency: float = 0.0  # seconds from the send to the end


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected and gets no answer. Emitted by the host."""

    request_id: str


@dataclass(slots=True, frozen=True)
class DeadlineReached:
    """The client stops waiting now, and no attempt is in flight. Emitted by the host."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that `SetTimer` asked for is due. Emitted by the host."""

    timer: Timer


Event = (
    EndpointListUpdate
    | PolicyOverridesChanged
    | ZoneLinksChanged
    | RequestReceived
    | StreamingStarted
    | AttemptEnded
    | ClientDisconnected
    | DeadlineReached
    | TimerFired
)
