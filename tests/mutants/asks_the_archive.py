"""Asks the archive for everything, beside the caches."""

from __future__ import annotations

from ironrail.policy.request_lifecycle import RequestLifecycle
from ironrail.policy.state import PendingRequest
from tests.mutants import replace_method

RULE = "archive fetches"


def break_it() -> None:
    advance = RequestLifecycle.advance

    def advance_to_origin(self: RequestLifecycle, pending: PendingRequest) -> None:
        pending.needs_origin = True
        advance(self, pending)

    replace_method(RequestLifecycle, "advance", advance_to_origin)
