"""A host of the decisions about one server that has no socket, and keeps the books."""

from __future__ import annotations

from collections import deque

from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.pool_actions import (
    AbortConnection,
    CheckIdle,
    CloseConnection,
    EndAttempt,
    OpenConnection,
    PoolAction,
    WriteAttempt,
)
from ironrail.connections.upstream.pool_manager import UpstreamPoolManager
from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.policy.events import AttemptStatus

ADDRESS = ("a", 1)


class Host:
    """Carries actions out on connections that are none, and keeps the books of what was done."""

    def __init__(self, most: int = 2, streams: int = 100, idle: float = 8.0) -> None:
        self.upstream = UpstreamPoolManager(ADDRESS, PoolSettings(most, streams, idle))
        self.now = 0.0
        self.dialling: list[UpstreamConnection] = []
        self.links: list[UpstreamConnection] = []  # up, and not told to end
        self.leaving: list[UpstreamConnection] = []  # told to end, and not yet ended
        self.noisy: set[UpstreamConnection] = set()
        self.written: dict[Attempt, UpstreamConnection] = {}
        self.outcomes: dict[Attempt, AttemptStatus] = {}
        self.attempts: list[Attempt] = []

    def do(self, actions: list[PoolAction]) -> None:
        todo = deque(actions)
        while todo:
            match todo.popleft():
                case CheckIdle(link) as look:
                    quiet = link in self.links and link not in self.noisy
                    todo.extendleft(reversed(self.upstream.on_idle_checked(self.now, look, quiet)))
                case WriteAttempt(link, attempt):
                    assert link in self.links and attempt not in self.written, "written twice, or nowhere"
                    assert attempt not in self.outcomes
                    self.written[attempt] = link
                case EndAttempt(attempt, status):
                    assert attempt not in self.outcomes, "a second outcome"
                    self.outcomes[attempt] = status
                case OpenConnection(link):
                    self.dialling.append(link)
                case CloseConnection(link) | AbortConnection(link):
                    if link in self.links:
                        self.links.remove(link)
                        self.leaving.append(link)

    def want(self, patience: float = 5.0, alone: bool = False) -> Attempt:
        attempt = Attempt(f"r{len(self.attempts)}", 0, self.now, self.now + patience)
        attempt.is_exclusive = alone
        self.attempts.append(attempt)
        self.do(self.upstream.assign(self.now, attempt))
        return attempt

    def up(self, closing: bool = False) -> UpstreamConnection:
        link = self.dialling.pop(0)
        self.links.append(link)
        self.do(self.upstream.on_connected(self.now, link, closing))
        return link

    def down(self) -> None:
        self.do(self.upstream.on_connect_failed(self.now, self.dialling.pop(0)))

    def read(
        self, link: UpstreamConnection, *replies: AttemptStatus, part: bool = False, fault: object = None
    ) -> None:
        self.do(self.upstream.on_read(self.now, link, [(status, b"") for status in replies], part, fault))

    def lose(self, link: UpstreamConnection) -> None:
        (self.links if link in self.links else self.leaving).remove(link)
        self.do(self.upstream.on_closed(self.now, link))

    def abandon(self, attempt: Attempt, status: AttemptStatus = AttemptStatus.TIMEOUT) -> None:
        self.do(self.upstream.abandon(self.now, attempt, status))

    def status(self, *attempts: Attempt) -> list[AttemptStatus | None]:
        return [self.outcomes.get(attempt) for attempt in attempts]
