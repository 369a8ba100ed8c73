"""Waits for connections for as long as they take, and writes what waited, whoever has its answer by then."""

from __future__ import annotations

from typing import Any

from ironrail.connections.upstream.connection import Attempt
from ironrail.connections.upstream.pool_actions import PoolAction
from ironrail.connections.upstream.pool_manager import UpstreamPoolManager
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.policy.events import AttemptStatus

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    init, abandon, withdraw = (
        ConnectionPool.__init__,
        UpstreamPoolManager.abandon,
        UpstreamPoolManager.withdraw,
    )

    def patient(self: ConnectionPool, *what: Any, **how: Any) -> None:
        init(self, *what, **how | {"connect_timeout": 5.0})

    def forgetful(
        self: UpstreamPoolManager, now: float, attempt: Attempt, status: AttemptStatus
    ) -> list[PoolAction]:
        if attempt not in self.state.waiting:
            return abandon(self, now, attempt, status)
        self.writer.end(attempt, AttemptStatus.CONNECT_FAILED)
        return self.actions.take()

    def unheeding(self: UpstreamPoolManager, now: float, attempt: Attempt) -> list[PoolAction]:
        if attempt not in self.state.waiting:
            return withdraw(self, now, attempt)
        self.writer.end(attempt, AttemptStatus.NOT_SENT)
        return self.actions.take()

    ConnectionPool.__init__ = patient  # type: ignore[method-assign]
    UpstreamPoolManager.abandon = forgetful  # type: ignore[method-assign]
    UpstreamPoolManager.withdraw = unheeding  # type: ignore[method-assign]
