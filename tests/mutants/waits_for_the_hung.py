"""Waits for a cache that does not answer until the client's time is up, and never counts its silence."""

from __future__ import annotations

from ironrail.policy.attempts_in_flight import AttemptsInFlight
from ironrail.policy.events import AttemptEnded
from ironrail.policy.request_lifecycle import RequestLifecycle
from ironrail.policy.state import Attempt
from tests.mutants import replace_method

RULE, SCENARIO = "service", "hang.toml"


def break_it() -> None:
    finish = AttemptsInFlight.finish

    def finish_answered(self: AttemptsInFlight, event: AttemptEnded) -> Attempt | None:
        attempt = finish(self, event)
        if attempt is not None:
            attempt.unanswered = False
        return attempt

    replace_method(AttemptsInFlight, "finish", finish_answered)
    replace_method(RequestLifecycle, "on_hedge_due", lambda self, request_id, attempt_number: None)
