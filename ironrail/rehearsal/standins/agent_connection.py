"""A connection of a router to its discovery agent, and the call that is open on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.http import HttpConnection, HttpRequest, write_response

MAX_WATCH_SECONDS = 60.0
JSON = ("Content-Type", "application/json")


def parse_target(target: str) -> tuple[str, int | None, float]:
    """Parses the target of a call.

    Returns:
        The path, the version that the call watches from (if any), and its wait in seconds.
    """
    url = urlsplit(target)
    query = parse_qs(url.query)
    if "index" not in query:
        return url.path, None, 0.0
    return (
        url.path,
        int(query["index"][0]),
        min(float(query.get("wait", ["0"])[0]) / 1000, MAX_WATCH_SECONDS),
    )


class AgentConnection(HttpConnection):
    """One connection of a router; the agent answers one call at a time on it."""

    def __init__(
        self,
        endpoint: FaultyEndpoint,
        clock: Callable[[], float],
        handle_request: Callable[[AgentConnection, HttpRequest], None],
        on_lost: Callable[[AgentConnection], None],
    ) -> None:
        super().__init__(endpoint)
        self._clock, self._handle_request, self._on_lost = clock, handle_request, on_lost
        # all times here are on the event loop's clock
        self.watching_from: int | None = None  # version
        self.answered_at: float | None = None  # the latest call
        self.waits_until = 0.0  # the open call
        self.queued = False  # the call went through the queue of the discovery service
        self.mute = False  # the open call and any after it are never answered
        self.timer: asyncio.TimerHandle | None = None

    @property
    def has_open_call(self) -> bool:
        """Whether a call is open."""
        return self._request is not None

    def clock(self) -> float:
        """Seconds from the start of the measured load."""
        return self._clock()

    def handle_request(self, request: HttpRequest) -> None:
        """Passes a whole request to the agent."""
        self._handle_request(self, request)

    def lost(self) -> None:
        """Tells the agent that the connection has ended."""
        self._on_lost(self)

    def respond_half(self, data: bytes, closes: bool) -> bool:
        """Sends half of an answer, then closes the connection or stays silent; returns `closes`."""
        whole = write_response(200, data, JSON)
        self.respond(200, b"", raw=whole[: len(whole) // 2])
        if closes:
            self.transport.close()
        return closes
