"""A request without a final response yet, and the interfaces to the client that sent it."""

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
    """The network region of a client, where latency is measured by region."""

    def time_left(self, seconds: float) -> float:
        """Return how many of `seconds` remain after the network latency to the client."""

    def request_ended(self, request_class: str, seconds: float, outcome: RequestOutcome) -> None:
        """Record the outcome of a request that ended `seconds` after it was received."""


class ResponseStream(Protocol):
    """The client's end of a long value, which is forwarded as it arrives."""

    @property
    def client_region(self) -> ClientRegion | None:
        """Region of the client, where latency is measured by region."""

    @property
    def arrived_at(self) -> float | None:
        """Earliest time at which the request may have arrived; None if it arrived just now."""

    def has_disconnected(self, waited: bool) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet.

        Args:
            waited: Whether time has passed since the request was read, so that the end of the
                connection may be in the socket unread.
        """

    def reserve(self, size: int) -> bool:
        """Reserve memory for a complete response of `size` bytes, if the client is slow.

        Returns:
            Whether there was enough.
        """

    def start(self, head: bytes, set_paused: Callable[[bool], None]) -> None:
        """Write the header; `set_paused(True)` is called while the client reads too slowly."""

    def write(self, data: bytes) -> None:
        """Write a chunk of the value."""

    def finish(self) -> None:
        """Finish a complete value."""

    def break_off(self) -> None:
        """End a value that will never be complete, such that the client notices."""

    def abort(self) -> None:
        """Abort the connection of a client that has left."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request without a final response yet. Times are in seconds on the monotonic clock."""

    request_id: str
    command: Command
    respond: Respond
    deadline: float
    timer: asyncio.TimerHandle  # fires at the deadline
    stream: ResponseStream | None = None
    attempts: list[Attempt] = field(default_factory=list)
    streamed_attempt: Attempt | None = None  # whose long value the client receives
    streaming_since: float = 0.0
    received_at: float = 0.0
    value_bytes: int = 0  # size of the value that the client receives
    client_region: ClientRegion | None = None
    read_delay: float = 0.0  # seconds for which its last byte may have been unread
    lacks_memory: bool = False  # to keep its response until the client reads it

    def report_end(self, now: float, outcome: RequestOutcome) -> None:
        """Report the outcome to the client's region, if there is one."""
        if self.client_region is not None:
            self.client_region.request_ended(
                self.command.fields["c"], now - self.received_at, outcome
            )


def client_timeout(command: Command) -> float:
    """Return the seconds for which the client waits for the response."""
    return float(command.fields["d"]) / MILLISECONDS_PER_SECOND


def time_left_for(client_region: ClientRegion | None, seconds: float) -> float:
    """Return how many of the client's `seconds` remain after the network latency to it."""
    if client_region is not None:
        seconds = client_region.time_left(seconds)
    return max(0.0, seconds)
