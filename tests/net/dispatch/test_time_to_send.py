"""Attempts with a bounded time to send: retries of a request with an idempotency key."""

from __future__ import annotations

import asyncio
import time

import pytest

from ironrail.policy.actions import Action, SendAttempt
from ironrail.policy.events import AttemptEnded, AttemptStatus, Event, RequestReceived
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy, events_of
from tests.peers import Peer, scenario


class Bound(ScriptedPolicy):
    """Bounds the time to send of the second request."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        if isinstance(event, RequestReceived) and event.request_id == "2":
            return [SendAttempt("2", "s", send_within=0.05)]
        return actions


@scenario
async def test_an_attempt_is_withdrawn_once_its_time_to_send_is_over() -> None:
    peer, policy = await Peer().start(), Bound()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", b"v")
    first = await peer.next()
    harness.take("2", b"v")
    outcome = await policy.outcome()
    assert (outcome.request_id, outcome.status, outcome.request_ended) == ("2", AttemptStatus.NOT_SENT, False)
    first.reply(b"HD O1 cr\r\n")
    harness.take("3", b"v")
    assert (await peer.next()).flag == b"O3"


@scenario
async def test_a_connection_released_after_the_time_to_send_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timer may be late on a busy event loop, so the clock is checked."""
    peer, policy = await Peer().start(), Bound()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", b"v")
    first = await peer.next()
    harness.take("2", b"v")
    read = harness.host.pools["s"].on_read
    ended = asyncio.Event()

    def late(*what: object) -> None:
        time.sleep(0.06)
        read(*what)  # type: ignore[arg-type]
        ended.set()

    harness.host.pools["s"].on_read = late  # type: ignore[assignment]
    first.reply(b"HD O1 cr\r\n")
    await ended.wait()
    ends = [e for e in events_of(policy, "2") if isinstance(e, AttemptEnded)]
    assert [(e.status, e.request_ended) for e in ends] == [(AttemptStatus.NOT_SENT, False)]
    harness.take("3", b"v")
    assert (await peer.next()).flag == b"O3"
