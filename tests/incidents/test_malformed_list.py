"""Discovery answers with malformed lists, and servers begin to drain meanwhile.

Fault of 2026-12-03: where few routers poll, the backoff after a malformed list was longer than a slow start
of 0.25 s, so that the list with the draining server was requested too late.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.incidents.test_agent_returns import (
    DRAIN_GRACE_SECONDS,
    MAX_STALL_SECONDS,
    record_arrivals,
    send_requests_forever,
)
from tests.net.lifecycle.test_process import config, free_port, start
from tests.peers import LOCAL, Message, Peer, read_http, scenario

SLOW_START_SECONDS = 0.25  # seconds
NUM_MALFORMED_ANSWERS = 8
RULES = {
    "coldFrom": 0.2,
    "rampTime": SLOW_START_SECONDS,
    "fallMultiple": 3.0,
    "overloadFor": SLOW_START_SECONDS,
    "mustAskIn": 10.0,
}


async def next_list_call(service: Peer) -> Message:
    """Return the next request for the full list."""
    while (call := await service.next()).head != b"GET /api/targets":
        pass
    return call


@pytest.mark.sockets
@scenario
async def test_a_drain_behind_malformed_lists_is_known_within_a_short_slow_start(tmp_path: Path) -> None:
    """Guards against a poll later than the slow start, and sends after the drain's grace period."""
    draining, other, service = await Peer().start(), await Peer().start(), await Peer(read_http).start()
    discovery, port, path = f"{LOCAL}:{service.port}", free_port(), tmp_path / "config.json"
    settings = {**config(port)["settings"], "membershipMode": "subscribe", "rules": RULES}
    process, client = await start(path, port, draining, discovery=discovery, settings=settings)
    (await next_list_call(service)).respond_list(1, draining.row("c"))
    to_draining: list[float] = []
    work = (send_requests_forever(client), record_arrivals(draining, to_draining), record_arrivals(other, []))
    tasks = [asyncio.create_task(one) for one in work]
    watch = await service.next()
    pauses = []
    watch.respond(b"{")
    for _ in range(NUM_MALFORMED_ANSWERS):
        answered_at = time.monotonic()
        call = await next_list_call(service)
        pauses.append(time.monotonic() - answered_at)
        call.respond(b"{")
    call = await next_list_call(service)
    call.respond_list(2, draining.row("c", state="terminating"), other.row("d"))
    listed_at = time.monotonic()
    await asyncio.sleep(DRAIN_GRACE_SECONDS)
    assert max(pauses) <= SLOW_START_SECONDS + MAX_STALL_SECONDS
    assert max(to_draining) - listed_at < DRAIN_GRACE_SECONDS - MAX_STALL_SECONDS
    for task in tasks:
        task.cancel()
    process.kill()
    await process.wait()
