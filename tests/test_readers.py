"""Regions of readers at one router on loopback: evidence, the page, and connections that are let go."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.peers import readers as driver
from ironrail.net.peers.link_evidence import One
from tests.peers import World, scenario
from tests.readers_router import AWAY, HERE, ROW, Read


@scenario
async def test_what_is_seen_of_a_region_stands_on_the_page(tmp_path: Path) -> None:
    world = await Read(tmp_path, zone_latency_map=True).start()
    client = await world.client_at(AWAY)
    for n in range(8):
        await world.served(client, str(n))
        (one,) = (c.client_region for c in world.connections())
        assert isinstance(one, One) and one.region == "north"
        one.looked = 0.0
        world.readers._evidence.measure(world.node._client_listener)
    assert isinstance(one, One) and 0.0 < one.rtt < 0.1  # of loopback, by the kernel
    room, now = world.readers.protocol, world.node._system.now()
    for tick in range(1, 7):
        room.on_timer(now + tick)
    world.readers._cells_at = -1e9
    status, body = await world.ask("regions")
    told = json.loads(body)
    assert status == 503 and told["error"]["type"] == "NoRowsError" and told["versions"] == []
    (cell,) = told["cells"]
    assert (cell["region"], cell["hall"], cell["in_time"], cell["witnesses"]) == ("north", "here", 1.0, 1)
    assert cell["round_trip"] == pytest.approx(0.001) and cell["rate"] > 0.0
    assert 0.0 < cell["service"]["read"]["typical"] < 0.1


@scenario
async def test_ends_that_are_no_service_make_no_hall_look_quick(tmp_path: Path) -> None:
    world = await Read(tmp_path).start()
    seen: list[tuple[Any, ...]] = []
    world.readers.protocol.served = lambda now, *told: seen.append(told)  # type: ignore[method-assign]
    client = await world.client_at(AWAY)
    client.get("1", wait=30)
    await world.cache.next()
    assert (await client.line()).startswith(b"SERVER_ERROR busy ")
    client.get("2")
    await world.cache.next()
    client.close()
    while len(seen) < 2:
        await asyncio.sleep(0.01)
    assert seen[0] == ("north", "read", float("inf"), False, False)
    assert seen[1][:2] == ("north", "read") and seen[1][3:] == (False, True)
    stranger = await world.client()
    await world.served(stranger, "3")
    assert seen[2][0] == "" and seen[2][3:] == (True, False)
    (one,) = (c.client_region for c in world.connections())
    assert isinstance(one, One)
    one.rtt = 2.0  # as long as is wanted
    await world.served(stranger, "4")
    assert seen[3][3:] == (False, False)


@scenario
async def test_what_cant_arrive_in_time_is_given_up_at_once(tmp_path: Path) -> None:
    world = await Read(tmp_path).start()
    client = await world.client_at(AWAY)
    client.get("1", wait=300)
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"
    room, now = world.readers.protocol, world.node._system.now()
    for _ in range(4):
        room.client_rtt(now, "north", 1.0)
    client.get("2", wait=300)
    assert (await client.line()).startswith(b"SERVER_ERROR busy ")
    client.get("3", wait=5000)
    got = await world.cache.next()  # of the second nothing was asked
    assert got.flag == b"O3" and b"d=4" in got.head
    got.reply_value(b"v")
    assert await client.value("3") == b"v"
    stranger = await world.client()
    stranger.get("4", wait=300)
    (await world.cache.next()).reply_value(b"v")
    assert await stranger.value("4") == b"v"


@scenario
async def test_who_rests_is_let_go_and_nothing_owed_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await Read(tmp_path).start()
    clients = [await world.client_at(a) for a in (AWAY, AWAY, AWAY, HERE)]
    for n, client in enumerate(clients):
        await world.served(client, str(n))
    busy, half, resting, here = clients
    busy.get("busy")
    owed = await world.cache.next()
    half.send(b"mg k v Ohalf ")
    while sum(c.session.is_idle for c in world.connections()) > 2:
        await asyncio.sleep(0.01)
    there = world.connections()
    world.put_in_force(monkeypatch, {"north": ROW}, load=9.5)  # at its limit
    now = world.node._system.now()
    world.readers._follow(now)
    world.readers._move(now + 60.0, world.node._client_listener)
    assert world.readers.let_go == 0 and world.connections() == there
    world.put_in_force(monkeypatch, {"north": ROW})
    world.readers._move(now + 120.0, world.node._client_listener)
    (connection,) = (c for c in world.connections() if c.session.is_migrating)
    assert world.connections() == there  # it asks once more, and goes behind its answer
    owed.reply_value(b"v")
    assert await busy.value("busy") == b"v"
    await world.served(resting, "last")
    assert (
        await resting.ended()
        and connection.close_reason is ClientCloseReason.MIGRATED
        and len(world.connections()) == 3
    )
    world.readers._move(now + 121.0, world.node._client_listener)
    assert world.readers.let_go == 1
    half.send(b"Pc=read,t=x,d=5000\r\n")
    (await world.cache.next()).reply_value(b"w")
    assert await half.value("half") == b"w"
    await world.served(here, "again")
    status, body = await world.ask("regions")
    told = json.loads(body)
    assert status == 200 and (told["versions"], told["rows"]) == ([7], {"north": ROW}) and told["let_go"] == 1


@scenario
async def test_what_has_come_unread_keeps_its_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await Read(tmp_path).start()
    client = await world.client_at(AWAY)
    await world.served(client, "1")
    world.put_in_force(monkeypatch, {"north": ROW})
    now = world.node._system.now()
    world.readers._follow(now)
    world.readers._move(now + 60.0, world.node._client_listener)
    (connection,) = world.connections()
    assert connection.session.is_migrating
    client.get("2")
    await world.cache.next()
    with socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno())) as raw:
        raw.send(b"mg k v O3 Pc=read,t=x,d=5000\r\n")  # it has come, and this loop has not read it
    host = world.node._dispatcher
    host.termination.drop(host.requests.by_id["2"])
    assert not connection.transport.is_closing()
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("3") == b"v" and await client.ended()


@scenario
async def test_who_is_to_leave_stays_once_other_rows_hold_or_the_other_hall_is_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await Read(tmp_path).start()
    client = await world.client_at(AWAY)
    await world.served(client, "1")
    (connection,) = world.connections()
    now = world.node._system.now()
    world.put_in_force(monkeypatch, {"north": ROW})
    world.readers._follow(now)
    world.readers._move(now + 60.0, world.node._client_listener)
    assert connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": ROW}, load=9.5)
    world.readers._move(now + 61.0, world.node._client_listener)
    assert not connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": ROW})
    world.readers._move(now + 62.0, world.node._client_listener)
    assert connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": {"here": 1.0}}, version=8)
    world.readers._follow(now + 63.0)
    assert not connection.session.is_migrating
    await world.served(client, "2")


@scenario
async def test_nothing_is_weighed_that_would_hold_up_all_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await Read(tmp_path).start()
    world.put_in_force(monkeypatch, {"north": ROW})
    world.readers._steer(world.node._system.now())
    assert world.readers.proposal is not None  # nothing to gain, but looked at
    monkeypatch.setattr(driver, "MOST_CELLS", -1)
    world.readers._steer(world.node._system.now())
    assert json.loads((await world.ask("regions"))[1])["refused"]["type"] == "TooLargeError"


@scenario
async def test_a_router_alone_asks_nobody_who_reads() -> None:
    world = await World().start()
    await world.client()
    while not world.node._client_listener.open_connections():
        await asyncio.sleep(0.01)
    (connection,) = world.node._client_listener.open_connections()
    assert connection.client_region is None and world.node.peer_runtime is None
