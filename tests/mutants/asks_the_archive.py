"""Asks the archive for everything, beside the caches."""

from __future__ import annotations

from ironrail.policy.balance import Held, Router

RULE = "archive fetches"


def break_it() -> None:
    advance = Router._advance

    def straight(self: Router, held: Held) -> None:
        held.to_origin = True
        advance(self, held)

    Router._advance = straight  # type: ignore[method-assign]
