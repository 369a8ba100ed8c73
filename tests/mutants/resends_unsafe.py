"""Sends a write again that may have run."""

from __future__ import annotations

from ironrail.policy.attempts import Attempts
from ironrail.policy.interface import Effect
from ironrail.policy.state import Held, Server

RULE = "rule no-second-effect"


def break_it() -> None:
    permits = Attempts.permits

    def careless(self: Attempts, now: float, held: Held, server: Server | None) -> bool:
        if server is not None and held.request_class.effect is Effect.UNSAFE:
            return len(held.attempts) < self._settings.max_attempts
        return permits(self, now, held, server)

    Attempts.permits = careless  # type: ignore[method-assign]
