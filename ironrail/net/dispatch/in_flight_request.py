"""A request that awaits its final response, and the interfaces to the client that sent it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ironrail.access_log.record import RequestOutcome
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.upstream.connection import Attempt

Respond = Callable[[bytes], None]

MILLISECONDS_PER_SECOND = 1000


class ClientRegion(Protocol):
    """The network region that a client reads from, where regions are measured separately."""

    def time_left(self, seconds: float) -> float:
        """Return how many of the client's `seconds` remain without the way to the client."""

    def ended(self, request_class: str, seconds: float, ended: RequestOutcome) -> None:
        """Record a request that ended `seconds` after it was received."""


class ResponseStream(Protocol):
    """The client's end of a long value, which is forwarded as it arrives."""

    @property
    def reader(self) -> ClientRegion | None:
        """Region of the client, where regions are measured separately."""

    @property
    def arrived_at(self) -> float | None:
        """Earliest time at which the request may have arrived; None for now."""

    def has_disconnected(self, waited: bool) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet.

        Args:
            waited: Time has passed since the request was read, so the end of the connection may
                be in the socket unread.
        """

    def start(self, head: bytes, hold: Callable[[bool], None]) -> None:
        """Write the head; `hold` is called with True when the client is slow, then with False."""

    def write(self, data: bytes) -> None:
        """Write a part of the value."""

    def finish(self) -> None:
        """End a value that is complete."""

    def abort(self) -> None:
        """Abort a value that will never be complete, so that the client notices."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that awaits its one final response. Times are seconds on the monotonic clock."""

    request_id: str
    command: Command
    respond: Respond
    deadline: float
    timer: asyncio.TimerHandle  # fires at the deadline
    stream: ResponseStream | None = None
    attempts: list[Attempt] = field(default_factory=list)
    streamed_attempt: Attempt | None = None  # the one whose long value the client receives
    streaming_since: float = 0.0
    received_at: float = 0.0
    value_bytes: int = 0  # of the value that the client receives
    reader: ClientRegion | None = None
    read_delay: float = 0.0  # seconds for which its last byte may have waited unread

    def report_end(self, now: float, outcome: RequestOutcome) -> None:
        """Report the outcome to the region that the client reads from."""
        if self.reader is not None:
            self.reader.ended(self.command.fields["c"], now - self.received_at, outcome)


def client_timeout(command: Command) -> float:
    """Return the seconds for which the client waits for the response."""
    return float(command.fields["d"]) / MILLISECONDS_PER_SECOND
