"""Waits for connections for as long as they take, and writes what waited, whoever has its answer by then."""

from __future__ import annotations

from typing import Any

from ironrail.connections.upstream import Action, Attempt, Upstream
from ironrail.net.pool import Pool
from ironrail.policy.interface import Status

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    init, abandon, withdraw = Pool.__init__, Upstream.abandon, Upstream.withdraw

    def patient(self: Pool, *what: Any, **how: Any) -> None:
        init(self, *what, **how | {"connect_timeout": 5.0})

    def forgetful(self: Upstream, now: float, attempt: Attempt, status: Status) -> list[Action]:
        if attempt not in self._waiting:
            return abandon(self, now, attempt, status)
        self._end(attempt, Status.CONNECT_FAILED)
        return self._take()

    def unheeding(self: Upstream, now: float, attempt: Attempt) -> list[Action]:
        if attempt not in self._waiting:
            return withdraw(self, now, attempt)
        self._end(attempt, Status.UNSENT)
        return self._take()

    Pool.__init__ = patient  # type: ignore[method-assign]
    Upstream.abandon = forgetful  # type: ignore[method-assign]
    Upstream.withdraw = unheeding  # type: ignore[method-assign]
