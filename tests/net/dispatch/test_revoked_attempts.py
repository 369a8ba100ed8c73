"""If hedging is not allowed, a connection is aborted before its attempt is retried."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import cast

from ironrail.net.system import REAL
from ironrail.policy.events import AttemptStatus
from tests.connections.upstream.pool_host import PoolHost
from tests.peers import KEYED, READ, SETTINGS, World, scenario

QUICK = replace(READ, latency_objective=0.8)  # the next attempt is due after half of it


@scenario
async def test_an_overdue_attempt_is_not_in_flight_when_its_retry_is_sent() -> None:
    classes = SETTINGS.classes | {"read": QUICK, "keyed": replace(KEYED, latency_objective=8.0)}
    world = await World(classes=classes, hedging_allowed=False).start()
    client = await world.client()
    client.get("0", cls="keyed")  # in flight too, with a longer latency objective
    await world.cache.next()
    client.get("1")
    first = await world.cache.next()
    fetch = await world.origin.next()
    assert first.flag == b"O1" and fetch.headers["request-id"] == "1"
    assert first.writer.is_closing() or REAL.has_hung_up(cast(asyncio.Transport, first.writer.transport))
    fetch.respond(b"v")


def test_revoking_aborts_the_connection_before_any_outcome_is_reported() -> None:
    """A retry of the same request may be sent as soon as an outcome is reported."""
    host = PoolHost(max_connections=1)
    host.send()
    connection = host.connect()
    first, second = host.send(), host.send()
    host.read(connection, AttemptStatus.OK)
    assert host.written[second] is host.written[first] is connection
    actions = host.manager.revoke(host.now, first)
    assert [type(action).__name__ for action in actions] == ["AbortConnection", "EndAttempt", "EndAttempt"]
    host.carry_out(actions)
    assert host.status(first, second) == [AttemptStatus.CANCELLED, AttemptStatus.CANCELLED]
    assert connection in host.closing
