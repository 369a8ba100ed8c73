"""A connection of a router to the origin, and the request that is open on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.http import HttpConnection, HttpRequest
from ironrail.rehearsal.standins.world import World


class RequestHandler(Protocol):
    """What connections need of the origin server."""

    world: World
    name: str

    def handle_request(self, connection: OriginConnection, request: HttpRequest) -> None:
        """Called with each whole request."""


@dataclass(slots=True, eq=False)
class OriginRequest:
    """A request that has no response yet."""

    request: HttpRequest
    connection: OriginConnection
    attempt: Attempt
    key: str
    name: str  # id of the client's request


class OriginConnection(HttpConnection):
    """One connection of a router."""

    def __init__(self, endpoint: FaultyEndpoint, origin: RequestHandler) -> None:
        super().__init__(endpoint)
        self._origin = origin
        self.latest: OriginRequest | None = None

    def clock(self) -> float:
        """Seconds from the start of the measured load."""
        return self._origin.world.now()

    def handle_request(self, request: HttpRequest) -> None:
        """Passes a whole request to the origin."""
        self._origin.handle_request(self, request)

    def on_invalid_data(self, error: object) -> None:
        """Records a violation, unless the data was sent during a silence."""
        if not self.late:
            self._origin.world.record.stray(self.clock(), self._origin.name, f"not HTTP: {error}")

    def lost(self) -> None:
        """Ends the latest attempt."""
        if self.latest is not None:
            self.latest.attempt.end(Ended.LEFT, self.clock())
