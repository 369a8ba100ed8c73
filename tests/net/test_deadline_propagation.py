"""The remaining time of a request is sent to the origin."""

from __future__ import annotations

import asyncio
import time

from tests.peers import World, scenario


@scenario
async def test_the_origin_receives_the_remaining_time() -> None:
    """Like a cache, the origin can drop a request whose response would be too late."""
    world = await World().start()
    client = await world.client()
    client.get("1", wait=3000)
    got = await world.cache.next()
    asked = time.monotonic()
    await asyncio.sleep(0.2)  # must be subtracted from the time sent to the origin
    got.reply(b"EN O1 h0\r\n")
    fetch = await world.origin.next()
    passed_ms = (time.monotonic() - asked) * 1000
    told = dict(pair.split("=") for pair in fetch.headers["request-info"].split(","))
    assert told.keys() == {"c", "t", "d"}
    assert 3000 - passed_ms - 500 < int(told["d"]) <= 2800
    client.put("2", b"v", wait=3000)
    written = dict(pair.split("=") for pair in (await world.origin.next()).headers["request-info"].split(","))
    assert 2500 < int(written["d"]) <= 3000
