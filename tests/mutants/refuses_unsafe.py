"""Rejects a write that may have run, so that its client retries."""

from __future__ import annotations

from ironrail.policy.retry_policy import RetryPolicy
from tests.mutants import replace_method

RULE = "rule no-second-effect"


def break_it() -> None:
    replace_method(RetryPolicy, "may_reject", lambda self, pending: True)
