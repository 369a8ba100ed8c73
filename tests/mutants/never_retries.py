"""Gives up after the first attempt that fails, and sends no hedged requests."""

from __future__ import annotations

from ironrail.policy.events import AttemptStatus
from ironrail.policy.request_lifecycle import RequestLifecycle
from ironrail.policy.state import Attempt, PendingRequest
from tests.mutants import replace_method

RULE, SCENARIO = "service", "errors.toml"


def break_it() -> None:
    retry_or_give_up = RequestLifecycle._retry_or_give_up

    def without_retry(
        self: RequestLifecycle, pending: PendingRequest, attempt: Attempt, status: AttemptStatus
    ) -> None:
        if status is AttemptStatus.MISS:
            retry_or_give_up(self, pending, attempt, status)
        else:
            self._give_up(pending)

    replace_method(RequestLifecycle, "_retry_or_give_up", without_retry)
    replace_method(RequestLifecycle, "on_hedge_due", lambda self, request_id, attempt_number: None)
