"""Refuses a write that may have run, so that its client tries again."""

from __future__ import annotations

from ironrail.policy.balance import Held, Router, Server

RULE = "rule no-second-effect"


def break_it() -> None:
    permits = Router._permits

    def careless(self: Router, held: Held, server: Server | None) -> bool:
        return server is None or permits(self, held, server)

    Router._permits = careless  # type: ignore[method-assign]
