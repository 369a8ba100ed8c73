"""Invariant checks: a violation is prevented and counted, other steps are allowed."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ironrail.connections.upstream.connection import Attempt
from ironrail.connections.upstream.pool_actions import PoolAction
from ironrail.connections.upstream.pool_manager import UpstreamPoolManager
from ironrail.diagnostics.invariants import (
    HOLD_UP_TOLERANCE_SECONDS,
    EarlierAttempt,
    InvariantGuard,
    PendingWrite,
)
from ironrail.diagnostics.reasons import Violation
from ironrail.policy.events import AttemptStatus
from ironrail.policy.retry_policy import RetryPolicy
from ironrail.policy.settings import Idempotency
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.peers import World, scenario

SENDING = PendingWrite(
    now=100.0,
    request="r",
    server="s",
    server_ready=True,
    pending=True,
    deadline=101.0,
    send_by=101.0,
    idempotency=Idempotency.SAFE,
    idempotency_window=0.5,
    hedging_allowed=True,
)
OUT = EarlierAttempt(99.9, None, True)
LOST = EarlierAttempt(99.9, AttemptStatus.RESET, False)
MISSED = EarlierAttempt(99.9, AttemptStatus.MISS, False)
LONG_AGO = EarlierAttempt(99.0, AttemptStatus.RESET, False)


def violations_of(**changes: Any) -> set[Violation]:
    guard = InvariantGuard()
    allowed = guard.may_send(replace(SENDING, **changes))
    counted = {violation for violation in Violation if guard.violations[violation]}
    assert not (counted and allowed)
    return counted


@pytest.mark.parametrize(
    ("changes", "violation"),
    [
        ({"pending": False}, Violation.SENT_AFTER_END),
        ({"server_ready": False}, Violation.SENT_TO_DRAINED),
        ({"deadline": 100.0 - HOLD_UP_TOLERANCE_SECONDS - 0.01}, Violation.SENT_AFTER_DEADLINE),
        ({"idempotency": Idempotency.UNSAFE, "earlier_attempts": [LOST]}, Violation.RETRIED_UNSAFE),
        ({"idempotency": Idempotency.UNSAFE, "earlier_attempts": [OUT]}, Violation.RETRIED_UNSAFE),
        (
            {"idempotency": Idempotency.IDEMPOTENCY_KEY, "earlier_attempts": [LONG_AGO]},
            Violation.RETRIED_AFTER_WINDOW,
        ),
        ({"hedging_allowed": False, "earlier_attempts": [OUT]}, Violation.HEDGED_WITHOUT_PERMISSION),
    ],
)
def test_a_violation_is_prevented_and_counted(changes: Any, violation: Violation) -> None:
    assert violations_of(**changes) == {violation}


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"earlier_attempts": [OUT]},
        {"idempotency": Idempotency.UNSAFE, "earlier_attempts": [MISSED]},
        {"idempotency": Idempotency.IDEMPOTENCY_KEY, "earlier_attempts": [LOST]},
        {"hedging_allowed": False, "earlier_attempts": [LOST]},
    ],
)
def test_attempts_without_a_violation_may_be_sent(changes: Any) -> None:
    assert InvariantGuard().may_send(replace(SENDING, **changes))


@pytest.mark.parametrize("bound", ["deadline", "send_by"])
def test_a_step_delayed_by_a_hold_up_is_prevented_but_no_violation(bound: str) -> None:
    guard = InvariantGuard()
    late = replace(SENDING, deadline=99.95) if bound == "deadline" else replace(SENDING, send_by=99.95)
    assert not guard.may_send(late)
    assert guard.violations.total() == 0


def test_requests_start_once_are_answered_once_and_connections_close_without_pending_requests() -> None:
    guard = InvariantGuard()
    assert guard.may_start(1.0, "r", in_flight=False, ended=False)
    assert guard.may_answer(1.0, "r", pending=True)
    assert guard.may_close(1.0, [])
    assert guard.violations.total() == 0
    assert not guard.may_start(1.0, "r", in_flight=True, ended=False)
    assert not guard.may_start(1.0, "r", in_flight=False, ended=True)
    assert not guard.may_answer(1.0, "r", pending=False)
    assert not guard.may_close(1.0, ["r"])
    assert guard.violations.total() == 4
    assert guard.may_reject(1.0, "r", Idempotency.SAFE, [LOST])
    assert guard.may_reject(1.0, "r", Idempotency.UNSAFE, [MISSED])
    assert not guard.may_reject(1.0, "r", Idempotency.UNSAFE, [LOST])
    assert guard.violations[Violation.REJECTED_UNSAFE] == 1


WORLD = """
summary = "caches are lost and drain under writes that may not be repeated"
length = "6 s"
warm_up = "0 ms"
[load]
rate = 60
[routers]
count = 2
[caches]
count = 3
[[fault]]
kind = "drain"
whom = "cache-1"
at = "1 s"
lasts = "4 s"
[[fault]]
kind = "late-connect"
whom = "all"
at = "0 ms"
lasts = "5 s"
hard = 1.0
[[fault]]
kind = "reset"
whom = "archive"
at = "1 s"
lasts = "4 s"
hard = 0.4
"""


def found() -> set[str]:
    played = run_virtual(parse_scenario(WORLD, "world.toml"), 1)
    # the guard prevents the writes, so that no server sees them
    assert not {"no-second-effect", "drains"} & {broken.rule for broken in played.result.broken}
    return {
        fault.what.split(": ")[1].removeprefix("violation.")
        for fault in played.violations
        if fault.kind == "invariant"
    }


def test_a_correct_router_has_no_violation() -> None:
    assert found() == set()


def test_a_policy_that_retries_non_idempotent_requests_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryPolicy, "may_send", lambda *_: True)
    monkeypatch.setattr(RetryPolicy, "may_reject", lambda *_: True)
    assert Violation.RETRIED_UNSAFE in found()


@scenario
async def test_a_pool_that_sends_to_a_drained_server_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def assign(self: UpstreamPoolManager, now: float, attempt: Attempt) -> list[PoolAction]:
        self._scheduler.assign(now, attempt)
        return self.actions.take()

    monkeypatch.setattr(UpstreamPoolManager, "assign", assign)
    world = await World().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")  # its connection is idle from now on
    assert await client.value("1") == b"v"
    world.node._dispatcher.pools["c"].manager.state.is_ready = False  # without the policy's knowledge
    client.get("2", wait=200)
    assert (await client.line()).startswith(b"SERVER_ERROR")
    assert world.node._dispatcher.diagnostics.invariants.violations[Violation.SENT_TO_DRAINED] > 0
    assert world.cache.messages.empty()
