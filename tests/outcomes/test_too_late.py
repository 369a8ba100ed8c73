"""Attempts that may begin only for so long: further ones of a keyed request, within its window."""

from __future__ import annotations

import asyncio
import time

import pytest
from ironrail.policy.actions import Action, SendAttempt
from ironrail.policy.events import AttemptEnded, AttemptStatus, Event, RequestReceived

from tests.outcomes.bench import Bench, Script, told
from tests.peers import Peer, scenario


class Bound(Script):
    """Has the second request begin soon or not at all."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        if isinstance(event, RequestReceived) and event.request_id == "2":
            return [SendAttempt("2", "s", send_within=0.05)]
        return actions


@scenario
async def test_what_may_not_begin_any_more_is_taken_back() -> None:
    peer, script = await Peer().start(), Bound()
    bench = Bench(script, peer.port, most=1)
    bench.take("1", b"v")
    first = await peer.next()
    bench.take("2", b"v")
    outcome = await script.outcome()
    assert (outcome.request_id, outcome.status, outcome.request_ended) == ("2", AttemptStatus.NOT_SENT, False)
    first.reply(b"HD O1 cr\r\n")
    bench.take("3", b"v")
    assert (await peer.next()).flag == b"O3"


@scenario
async def test_a_connection_that_falls_free_as_the_time_to_begin_is_over_is_not_used_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timer may be late, as the loop is: the clock is looked at."""
    peer, script = await Peer().start(), Bound()
    bench = Bench(script, peer.port, most=1)
    bench.take("1", b"v")
    first = await peer.next()
    bench.take("2", b"v")
    read = bench.host.pools["s"].on_read
    ended = asyncio.Event()

    def late(*what: object) -> None:
        time.sleep(0.06)
        read(*what)  # type: ignore[arg-type]
        ended.set()

    bench.host.pools["s"].on_read = late  # type: ignore[assignment]
    first.reply(b"HD O1 cr\r\n")
    await ended.wait()
    ends = [e for e in told(script, "2") if isinstance(e, AttemptEnded)]
    assert [(e.status, e.request_ended) for e in ends] == [(AttemptStatus.NOT_SENT, False)]
    bench.take("3", b"v")
    assert (await peer.next()).flag == b"O3"
