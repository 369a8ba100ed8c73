"""A host of a pool's decisions that has no sockets and records what was ordered."""

from __future__ import annotations

from collections import deque

from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.connection_fault import Fault
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
from ironrail.connections.upstream.reply_handler import AttemptReply
from ironrail.policy.events import AttemptStatus

ADDRESS = ("a", 1)


class PoolHost:
    """Carries out actions on connections without sockets, and records them."""

    def __init__(self, most: int = 2, streams: int = 100, idle: float = 8.0) -> None:
        self.manager = UpstreamPoolManager(ADDRESS, PoolSettings(most, streams, idle))
        self.now = 0.0
        self.connecting: list[UpstreamConnection] = []
        self.connections: list[UpstreamConnection] = []  # open, and not ordered to close
        self.closing: list[UpstreamConnection] = []  # ordered to close, and not yet closed
        self.with_unread_bytes: set[UpstreamConnection] = set()
        self.written: dict[Attempt, UpstreamConnection] = {}
        self.outcomes: dict[Attempt, AttemptStatus] = {}
        self.attempts: list[Attempt] = []

    def do(self, actions: list[PoolAction]) -> None:
        todo = deque(actions)
        while todo:
            match todo.popleft():
                case CheckIdle(connection) as check:
                    is_quiet = connection in self.connections and connection not in self.with_unread_bytes
                    todo.extendleft(reversed(self.manager.on_idle_checked(self.now, check, is_quiet)))
                case WriteAttempt(connection, attempt):
                    assert connection in self.connections and attempt not in self.written, (
                        "written twice, or nowhere"
                    )
                    assert attempt not in self.outcomes
                    self.written[attempt] = connection
                case EndAttempt(attempt, status):
                    assert attempt not in self.outcomes, "a second outcome"
                    self.outcomes[attempt] = status
                case OpenConnection(connection):
                    self.connecting.append(connection)
                case CloseConnection(connection) | AbortConnection(connection):
                    if connection in self.connections:
                        self.connections.remove(connection)
                        self.closing.append(connection)

    def send(self, patience: float = 5.0, is_exclusive: bool = False) -> Attempt:
        attempt = Attempt(f"r{len(self.attempts)}", 0, self.now, self.now + patience)
        attempt.is_exclusive = is_exclusive
        self.attempts.append(attempt)
        self.do(self.manager.assign(self.now, attempt))
        return attempt

    def connect(self, is_closing: bool = False) -> UpstreamConnection:
        connection = self.connecting.pop(0)
        self.connections.append(connection)
        self.do(self.manager.on_connected(self.now, connection, is_closing))
        return connection

    def fail_connect(self) -> None:
        self.do(self.manager.on_connect_failed(self.now, self.connecting.pop(0)))

    def read(
        self,
        connection: UpstreamConnection,
        *replies: AttemptStatus,
        part: bool = False,
        fault: Fault | None = None,
    ) -> None:
        self.do(
            self.manager.on_read(
                self.now, connection, [AttemptReply(status) for status in replies], part, fault
            )
        )

    def close(self, connection: UpstreamConnection) -> None:
        (self.connections if connection in self.connections else self.closing).remove(connection)
        self.do(self.manager.on_closed(self.now, connection))

    def abandon(self, attempt: Attempt, status: AttemptStatus = AttemptStatus.TIMEOUT) -> None:
        self.do(self.manager.abandon(self.now, attempt, status))

    def status(self, *attempts: Attempt) -> list[AttemptStatus | None]:
        return [self.outcomes.get(attempt) for attempt in attempts]
