"""Attempts that may begin only for so long: further ones of a keyed request, within its window."""

from __future__ import annotations

import asyncio
import time

import pytest

from ironrail.policy import interface as api
from ironrail.policy.interface import Status
from tests.outcomes.bench import Bench, Script, told
from tests.peers import Peer, scenario


class Bound(Script):
    """Has the second request begin soon or not at all."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and event.request == "2":
            return [api.Send("2", "s", within=0.05)]
        return actions


@scenario
async def test_what_may_not_begin_any_more_is_taken_back() -> None:
    peer, script = await Peer().start(), Bound()
    bench = Bench(script, peer.port, most=1)
    bench.take("1", b"v")
    first = await peer.next()
    bench.take("2", b"v")
    outcome = await script.outcome()
    assert (outcome.request, outcome.status, outcome.closed) == ("2", Status.UNSENT, False)
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
    read = bench.host._pools["s"].read
    ended = asyncio.Event()

    def late(*what: object) -> None:
        time.sleep(0.06)
        read(*what)  # type: ignore[arg-type]
        ended.set()

    bench.host._pools["s"].read = late  # type: ignore[assignment]
    first.reply(b"HD O1 cr\r\n")
    await ended.wait()
    ends = [e for e in told(script, "2") if isinstance(e, api.Outcome)]
    assert [(e.status, e.closed) for e in ends] == [(Status.UNSENT, False)]
    bench.take("3", b"v")
    assert (await peer.next()).flag == b"O3"
