"""The simulator's wire protocol: reading of events, writing of actions, and malformed input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ironrail.policy.actions import LogMessage, SendAttempt
from ironrail.policy.settings import Idempotency, IdempotencyScope, RetryBudgetSettings
from ironrail.policy.timers import EndpointListPollDue, HedgeDue, OriginPauseEnded, QueueWaitExpired, Timer
from ironrail.settings import read_settings
from ironrail.simhost import SimulatorHost
from ironrail.simulator_wire import ATTEMPT_STATUSES, WireError, decode_timer, encode_timer, write_action

ROOT = Path(__file__).parent.parent
CONF: dict[str, Any] = {
    "classes": [
        {"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free", "value": 1.0},
        {"name": "pay", "aim": 1.0, "giveUp": 3.0, "effect": "guarded", "group": "zone", "repeatWindow": 5.0},
    ],
    "family": "cache",
    "familyInfo": {"mode": "aside", "originKind": 1},
    "skus": ["std", "store"],
    "limits": {"mostTries": 3, "mayCancel": True, "secondCopies": True},
    "membershipMode": "subscribe",
    "resolution": 0.01,
    "rules": {"coldFrom": 0.2, "rampTime": 8.0, "fallMultiple": 3.0, "overloadFor": 1.5},
    "siblings": 3,
    "tenants": [{"name": "t", "allowancePerS": 9.0, "share": 1.0}],
    "zone": "z",
    "unheardOf": {"x": [1]},
}


def endpoint_row(server: str, kind: str = "std", **fields: Any) -> dict[str, Any]:
    base = {"generationHw": kind, "since": None, "readiness": "active", "site": "z", "stripe": 0}
    return {**base, "server": server, "weight": 1.0, **fields}


def send_events(host: SimulatorHost, t: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
    line = json.dumps({"t": t, "news": [{"routerId": 3, **e} for e in news]}).encode()
    commands = json.loads(host.answer_batch(line))["cmds"]
    assert all(c.pop("routerId") == 3 for c in commands)
    return list(commands)


def host_with_router(**changes: Any) -> SimulatorHost:
    host = SimulatorHost()
    lines = [endpoint_row("a"), endpoint_row("o", "store")]
    commands = send_events(
        host,
        1.0,
        {"op": "Born", "initSeed": 5, "conf": {**CONF, **changes}},
        {"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines},
    )
    assert commands == ([{"op": "Listen", "enable": True}] if not changes else commands)
    return host


def request_event(name: str, **fields: Any) -> dict[str, Any]:
    base = {"op": "Request", "ticket": name, "priority": "read", "timeBudget": 1.0, "partitionKey": "k"}
    return {**base, "userGroup": None, "effort": None, "retry": False, "update": False, **fields}


def done_event(name: str, number: int, outcome: str, final: bool = False) -> dict[str, Any]:
    base = {"op": "Done", "ticket": name, "sendNo": number, "outcome": outcome, "final": final, "lag": 0.01}
    return {**base, "note": None, "server": "a", "telemetry": None}


def sends(commands: list[dict[str, Any]]) -> list[str]:
    return [c["server"] for c in commands if c["op"] == "Send"]


def test_settings_are_read() -> None:
    conf = read_settings(CONF)
    pay = conf.classes["pay"]
    assert (pay.idempotency, pay.idempotency_scope, pay.idempotency_window) == (
        Idempotency.IDEMPOTENCY_KEY,
        IdempotencyScope.ZONE,
        5.0,
    )
    assert (conf.cache_aside, conf.origin_kind, conf.polls_endpoint_list, conf.timer_resolution) == (
        True,
        "store",
        True,
        0.01,
    )
    assert (conf.max_attempts, conf.hedging_allowed, conf.cancellation_allowed) == (3, True, True)
    assert (
        conf.slow_start_share,
        conf.slow_start_duration,
        conf.overload_multiple,
        conf.overload_window,
    ) == (0.2, 8.0, 3.0, 1.5)


def test_an_absent_field_of_a_retry_budget_counts_as_zero() -> None:
    rules = {"repeatRatio": 0.1, "lookBack": 5.0}
    assert read_settings({**CONF, "rules": rules}).retry_budget == RetryBudgetSettings(0.0, 0.1, 5.0)
    assert read_settings({**CONF, "rules": {"lookBack": 5.0}}).retry_budget is None


def test_settings_defaults() -> None:
    conf = read_settings({"classes": [{"name": "x"}]})
    # absent settings get the safest values: no retries, no hedging, one attempt
    assert conf.classes["x"].idempotency is Idempotency.UNSAFE
    assert (conf.hedging_allowed, conf.cancellation_allowed, conf.max_attempts) == (False, False, 1)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"classes": []}, "classes"),
        ({"classes": None}, "classes"),
        ({"classes": [{"aim": 1}]}, "classes[0].name"),
        ({"classes": [{"name": "x", "giveUp": -1}]}, "classes[x].giveUp"),
        ({"classes": [{"name": "x", "effect": "odd"}]}, "classes[x].effect"),
        ({"limits": {"mostTries": "six"}}, "limits.mostTries"),
        ({"limits": 6}, "limits"),
        ({"rules": {"rampTime": -2}}, "rules.rampTime"),
        ({"rules": {"extraFree": 2}}, "rules.lookBack"),
        ({"rules": {"repeatRatio": -0.1, "lookBack": 5}}, "rules.repeatRatio"),
        ({"membershipMode": "psychic"}, "membershipMode"),
    ],
)
def test_unusable_settings_name_the_field(
    change: dict[str, Any], field: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (internal_error,) = send_events(
        SimulatorHost(), 1.0, {"op": "Born", "initSeed": 1, "conf": {**CONF, **change}}
    )
    assert internal_error["op"] == "InternalError" and field in internal_error["line"]
    assert field in capsys.readouterr().err


def test_a_read_that_misses_is_sent_to_the_origin() -> None:
    host = host_with_router()
    assert sends(send_events(host, 1.1, request_event("1"))) == ["a"]
    assert sends(send_events(host, 1.2, done_event("1", 0, "empty"))) == ["o"]
    assert send_events(host, 1.3, done_event("1", 1, "delivered", True)) == []


@pytest.mark.parametrize("outcome", sorted(ATTEMPT_STATUSES))
def test_every_attempt_status_is_read(outcome: str) -> None:
    host = host_with_router()
    send_events(host, 1.1, request_event("1"))
    send_events(host, 1.2, done_event("1", 0, outcome, outcome == "delivered"))
    router = host.routers[3]
    assert sum(s.in_flight for s in router.servers.values()) == len(router.attempts_in_flight) <= 1


def test_every_endpoint_list_kind_and_state_is_read() -> None:
    host = host_with_router()
    lines = [endpoint_row("b"), endpoint_row("a", readiness="leaving"), endpoint_row("c", readiness="left")]
    send_events(host, 1.1, {"op": "Membership", "scope": "INCREMENTAL", "generation": 2, "lines": lines})
    assert sends(send_events(host, 1.2, request_event("1"))) == ["b"]
    timer, _ = send_events(host, 1.3, {"op": "Membership", "scope": "FAILED", "generation": 2, "lines": None})
    assert timer["op"] == "Timer" and timer["fromNow"] > 0
    again = send_events(host, 2.0, {"op": "Wake", "ctx": timer["ctx"]})
    assert again == [{"op": "Listen", "enable": True}]
    send_events(
        host, 2.1, {"op": "Membership", "scope": "FULL", "generation": 3, "lines": [endpoint_row("z")]}
    )
    assert sends(send_events(host, 2.2, request_event("2"))) == ["z"]


@pytest.mark.parametrize(
    ("timer", "context"),
    [
        (HedgeDue("1", 2), "late:1:2"),
        (HedgeDue("a:b", 0), "late:a:b:0"),
        (QueueWaitExpired("a:b"), "wait:a:b"),
        (EndpointListPollDue(), "list"),
        (OriginPauseEnded(), "origin"),
    ],
)
def test_a_timer_has_one_context_on_the_wire(timer: Timer, context: str) -> None:
    assert encode_timer(timer) == context
    assert decode_timer(context) == timer


def test_a_timer_with_an_unknown_context_is_ignored() -> None:
    assert (
        send_events(host_with_router(), 1.1, {"op": "Wake", "ctx": "odd"}, {"op": "Wake", "ctx": "late:1:0"})
        == []
    )


def test_a_disconnected_client_cancels_its_attempt() -> None:
    host = host_with_router()
    send_events(host, 1.1, request_event("1"))
    cancels = send_events(host, 1.2, {"op": "Aborted", "ticket": "1"})
    assert cancels == [{"op": "Cancel", "ticket": "1", "sendNo": 0}]
    assert send_events(host, 1.3, done_event("1", 0, "revoked", True)) == []


def test_final_answers_on_the_wire() -> None:
    host = host_with_router(familyInfo={"mode": "through"}, limits={"mostTries": 1})
    send_events(host, 1.1, request_event("1"), request_event("2", priority="pay"))
    assert {"op": "Reject", "ticket": "1", "coolDown": 0.01} in send_events(
        host, 1.2, done_event("1", 0, "dropped")
    )
    assert {"op": "GiveUp", "ticket": "2"} in send_events(host, 1.2, done_event("2", 0, "dropped"))


def test_streaming_and_unused_events_are_answered_with_nothing() -> None:
    host = host_with_router()
    send_events(host, 1.1, request_event("1"))
    streaming_started = {"op": "Begun", "ticket": "1", "sendNo": 0, "lag": 0.1, "server": "a"}
    pong = {"op": "Pong", "server": "a", "outcome": "delivered", "lag": 0.1, "telemetry": None}
    assert (
        send_events(host, 1.2, streaming_started, pong, {"op": "Heard", "srcPeer": 1, "content": "00"}) == []
    )


def test_a_killed_router_leaves_no_state() -> None:
    host = host_with_router()
    send_events(host, 1.1, request_event("1"))
    assert send_events(host, 1.2, {"op": "Kill"}) == [] and not host.routers
    assert send_events(host, 1.3, done_event("1", 0, "delivered", True)) == []


def test_actions_in_wire_form() -> None:
    send = write_action(SendAttempt("1", "a", 0.5))
    assert send == {"op": "Send", "ticket": "1", "server": "a", "timeout": 0.5}
    bounded_send = write_action(SendAttempt("1", "a", send_within=0.3))
    assert bounded_send == {"op": "Send", "ticket": "1", "server": "a"}
    assert write_action(LogMessage("x")) == {"op": "Record", "line": "x"}


@pytest.mark.parametrize(
    "line",
    [
        b"not json",
        b"[]",
        b"{}",
        b'{"t":"x","news":[]}',
        b'{"t":1,"news":{}}',
        b'{"t":1,"news":[{"op":"Odd","routerId":1}]}',
        b'{"t":1,"news":[{"op":"Wake","routerId":1}]}',
        b'{"t":1,"news":[{"op":"Done","routerId":1,"ticket":"1","sendNo":0,"outcome":"odd"}]}',
        b'{"t":1,"news":[7]}',
    ],
)
def test_malformed_lines_raise_a_wire_error(line: bytes) -> None:
    with pytest.raises(WireError):
        SimulatorHost().answer_batch(line)


def run(stdin: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "ironrail.simhost"]
    return subprocess.run(command, input=stdin, capture_output=True, cwd=ROOT, env=env, check=False)


def test_process_ends_at_end_of_input_and_on_bad_lines() -> None:
    good = run(b'{"t":1.0,"news":[]}\n')
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"cmds":[]}\n', b"")
    bad = run(b"oops\n")
    assert bad.returncode != 0 and not bad.stdout
    assert b"not a batch" in bad.stderr and b"Traceback" not in bad.stderr


def test_same_actions_under_any_hash_seed() -> None:
    lines = [endpoint_row(f"s{i}") for i in range(6)] + [endpoint_row("o", "store")]
    news = [{"op": "Born", "initSeed": 5, "conf": CONF}]
    news += [{"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines}]
    news += [request_event(f"{i:x}", partitionKey=f"k{i % 7}") for i in range(60)]
    news += [
        {
            "op": "Membership",
            "scope": "INCREMENTAL",
            "generation": 2,
            "lines": [endpoint_row("s1", readiness="left")],
        }
    ]
    stdin = json.dumps({"t": 1.0, "news": [{"routerId": 0, **e} for e in news]}).encode() + b"\n"
    first, second = run(stdin, "1"), run(stdin, "2")
    assert first.returncode == 0 and first.stdout == second.stdout
