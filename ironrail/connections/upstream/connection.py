"""The state of a connection to a server, and of the attempts in flight on it."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum


class ConnectionState(Enum):
    """State of a connection."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"  # not written to any more; the host may not have reported its end yet


class ReplyState(Enum):
    """What has arrived of the reply to the oldest attempt in flight."""

    NONE = "none"
    PARTIAL = "partial"
    STREAMING = "streaming"  # a long value that is forwarded to its client as it arrives
    PAUSED = "paused"  # the same, while the client is slow and nothing is read


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; hosts add the fields that they need to carry it out.

    Times are seconds on the host's clock.
    """

    request_id: str
    number: int
    sent_at: float  # when it was handed to the pool
    deadline: float  # when the host stops waiting for it
    is_exclusive: bool = field(default=False, init=False)  # must be alone on its connection
    is_open: bool = field(default=True, init=False)  # has no outcome yet
    connection: UpstreamConnection | None = field(default=None, init=False)  # once written
    written_at: float = field(default=0.0, init=False)


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """One connection. Times are seconds on the host's clock."""

    address: Hashable
    in_flight: deque[Attempt] = field(default_factory=deque)  # includes abandoned ones
    connect_started_at: float = 0.0
    opened_at: float = 0.0
    state: ConnectionState = ConnectionState.CONNECTING
    reply_state: ReplyState = ReplyState.NONE
    is_new: bool = True  # no reply has arrived on it
    is_over_limit: bool = False  # the server has too many and rejects all requests on this one
    last_used_at: float = 0.0
    last_read_at: float = 0.0
    idle_before_write: float = 0.0  # seconds without use before the attempts in flight
    has_unsent_bytes: bool = False  # the kernel has not accepted the last bytes written

    @property
    def is_streaming(self) -> bool:
        """Whether a long value is being forwarded to its client."""
        return self.reply_state in STREAMING_STATES

    def is_abandoned(self) -> bool:
        """Whether no attempt in flight awaits its reply."""
        return not any(attempt.is_open for attempt in self.in_flight)

    def is_blocked(self) -> bool:
        """Whether another attempt would queue behind a reply that may never end."""
        if self.reply_state is not ReplyState.NONE or self.is_over_limit:
            return True
        return not all(attempt.is_open and not attempt.is_exclusive for attempt in self.in_flight)


STREAMING_STATES = (ReplyState.STREAMING, ReplyState.PAUSED)
