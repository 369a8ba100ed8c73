"""Where a request may be out once only, what is given up ends with its connection before the next is sent."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import cast

from ironrail.net.system import REAL
from ironrail.policy.events import AttemptStatus

from tests.connections.upstream_host import Host
from tests.peers import KEYED, READ, SETTINGS, World, scenario

QUICK = replace(READ, latency_objective=0.8)  # half of it without an answer, and the next attempt is due


@scenario
async def test_an_attempt_that_is_overdue_is_not_out_any_more_when_the_next_one_comes() -> None:
    classes = SETTINGS.classes | {"read": QUICK, "keyed": replace(KEYED, latency_objective=8.0)}
    world = await World(classes=classes, hedging_allowed=False).start()
    client = await world.client()
    client.get("0", cls="keyed")  # is out there too, and has more time
    await world.cache.next()
    client.get("1")
    first = await world.cache.next()
    fetch = await world.origin.next()
    assert first.flag == b"O1" and fetch.headers["request-id"] == "1"
    assert first.writer.is_closing() or REAL.has_hung_up(cast(asyncio.Transport, first.writer.transport))
    fetch.respond(b"v")


def test_revoking_ends_the_connection_before_anything_is_told() -> None:
    """What may follow an outcome at once is a further attempt of the same request."""
    host = Host(most=1)
    host.want()
    link = host.up()
    first, second = host.want(), host.want()
    host.read(link, AttemptStatus.OK)
    assert host.written[second] is host.written[first] is link
    told = host.upstream.revoke(host.now, first)
    assert [type(action).__name__ for action in told] == ["Abort", "End", "End"]
    host.do(told)
    assert host.status(first, second) == [AttemptStatus.CANCELLED, AttemptStatus.CANCELLED]
    assert link in host.leaving
