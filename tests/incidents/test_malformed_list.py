"""Discovery answers with lists that can't be read, and servers begin to drain meanwhile.

Fault of 2026-12-03: where few routers poll, the backoff after a malformed list was longer than a slow start
of a quarter of a second, so that the list which tells of a drain was requested too late.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.incidents.test_agent_returns import GRACE, HELD_UP, arrivals, send_for_good
from tests.net.lifecycle.test_process import config, free_port, start
from tests.peers import LOCAL, Message, Peer, read_http, scenario

SLOW_START = 0.25  # seconds
MALFORMED_ANSWERS = 8
RULES = {
    "coldFrom": 0.2,
    "rampTime": SLOW_START,
    "fallMultiple": 3.0,
    "overloadFor": SLOW_START,
    "mustAskIn": 10.0,
}


async def next_list_call(service: Peer) -> Message:
    """The next request for the full list."""
    while (call := await service.next()).head != b"GET /api/targets":
        pass
    return call


@pytest.mark.sockets
@scenario
async def test_a_drain_behind_malformed_lists_is_known_within_a_short_slow_start(tmp_path: Path) -> None:
    """Guards against a poll that comes later than the slow start, and sends past a drain's grace."""
    draining, other, service = await Peer().start(), await Peer().start(), await Peer(read_http).start()
    discovery, port, path = f"{LOCAL}:{service.port}", free_port(), tmp_path / "config.json"
    settings = {**config(port)["settings"], "membershipMode": "subscribe", "rules": RULES}
    process, client = await start(path, port, draining, discovery=discovery, settings=settings)
    (await next_list_call(service)).respond_list(1, draining.row("c"))
    to_draining: list[float] = []
    work = (send_for_good(client), arrivals(draining, to_draining), arrivals(other, []))
    tasks = [asyncio.create_task(one) for one in work]
    watch = await service.next()
    pauses = []
    watch.respond(b"{")
    for _ in range(MALFORMED_ANSWERS):
        answered_at = time.monotonic()
        call = await next_list_call(service)
        pauses.append(time.monotonic() - answered_at)
        call.respond(b"{")
    call = await next_list_call(service)
    call.respond_list(2, draining.row("c", state="terminating"), other.row("d"))
    told_at = time.monotonic()
    await asyncio.sleep(GRACE)
    assert max(pauses) <= SLOW_START + HELD_UP
    assert max(to_draining) - told_at < GRACE - HELD_UP
    for task in tasks:
        task.cancel()
    process.kill()
    await process.wait()
