"""A connection of a router to its agent, and the call that is open on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ironrail.rehearsal.standins.faulty_endpoint import Door
from ironrail.rehearsal.standins.http import HttpConnection, HttpRequest, write_response

MOST_WAIT = 60.0  # seconds of a watch
JSON = ("Content-Type", "application/json")


def asked_of(target: str) -> tuple[str, int | None, float]:
    """The path of a call, the version from which it watches, if it does, and for how long."""
    url = urlsplit(target)
    query = parse_qs(url.query)
    if "index" not in query:
        return url.path, None, 0.0
    return url.path, int(query["index"][0]), min(float(query.get("wait", ["0"])[0]) / 1000, MOST_WAIT)


class AgentConnection(HttpConnection):
    """One call at a time, answered by the agent."""

    def __init__(
        self,
        door: Door,
        clock: Callable[[], float],
        take: Callable[[AgentConnection, HttpRequest], None],
        left: Callable[[AgentConnection], None],
    ) -> None:
        super().__init__(door)
        self._clock, self._take, self._left = clock, take, left
        self.watching_from: int | None = None
        self.answered_at: float | None = None  # the latest call, on the loop's clock as all here
        self.waits_until = 0.0  # the call in hand
        self.queued = False  # it waited at the desk
        self.mute = False  # it, and any behind it, is never answered
        self.timer: asyncio.TimerHandle | None = None

    @property
    def asks(self) -> bool:
        """Whether a call is open."""
        return self._in_hand is not None

    def clock(self) -> float:
        return self._clock()

    def took(self, request: HttpRequest) -> None:
        self._take(self, request)

    def lost(self) -> None:
        self._left(self)

    def respond_half(self, data: bytes, closes: bool) -> bool:
        """Half of an answer, and then a close or nothing more; whether it closes."""
        whole = write_response(200, data, JSON)
        self.respond(200, b"", raw=whole[: len(whole) // 2])
        if closes:
            self.transport.close()
        return closes
