"""A router on real sockets while its endpoint list changes or can't be read."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest

from ironrail.net.discovery import endpoint_list, timeouts
from ironrail.policy import discovery_freshness
from tests import peers
from tests.peers import Peer, World, scenario


@scenario
async def test_a_router_with_only_draining_servers_is_not_ready() -> None:
    world = await World().start()
    await world.tell(world.cache.row("c", state="terminating"), full=True)
    client = await world.client()
    client.send(b"mn\r\n")
    assert await client.line() == b"SERVER_ERROR not ready\r\n"


@scenario
async def test_a_draining_server_gets_no_new_requests_and_its_idle_connections_close() -> None:
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
async def test_a_full_list_removes_unlisted_servers() -> None:
    world = await World().start()
    other = await Peer().start()
    await world.tell(other.row("d"), full=True)
    client = await world.client()
    client.get("1")
    (await other.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_server_restart_closes_its_old_connections() -> None:
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
async def test_a_server_keeps_its_identity_at_a_new_address() -> None:
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


def test_a_wall_clock_step_is_not_taken_for_a_server_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, now = endpoint_list.EndpointListReader(), time.time()
    row = {"id": "c", "addr": "127.0.0.1:9", "state": "in_service", "started_ms": (now - 60) * 1000}
    message = {"version": 1, "full": True, "servers": [row]}
    first = reader.read(message).update
    monkeypatch.setattr(time, "time", lambda: now - 5)
    second = reader.read(message).update
    assert first == second
    assert abs(time.monotonic() - 60 - first.endpoints[0].started_at) < 1
    row["started_ms"] = now * 1000
    third = reader.read(message).update
    assert third.endpoints[0].started_at > first.endpoints[0].started_at


def test_start_times_of_removed_servers_are_dropped() -> None:
    reader = endpoint_list.EndpointListReader()
    for n in range(5):
        row = {"id": str(n), "addr": "127.0.0.1:9", "started_ms": 1000.0}
        for state in ("in_service", "terminated"):
            reader.read({"version": n, "full": False, "servers": [{**row, "state": state}]})
    assert not reader._start_times


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
async def test_a_malformed_list_is_rejected_as_a_whole(body: bytes) -> None:
    world = await World().start()
    world.watch.respond(body)
    await world.discovery.next()  # asked anew
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_watch_times_out_and_the_latest_list_stays_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "AGENT_WATCH_GRACE_SECONDS", 0.1)
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
async def test_the_policy_decides_when_a_service_is_polled(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World(polls_endpoint_list=True, overload_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"


@scenario
@pytest.mark.parametrize("how", ["stops short", "breaks off", "can't be read", "is no list", "is no HTTP"])
async def test_a_malformed_response_is_dropped_and_requested_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it holds counts as told within seconds: it was waited for as long as for a watch."""
    monkeypatch.setattr(timeouts, "RESPONSE_REST_TIMEOUT_SECONDS", 0.05)
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
    world.node._dispatcher.driver.router.discovery_freshness.poll_spread = 600.0
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
async def test_an_unanswered_call_times_out_in_time_for_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    assert timeouts.SERVICE_FIRST_BYTE_TIMEOUT_SECONDS + 2.0 <= 6.0  # when what it has to tell counts as told
    monkeypatch.setattr(timeouts, "SERVICE_FIRST_BYTE_TIMEOUT_SECONDS", 0.05)
    world = await World(polls_endpoint_list=True, overload_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"  # and nothing comes
    async with asyncio.timeout(5.0):
        assert (await world.discovery.next()).head == b"GET /api/targets"
