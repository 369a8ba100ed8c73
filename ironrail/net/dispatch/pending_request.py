"""A request as a router holds it, and the way of its long value."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ironrail.access_log.record import RequestOutcome
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.upstream.connection import Attempt

Answer = Callable[[bytes], None]


class Reader(Protocol):
    """Whoever is at the other end of a client's connection, where regions of readers are told apart."""

    def time_left(self, left: float) -> float:
        """Of so many seconds until the reader needs the answer, those in which it has to be ready."""

    def ended(self, request_class: str, seconds: float, ended: RequestOutcome) -> None:
        """A request of this reader has ended, so long after it was taken."""


class ResponseStream(Protocol):
    """Where a long value goes as it comes."""

    @property
    def reader(self) -> Reader | None:
        """Who gets it, where that is told apart."""

    @property
    def arrived_at(self) -> float | None:
        """When the request that is being taken may have come at the earliest; None for now."""

    def left(self, waited: bool) -> bool:
        """Whether its client has gone, told or not: nothing new is to begin for it.

        `waited`: since it was read, so that its end may have come and not be read yet.
        """

    def begin(self, head: bytes, hold: Callable[[bool], None]) -> None:
        """Its head; `hold` is to be told when the client takes no more for now, or again."""

    def more(self, data: bytes) -> None:
        """A piece of it."""

    def finish(self) -> None:
        """It was whole."""

    def cut(self) -> None:
        """The rest will never come, and the client is to see that."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is owed its one final answer."""

    request: str
    command: Command
    answer: Answer
    deadline: float
    timer: asyncio.TimerHandle
    passage: ResponseStream | None = None
    attempts: list[Attempt] = field(default_factory=list)
    streaming: Attempt | None = None  # the one whose long value its client is given
    streams_since: float = 0.0
    taken_at: float = 0.0
    length: int = 0  # bytes of the value that it was given
    reader: Reader | None = None
    read_late: float = 0.0  # seconds at most for which its last byte had waited unread

    def ended(self, now: float, ended: RequestOutcome) -> None:
        """Tell whoever wants to know."""
        if self.reader is not None:
            self.reader.ended(self.command.fields["c"], now - self.taken_at, ended)
