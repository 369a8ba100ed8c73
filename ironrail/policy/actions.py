"""Actions: what the policy orders its host to do.

`router.Router.handle` returns them, and its host carries them out in order. Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ironrail.policy.timers import Timer


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send a request to a server. Emitted for first attempts, retries and hedged requests alike."""

    request_id: str
    server: str
    timeout: float | None = None  # seconds; None: until the client stops waiting
    # number of this attempt among those of its request, from 0 in the order sent
    attempt_number: int = field(default=0, compare=False)
    # seconds within which all of it must be sent, or else it must not be sent; None: no bound
    send_within: float | None = None


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Answer that the request was not carried out and may safely be retried."""

    request_id: str
    retry_after: float | None = None  # seconds that the client is asked to wait


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Answer that the request failed; whether it took effect is unknown."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt; its server may go on with it. It still ends with an event."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the connections to a server that carry no attempt: they are likely broken."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Emit `TimerFired` with this timer after a delay."""

    delay: float  # seconds
    timer: Timer


@dataclass(slots=True, frozen=True)
class FetchEndpointList:
    """Call discovery for the endpoint list, and watch it from then on."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | CloseIdleConnections
    | SetTimer
    | FetchEndpointList
    | LogMessage
)
