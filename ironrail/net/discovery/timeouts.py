"""Timeouts of calls to discovery: to an agent on this machine, and to a shared service.

They bound the staleness of the endpoint list while discovery can be reached, even if one call is
lost. A change at an agent is known within 0.85 s: a lost watch is detected after 0.45 s, then the
list is requested every 0.2 s, and hedged calls overlap, so that no single timeout has to fit into
the bound. A change at a service is known within 6 s of a failed call, and within 2 s of a watch
that timed out; until then the policy sends only to servers that have proved to work.
"""

from __future__ import annotations

from dataclasses import dataclass

# Two connects fit into the 1 s within which the router must stop sending to a draining server.
AGENT_CONNECT_TIMEOUT_SECONDS = 0.3
# Longer than the bound: later calls run beside a slow one, whose response is still used.
AGENT_FIRST_BYTE_TIMEOUT_SECONDS = 1.2
# An agent answers at once and calls to it are cheap, so a lost watch is detected early.
AGENT_WATCH_WAIT_SECONDS = 0.3
AGENT_WATCH_GRACE_SECONDS = 0.15
AGENT_CALL_INTERVAL_SECONDS = 0.2

# Long enough for one retransmission of a lost SYN, which takes 1 s.
SERVICE_CONNECT_TIMEOUT_SECONDS = 2.0
# A lost call, a backoff of 0.5 s and an answered call fit into 6 s.
SERVICE_FIRST_BYTE_TIMEOUT_SECONDS = 4.0
# Shorter after a watch timed out, so that a second attempt fits into the time that is left.
SERVICE_FIRST_BYTE_TIMEOUT_AFTER_WATCH_SECONDS = 0.7
SERVICE_WATCH_WAIT_SECONDS = 20.0
# The wait is spread by router index in both directions, which avoids a thundering herd when all
# watches time out at once.
SERVICE_WATCH_WAIT_SPREAD_SECONDS = 10.0
SERVICE_WATCH_GRACE_SECONDS = 0.5

# Bounds how long a change may be received in part and not yet usable.
RESPONSE_REST_TIMEOUT_SECONDS = 1.0

# Multiples of the golden ratio's fraction are spread evenly over [0, 1), however many there are.
_GOLDEN_RATIO_FRACTION = 0.6180339887

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Timeout:
    """Limits of one call, in seconds."""

    connect: float
    first_byte: float  # from the request to the first byte of its response
    rest: float  # from the first byte of the response to its last


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """How long a watch may take, in seconds."""

    wait: float  # how long discovery is asked to hold a watch without changes
    grace: float  # beyond `wait`, after which the watch counts as lost


def agent_timeout() -> Timeout:
    """Return the limits of a call to an agent on this machine."""
    return Timeout(
        AGENT_CONNECT_TIMEOUT_SECONDS,
        AGENT_FIRST_BYTE_TIMEOUT_SECONDS,
        RESPONSE_REST_TIMEOUT_SECONDS,
    )


def agent_watch_timing() -> WatchTiming:
    """Return the timing of a watch at an agent on this machine."""
    return WatchTiming(AGENT_WATCH_WAIT_SECONDS, AGENT_WATCH_GRACE_SECONDS)


def service_timeout() -> Timeout:
    """Return the limits of a call to a shared discovery service."""
    return Timeout(
        SERVICE_CONNECT_TIMEOUT_SECONDS,
        SERVICE_FIRST_BYTE_TIMEOUT_SECONDS,
        RESPONSE_REST_TIMEOUT_SECONDS,
    )


def service_watch_timing(router_index: int) -> WatchTiming:
    """Return the timing of a watch at a shared service, spread by the router's index."""
    position = 2.0 * (router_index * _GOLDEN_RATIO_FRACTION % 1.0) - 1.0
    wait = SERVICE_WATCH_WAIT_SECONDS + SERVICE_WATCH_WAIT_SPREAD_SECONDS * position
    return WatchTiming(wait, SERVICE_WATCH_GRACE_SECONDS)
