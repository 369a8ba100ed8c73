"""Sends a write again that may have run."""

from __future__ import annotations

from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Idempotency
from ironrail.policy.state import PendingRequest, Server
from tests.mutants import replace_method

RULE = "rule no-second-effect"


def break_it() -> None:
    may_send = RetryPolicy.may_send

    def may_resend(self: RetryPolicy, now: float, pending: PendingRequest, server: Server) -> bool:
        if pending.request_class.idempotency is Idempotency.UNSAFE:
            return len(pending.attempts) < self._max_attempts
        return may_send(self, now, pending, server)

    replace_method(RetryPolicy, "may_send", may_resend)
