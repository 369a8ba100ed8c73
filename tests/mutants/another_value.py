"""Serves the value of another request."""

from __future__ import annotations

import itertools

from ironrail.net.dispatch.attempt_dispatcher import AttemptDispatcher
from ironrail.net.upstream.connection_pool import Attempt
from ironrail.policy.events import AttemptStatus

RULE = "rule own-value"
count = itertools.count(1)


def break_it() -> None:
    on_outcome = AttemptDispatcher._on_outcome
    last = [b""]

    def mixed_up(self: AttemptDispatcher, attempt: Attempt, status: AttemptStatus, body: bytes) -> None:
        other, last[0] = last[0], body or last[0]
        mixed = (
            status is AttemptStatus.OK and not attempt.command.is_write and other and next(count) % 40 == 0
        )
        on_outcome(self, attempt, status, other if mixed else body)

    AttemptDispatcher._on_outcome = mixed_up  # type: ignore[method-assign]
