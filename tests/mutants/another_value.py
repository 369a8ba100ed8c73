"""Serves the value of another request."""

from __future__ import annotations

import itertools

from ironrail.net.host import Host
from ironrail.net.pool import Attempt
from ironrail.policy.interface import Status

RULE = "rule own-value"
count = itertools.count(1)


def break_it() -> None:
    on_outcome = Host._on_outcome
    last = [b""]

    def mixed_up(self: Host, attempt: Attempt, status: Status, body: bytes) -> None:
        other, last[0] = last[0], body or last[0]
        mixed = status is Status.OK and not attempt.command.write and other and next(count) % 40 == 0
        on_outcome(self, attempt, status, other if mixed else body)

    Host._on_outcome = mixed_up  # type: ignore[method-assign, assignment]
