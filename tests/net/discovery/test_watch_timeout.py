"""A watch or call that times out is replaced in time, by all routers spread over a while."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from pathlib import Path

import orjson
import pytest

from ironrail.net.discovery import timeouts
from ironrail.policy import discovery_freshness
from tests.net.lifecycle.test_process import config, free_port, served_by, start
from tests.peers import LOCAL, Peer, World, connect, read_http, scenario


@scenario
async def test_a_timed_out_watch_is_reopened_with_time_for_a_retry(tmp_path: Path) -> None:
    """Pushed: where a watch and the next call say nothing the news is there within the grace of a drain."""
    cache, other, told = await Peer().start(), await Peer().start(), await Peer(read_http).start()
    path, port = tmp_path / "config.json", free_port()
    process, client = await start(path, port, cache, discovery=f"{LOCAL}:{told.port}")
    (await told.next()).respond_list(1, cache.row("c"))
    assert b"&wait=300" in (await told.next()).head  # falls silent, its connection stays open
    began = time.monotonic()
    assert (await told.next()).head == b"GET /api/targets"
    assert time.monotonic() - began < 0.75  # silent, too
    (await told.next()).respond_list(2, other.row("d"))
    assert time.monotonic() - began < 0.85
    await told.next()
    await served_by(other, client, "1")
    process.kill()
    await process.wait()


@scenario
async def test_a_timed_out_watch_of_a_service_leaves_time_for_two_polls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """2 s after its wait all that it missed counts as told: by then a second call is out, in its place."""
    monkeypatch.setattr(timeouts, "SERVICE_WATCH_WAIT_SECONDS", 0.2)
    monkeypatch.setattr(timeouts, "SERVICE_WATCH_WAIT_SPREAD_SECONDS", 0.0)
    monkeypatch.setattr(discovery_freshness, "POLL_SPREAD_RATIO", 0.0)  # of the first call
    world = await World(
        polls_endpoint_list=True,
        router_count=200,
        poll_interval=600.0,
        slow_start_duration=600.0,
        router_index=1,
    ).start()
    world.node._dispatcher.driver.router.discovery_freshness.poll_spread = 600.0
    over = time.monotonic() + 0.2
    assert (await world.discovery.next()).head == b"GET /api/targets"  # silent as well
    assert 0.4 < time.monotonic() - over < 0.95  # 1 s is the patience with a usual call
    again = await world.discovery.next()
    assert time.monotonic() - over < 1.95
    other = await Peer().start()
    again.respond_list(2, other.row("d"))
    await world.discovery.next()
    client = await world.client()
    client.get("1")
    (await other.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


def test_watch_timeouts_of_all_routers_are_spread() -> None:
    """Of 200 routers whose watches began at one moment no more than 13 in any second; 20 s on average."""

    async def waits() -> list[float]:
        return [timeouts.service_watch_timing(n).wait for n in range(200)]

    drawn = asyncio.run(waits())
    ends = Counter(int(wait) for wait in drawn)
    assert max(ends.values()) <= 13 and min(drawn) >= 10.0 and max(drawn) <= 30.0
    assert 19.5 < sum(drawn) / len(drawn) < 20.5


@scenario
async def test_a_list_may_arrive_indented_and_in_pieces() -> None:
    world = await World().start()
    other = await Peer().start()
    rows = [other.row("d"), world.origin.row("o", "origin")]
    body = json.dumps({"version": 2, "full": True, "servers": rows}, indent=4).encode()
    world.watch.reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for at in range(0, len(body), 100):
        piece = body[at : at + 100]
        world.watch.reply(b"%x\r\n%b\r\n" % (len(piece), piece))
    world.watch.reply(b"0\r\n\r\n")
    await world.discovery.next()
    client = await world.client()
    client.get("1")
    (await other.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_the_list_is_known_at_once_after_start_and_relocation(tmp_path: Path) -> None:
    """What an agent has counts as told from the first moment, whatever the configuration's own list says."""
    old, new, cache = await Peer(read_http).start(), await Peer(read_http).start(), await Peer().start()
    spare, path, port = await Peer().start(), tmp_path / "config.json", free_port()
    process, client = await start(path, port, cache, discovery=f"{LOCAL}:{old.port}")
    rows = [cache.row("c", state="terminating"), spare.row("s")]
    (await old.next()).respond(orjson.dumps({"version": 7, "full": True, "servers": rows}))
    await old.next()
    await served_by(spare, client, "1")  # `known` has only the other one
    path.write_text(json.dumps(config(port, cache.row("c"), discovery=f"{LOCAL}:{new.port}")))
    process.send_signal(signal.SIGHUP)
    await new.next()  # says nothing
    began = time.monotonic()
    rows = [cache.row("c"), spare.row("s", state="terminating")]
    (await new.next()).respond(orjson.dumps({"version": 1, "full": True, "servers": rows}))
    await new.next()
    assert time.monotonic() - began < 4.0
    late = await connect((LOCAL, port))
    await served_by(cache, late, "2")
    process.kill()
    await process.wait()
