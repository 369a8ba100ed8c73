"""Sends a write again that may have run."""

from __future__ import annotations

from ironrail.policy.balance import Held, Router, Server
from ironrail.policy.interface import Effect

RULE = "rule no-second-effect"


def break_it() -> None:
    permits = Router._permits

    def careless(self: Router, held: Held, server: Server | None) -> bool:
        if server is not None and held.request_class.effect is Effect.UNSAFE:
            return len(held.attempts) < self.settings.max_attempts
        return permits(self, held, server)

    Router._permits = careless  # type: ignore[method-assign]
