"""Waits for a cache that says nothing until the client's time is up, and never counts its silence."""

from __future__ import annotations

from ironrail.policy import interface as api
from ironrail.policy.attempts import Attempts
from ironrail.policy.balance import Router
from ironrail.policy.state import Attempt

RULE, SCENARIO = "service", "hang.toml"


def break_it() -> None:
    ended = Attempts.ended

    def forgiving(self: Attempts, event: api.Outcome) -> Attempt | None:
        attempt = ended(self, event)
        if attempt is not None:
            attempt.unheard = False
        return attempt

    Attempts.ended = forgiving  # type: ignore[method-assign]
    Router._on_overdue = lambda self, name, number: None  # type: ignore[method-assign]
