"""Refuses a write that may have run, so that its client tries again."""

from __future__ import annotations

from ironrail.policy.attempts import Attempts
from ironrail.policy.state import Held, Server

RULE = "rule no-second-effect"


def break_it() -> None:
    permits = Attempts.permits

    def careless(self: Attempts, now: float, held: Held, server: Server | None) -> bool:
        return server is None or permits(self, now, held, server)

    Attempts.permits = careless  # type: ignore[method-assign]
