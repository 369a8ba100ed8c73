"""A host of a pool manager without sockets, which records the actions."""

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
    """Simulates connections, and records the writes and outcomes of attempts."""

    def __init__(
        self, max_connections: int = 2, max_streams: int = 100, server_idle_timeout: float = 8.0
    ) -> None:
        self.manager = UpstreamPoolManager(
            ADDRESS, PoolSettings(max_connections, max_streams, server_idle_timeout)
        )
        self.now = 0.0
        self.connecting: list[UpstreamConnection] = []
        self.connections: list[UpstreamConnection] = []  # open, without an order to close
        self.closing: list[UpstreamConnection] = []  # with an order to close, and not closed yet
        self.with_unread_bytes: set[UpstreamConnection] = set()
        self.written: dict[Attempt, UpstreamConnection] = {}
        self.outcomes: dict[Attempt, AttemptStatus] = {}
        self.attempts: list[Attempt] = []

    def carry_out(self, actions: list[PoolAction]) -> None:
        pending_actions = deque(actions)
        while pending_actions:
            match pending_actions.popleft():
                case CheckIdle(connection) as check:
                    is_quiet = connection in self.connections and connection not in self.with_unread_bytes
                    pending_actions.extendleft(
                        reversed(self.manager.on_idle_checked(self.now, check, is_quiet))
                    )
                case WriteAttempt(connection, attempt):
                    assert connection in self.connections and attempt not in self.written, (
                        "written twice, or to a connection that is not open"
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

    def send(self, timeout: float = 5.0, is_exclusive: bool = False) -> Attempt:
        attempt = Attempt(f"r{len(self.attempts)}", 0, self.now, self.now + timeout)
        attempt.is_exclusive = is_exclusive
        self.attempts.append(attempt)
        self.carry_out(self.manager.assign(self.now, attempt))
        return attempt

    def connect(self, is_closing: bool = False) -> UpstreamConnection:
        connection = self.connecting.pop(0)
        self.connections.append(connection)
        self.carry_out(self.manager.on_connected(self.now, connection, is_closing))
        return connection

    def fail_connect(self) -> None:
        self.carry_out(self.manager.on_connect_failed(self.now, self.connecting.pop(0)))

    def read(
        self,
        connection: UpstreamConnection,
        *replies: AttemptStatus,
        is_partial: bool = False,
        fault: Fault | None = None,
    ) -> None:
        self.carry_out(
            self.manager.on_read(
                self.now, connection, [AttemptReply(status) for status in replies], is_partial, fault
            )
        )

    def close(self, connection: UpstreamConnection) -> None:
        (self.connections if connection in self.connections else self.closing).remove(connection)
        self.carry_out(self.manager.on_closed(self.now, connection))

    def abandon(self, attempt: Attempt, status: AttemptStatus = AttemptStatus.TIMEOUT) -> None:
        self.carry_out(self.manager.abandon(self.now, attempt, status))

    def status(self, *attempts: Attempt) -> list[AttemptStatus | None]:
        return [self.outcomes.get(attempt) for attempt in attempts]
