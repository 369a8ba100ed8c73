"""The wire: every event and action both ways, and bad input."""

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


def row(server: str, kind: str = "std", **fields: Any) -> dict[str, Any]:
    base = {"generationHw": kind, "since": None, "readiness": "active", "site": "z", "stripe": 0}
    return {**base, "server": server, "weight": 1.0, **fields}


def play(host: SimulatorHost, t: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
    line = json.dumps({"t": t, "news": [{"routerId": 3, **e} for e in news]}).encode()
    commands = json.loads(host.answer_batch(line))["cmds"]
    assert all(c.pop("routerId") == 3 for c in commands)
    return list(commands)


def born(**changes: Any) -> SimulatorHost:
    host = SimulatorHost()
    lines = [row("a"), row("o", "store")]
    commands = play(
        host,
        1.0,
        {"op": "Born", "initSeed": 5, "conf": {**CONF, **changes}},
        {"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines},
    )
    assert commands == ([{"op": "Listen", "enable": True}] if not changes else commands)
    return host


def ask(name: str, **fields: Any) -> dict[str, Any]:
    base = {"op": "Request", "ticket": name, "priority": "read", "timeBudget": 1.0, "partitionKey": "k"}
    return {**base, "userGroup": None, "effort": None, "retry": False, "update": False, **fields}


def done(name: str, number: int, outcome: str, final: bool = False) -> dict[str, Any]:
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


def test_the_absent_half_of_a_retry_budget_counts_as_zero() -> None:
    rules = {"repeatRatio": 0.1, "lookBack": 5.0}
    assert read_settings({**CONF, "rules": rules}).retry_budget == RetryBudgetSettings(0.0, 0.1, 5.0)
    assert read_settings({**CONF, "rules": {"lookBack": 5.0}}).retry_budget is None


def test_settings_defaults() -> None:
    conf = read_settings({"classes": [{"name": "x"}]})
    # absent settings get the most careful values: no repeats, no hedging, one attempt
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
    (fault,) = play(SimulatorHost(), 1.0, {"op": "Born", "initSeed": 1, "conf": {**CONF, **change}})
    assert fault["op"] == "InternalError" and field in fault["line"]
    assert field in capsys.readouterr().err


def test_a_read_goes_miss_then_origin_then_client() -> None:
    host = born()
    assert sends(play(host, 1.1, ask("1"))) == ["a"]
    assert sends(play(host, 1.2, done("1", 0, "empty"))) == ["o"]
    assert play(host, 1.3, done("1", 1, "delivered", True)) == []


@pytest.mark.parametrize("outcome", sorted(ATTEMPT_STATUSES))
def test_every_attempt_status_is_read(outcome: str) -> None:
    host = born()
    play(host, 1.1, ask("1"))
    play(host, 1.2, done("1", 0, outcome, outcome == "delivered"))
    router = host.routers[3]
    assert sum(s.in_flight for s in router.servers.values()) == len(router.attempts_in_flight) <= 1


def test_every_endpoint_list_kind_and_state_is_read() -> None:
    host = born()
    lines = [row("b"), row("a", readiness="leaving"), row("c", readiness="left")]
    play(host, 1.1, {"op": "Membership", "scope": "INCREMENTAL", "generation": 2, "lines": lines})
    assert sends(play(host, 1.2, ask("1"))) == ["b"]
    timer, _ = play(host, 1.3, {"op": "Membership", "scope": "FAILED", "generation": 2, "lines": None})
    assert timer["op"] == "Timer" and timer["fromNow"] > 0
    again = play(host, 2.0, {"op": "Wake", "ctx": timer["ctx"]})
    assert again == [{"op": "Listen", "enable": True}]
    play(host, 2.1, {"op": "Membership", "scope": "FULL", "generation": 3, "lines": [row("z")]})
    assert sends(play(host, 2.2, ask("2"))) == ["z"]


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
    assert play(born(), 1.1, {"op": "Wake", "ctx": "odd"}, {"op": "Wake", "ctx": "late:1:0"}) == []


def test_a_disconnected_client_cancels_its_attempt() -> None:
    host = born()
    play(host, 1.1, ask("1"))
    gone = play(host, 1.2, {"op": "Aborted", "ticket": "1"})
    assert gone == [{"op": "Cancel", "ticket": "1", "sendNo": 0}]
    assert play(host, 1.3, done("1", 0, "revoked", True)) == []


def test_final_answers_on_the_wire() -> None:
    host = born(familyInfo={"mode": "through"}, limits={"mostTries": 1})
    play(host, 1.1, ask("1"), ask("2", priority="pay"))
    assert {"op": "Reject", "ticket": "1", "coolDown": 0.01} in play(host, 1.2, done("1", 0, "dropped"))
    assert {"op": "GiveUp", "ticket": "2"} in play(host, 1.2, done("2", 0, "dropped"))


def test_streaming_and_unused_events_are_answered_with_nothing() -> None:
    host = born()
    play(host, 1.1, ask("1"))
    begun = {"op": "Begun", "ticket": "1", "sendNo": 0, "lag": 0.1, "server": "a"}
    pong = {"op": "Pong", "server": "a", "outcome": "delivered", "lag": 0.1, "telemetry": None}
    assert play(host, 1.2, begun, pong, {"op": "Heard", "srcPeer": 1, "content": "00"}) == []


def test_a_killed_router_leaves_no_state() -> None:
    host = born()
    play(host, 1.1, ask("1"))
    assert play(host, 1.2, {"op": "Kill"}) == [] and not host.routers
    assert play(host, 1.3, done("1", 0, "delivered", True)) == []


def test_actions_in_wire_form() -> None:
    send = write_action(SendAttempt("1", "a", 0.5))
    assert send == {"op": "Send", "ticket": "1", "server": "a", "timeout": 0.5}
    begins_at_once = write_action(SendAttempt("1", "a", send_within=0.3))
    assert begins_at_once == {"op": "Send", "ticket": "1", "server": "a"}
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
    lines = [row(f"s{i}") for i in range(6)] + [row("o", "store")]
    news = [{"op": "Born", "initSeed": 5, "conf": CONF}]
    news += [{"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines}]
    news += [ask(f"{i:x}", partitionKey=f"k{i % 7}") for i in range(60)]
    news += [
        {"op": "Membership", "scope": "INCREMENTAL", "generation": 2, "lines": [row("s1", readiness="left")]}
    ]
    stdin = json.dumps({"t": 1.0, "news": [{"routerId": 0, **e} for e in news]}).encode() + b"\n"
    first, second = run(stdin, "1"), run(stdin, "2")
    assert first.returncode == 0 and first.stdout == second.stdout
