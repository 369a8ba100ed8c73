"""One connection of a router to the archive, and the request that is in hand on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.standins.faulty_endpoint import Door
from ironrail.rehearsal.standins.http import HttpConnection, HttpRequest
from ironrail.rehearsal.standins.world import World


class Taking(Protocol):
    """The archive, to the connections that come up at its doors."""

    world: World
    name: str

    def take(self, connection: ArchiveConnection, request: HttpRequest) -> None:
        """A whole request has come."""


@dataclass(slots=True, eq=False)
class Fetch:
    """One request in hand."""

    request: HttpRequest
    connection: ArchiveConnection
    attempt: Attempt
    key: str
    name: str  # the id of the client's request


class ArchiveConnection(HttpConnection):
    """One connection of a router."""

    def __init__(self, door: Door, archive: Taking) -> None:
        super().__init__(door)
        self._archive = archive
        self.fetch: Fetch | None = None

    def clock(self) -> float:
        return self._archive.world.now()

    def took(self, request: HttpRequest) -> None:
        self._archive.take(self, request)

    def unreadable(self, fault: object) -> None:
        if not self.late:
            self._archive.world.record.stray(self.clock(), self._archive.name, f"not HTTP: {fault}")

    def lost(self) -> None:
        if self.fetch is not None:
            self.fetch.attempt.end(Ended.LEFT, self.clock())
