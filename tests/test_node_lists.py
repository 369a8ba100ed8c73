"""A router on real sockets and the list of servers: what becomes of it as the list changes or fails."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest
from ironrail.net.discovery import endpoint_list, http_client, watcher
from ironrail.policy import discovery_freshness

from tests import peers
from tests.peers import Peer, World, scenario


@scenario
async def test_a_router_with_nothing_but_draining_servers_is_not_ready() -> None:
    world = await World().start()
    await world.tell(world.cache.row("c", state="terminating"), full=True)
    client = await world.client()
    client.send(b"mn\r\n")
    assert await client.line() == b"SERVER_ERROR not ready\r\n"


@scenario
async def test_nothing_new_goes_to_a_draining_server_and_its_idle_connections_close() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    client.get("2")
    out = await world.cache.next()
    other = await Peer().start()
    await world.tell(world.cache.row("c", state="terminating"), other.row("d"))
    client.get("3")
    (await other.next()).reply_value(b"three")
    out.reply_value(b"two")  # what was out may end
    assert [await client.value(n) for n in "23"] == [b"two", b"three"]
    await world.cache.ended.acquire()
    assert world.cache.messages.empty()


@scenario
async def test_a_full_list_removes_what_it_lacks() -> None:
    world = await World().start()
    other = await Peer().start()
    await world.tell(other.row("d"), full=True)
    client = await world.client()
    client.get("1")
    (await other.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_restart_voids_old_connections() -> None:
    world = await World(slow_start_duration=1e-6).start()  # no time of warming up, in which little is sent
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    await world.tell(world.cache.row("c", started_ms=time.time() * 1000))
    await world.cache.ended.acquire()
    client.get("2")
    (await world.cache.next()).reply_value(b"w")
    assert await client.value("2") == b"w"
    assert world.cache.opened == 2


@scenario
async def test_a_server_is_known_by_its_id_and_may_move() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    moved = await Peer().start()
    await world.tell(moved.row("c"))
    client.get("2")
    (await moved.next()).reply_value(b"w")
    assert await client.value("2") == b"w"


def test_a_step_of_the_wall_clock_makes_no_server_seem_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, now = endpoint_list.EndpointListReader(), time.time()
    row = {"id": "c", "addr": "127.0.0.1:9", "state": "in_service", "started_ms": (now - 60) * 1000}
    message = {"version": 1, "full": True, "servers": [row]}
    _, first, _ = reader.read(message)
    monkeypatch.setattr(time, "time", lambda: now - 5)
    _, second, _ = reader.read(message)
    assert first == second
    assert abs(time.monotonic() - 60 - first.endpoints[0].started_at) < 1
    row["started_ms"] = now * 1000
    _, third, _ = reader.read(message)
    assert third.endpoints[0].started_at > first.endpoints[0].started_at


def test_nothing_is_kept_of_servers_that_have_gone() -> None:
    reader = endpoint_list.EndpointListReader()
    for n in range(5):
        row = {"id": str(n), "addr": "127.0.0.1:9", "started_ms": 1000.0}
        for state in ("in_service", "terminated"):
            reader.read({"version": n, "full": False, "servers": [{**row, "state": state}]})
    assert not reader._since


@scenario
@pytest.mark.parametrize(
    "body",
    [
        b"not json",
        b"[]",
        b'{"version":2}',
        b'{"version":2,"full":true,"servers":[7]}',
        b'{"version":2,"full":true,"servers":[{"id":"x","addr":"y","state":"in_service"}]}',
        b'{"version":2,"full":true,"servers":[{"id":"x","addr":"127.0.0.1:9","state":"odd"}]}',
    ],
)
async def test_a_malformed_list_is_ignored_whole(body: bytes) -> None:
    world = await World().start()
    world.watch.respond(body)
    await world.discovery.next()  # asked anew
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_hung_watch_is_given_up_and_the_last_list_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watcher, "AGENT_PATIENCE", 0.1)
    monkeypatch.setattr(peers, "WATCH_WAIT", 0.1)
    world = await World().start()
    assert world.watch.head == b"GET /api/targets?index=1&wait=100"
    again = await world.discovery.next()
    assert again.head == b"GET /api/targets"
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"
    other = await Peer().start()
    again.respond_list(5, other.row("d"))
    assert (await world.discovery.next()).head == b"GET /api/targets?index=5&wait=100"
    client.get("2")
    (await other.next()).reply_value(b"w")
    assert await client.value("2") == b"w"


@scenario
async def test_where_discovery_is_asked_the_module_says_when(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World(polls_endpoint_list=True, overload_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"


@scenario
@pytest.mark.parametrize("how", ["stops short", "breaks off", "can't be read", "is no list", "is no HTTP"])
async def test_a_spoilt_answer_is_given_up_at_once_and_asked_for_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it holds counts as told within seconds: it was waited for as long as for a watch."""
    monkeypatch.setattr(http_client, "REST_PATIENCE", 0.05)
    # calls are minutes apart after one that failed, but not after one that was spoilt
    world = World(
        polls_endpoint_list=True,
        router_count=40,
        slow_start_duration=600.0,
        poll_interval=600.0,
        overload_window=0.05,
    )
    monkeypatch.setattr(discovery_freshness, "POLL_SPREAD_RATIO", 0.0)  # of the first call
    await world.start()
    world.node._host.driver.router.discovery_freshness.poll_spread = 600.0
    half = orjson.dumps({"version": 2, "full": True, "servers": world.rows()})[:-9]
    head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (len(half) + 9)
    if how in ("stops short", "breaks off"):
        world.watch.reply(head + half)
        if how == "breaks off":
            world.watch.end()
    else:
        bad = {"can't be read": half, "is no list": b'{"version":2,"full":true,"servers":[{"id":"x"}]}'}
        world.watch.respond(bad[how]) if how in bad else world.watch.reply(b"\0" * 300)
    async with asyncio.timeout(5.0):
        assert (await world.discovery.next()).head == b"GET /api/targets"


@scenario
async def test_a_call_that_nothing_answers_is_given_up_in_time_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert watcher.ASKED_PATIENCE + 2.0 <= 6.0  # when what it has to tell counts as told
    monkeypatch.setattr(watcher, "ASKED_PATIENCE", 0.05)
    world = await World(polls_endpoint_list=True, overload_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"  # and nothing comes
    async with asyncio.timeout(5.0):
        assert (await world.discovery.next()).head == b"GET /api/targets"
