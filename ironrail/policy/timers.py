"""Timers that the policy asks its host to set.

`actions.SetTimer` carries one, and `events.TimerFired` returns it. A timer is never cancelled: one
that is not needed any more is ignored when it fires.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class HedgeDue:
    """An attempt is overdue, if it is still in flight: hedge or replace it. Set by each send."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class QueueWaitExpired:
    """A request that waits for a server has to be answered now. Set when it begins to wait."""

    request_id: str


@dataclass(slots=True, frozen=True)
class EndpointListPollDue:
    """The backoff before the next poll of the endpoint list is over."""


@dataclass(slots=True, frozen=True)
class OriginPauseEnded:
    """The pause of an origin is over: it may be sent to again."""


Timer = HedgeDue | QueueWaitExpired | EndpointListPollDue | OriginPauseEnded
