"""Requests that went wrong are logged by their id, and counted by reason."""

from __future__ import annotations

import logging
import time

import pytest

from ironrail.diagnostics.reasons import ClientCloseReason, ListCallResult, RejectionReason, RetryReason
from tests.peers import World, scenario, until


@scenario
async def test_a_late_answer_is_logged_with_its_attempts(caplog: pytest.LogCaptureFixture) -> None:
    world = await World().start()
    client = await world.client()
    client.get("late", wait=100)
    await world.cache.next()
    time.sleep(0.2)  # blocks the event loop until after the deadline
    await client.line()
    diagnostics = world.node._dispatcher.diagnostics
    assert diagnostics.late_answers == 1
    assert diagnostics.rejections[RejectionReason.DEADLINE_EXCEEDED] == 1
    [record] = [r for r in caplog.records if r.message == "request_answered_late"]
    fields = record.__dict__
    assert fields["request"] == "late" and fields["age"] >= 0.2
    assert [text.split()[0] for text in fields["attempts"]] == ["c"]
    assert any(r.message == "event_loop_held_up" for r in caplog.records)
    metrics = world.node._dispatcher.metrics().decode()
    assert "edge_node.answered_late:1|c" in metrics and "edge_node.refused.time_up:1|c" in metrics


@scenario
async def test_retries_closes_and_list_calls_are_counted_by_reason(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    world = await World().start()
    diagnostics = world.node._dispatcher.diagnostics
    assert diagnostics.list_calls[ListCallResult.ANSWERED] == 1
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply(b"EN O1\r\n")
    (await world.origin.next()).respond(b"v")
    assert await client.value("1") == b"v"
    assert diagnostics.retries[RetryReason.MISS] == 1
    client.send(b"nonsense\r\n" * 8)
    await until(lambda: diagnostics.client_closes[ClientCloseReason.BAD_COMMANDS] == 1)
    await world.tell(world.cache.row("c", state="terminating"))
    [*_, record] = [r for r in caplog.records if r.message == "endpoint_list_changed"]
    assert (record.__dict__["version"], record.__dict__["draining_servers"]) == (2, ["c"])
