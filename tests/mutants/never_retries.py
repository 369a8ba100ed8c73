"""Gives up after the first attempt that fails, and sends no second copies."""

from __future__ import annotations

from ironrail.policy.balance import Held, Router
from ironrail.policy.interface import Outcome, Status

RULE, SCENARIO = "service", "errors.toml"


def break_it() -> None:
    after_failure = Router._after_failure

    def meek(self: Router, held: Held, event: Outcome) -> None:
        if event.status is Status.MISS:
            after_failure(self, held, event)
        else:
            self._end(held)

    Router._after_failure = meek  # type: ignore[method-assign]
    Router._on_overdue = lambda self, name, number: None  # type: ignore[method-assign]
