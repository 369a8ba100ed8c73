"""Steering at one router on loopback: measurements, status page, migration of connections."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.peers import client_steering as driver
from ironrail.net.peers.client_measurements import MeasuredClient
from tests.peers import World, scenario
from tests.steering_router import AWAY, HERE, ROW, SteeringWorld


@scenario
async def test_measurements_of_a_region_are_on_the_status_page(tmp_path: Path) -> None:
    world = await SteeringWorld(tmp_path, zone_latency_map=True).start()
    client = await world.client_at(AWAY)
    for n in range(8):
        await world.serve(client, str(n))
        (one,) = (c.client_region for c in world.connections())
        assert isinstance(one, MeasuredClient) and one.region == "north"
        one.measured_at = 0.0
        world.steering._measurements.measure(world.node._client_listener)
    assert isinstance(one, MeasuredClient) and 0.0 < one.rtt < 0.1  # of loopback, by the kernel
    protocol, now = world.steering.protocol, world.node._system.now()
    for tick in range(1, 7):
        protocol.on_timer(now + tick)
    world.steering._cells_at = -1e9
    status, body = await world.ask("regions")
    document = json.loads(body)
    assert status == 503 and document["error"]["type"] == "NoRowsError" and document["versions"] == []
    (cell,) = document["cells"]
    assert (cell["region"], cell["hall"], cell["in_time"], cell["witnesses"]) == ("north", "here", 1.0, 1)
    assert cell["round_trip"] == pytest.approx(0.001) and cell["rate"] > 0.0
    assert 0.0 < cell["service"]["read"]["typical"] < 0.1


@scenario
async def test_rejected_and_abandoned_requests_do_not_make_a_zone_look_fast(tmp_path: Path) -> None:
    world = await SteeringWorld(tmp_path).start()
    recorded: list[tuple[Any, ...]] = []
    world.steering.protocol.record_request = lambda now, *values: recorded.append(values)  # type: ignore[method-assign]
    client = await world.client_at(AWAY)
    client.get("1", wait=30)
    await world.cache.next()
    assert (await client.line()).startswith(b"SERVER_ERROR busy ")
    client.get("2")
    await world.cache.next()
    client.close()
    while len(recorded) < 2:
        await asyncio.sleep(0.01)
    assert recorded[0] == ("north", "read", float("inf"), False, False)
    assert recorded[1][:2] == ("north", "read") and recorded[1][3:] == (False, True)
    unknown_client = await world.client()
    await world.serve(unknown_client, "3")
    assert recorded[2][0] == "" and recorded[2][3:] == (True, False)
    (one,) = (c.client_region for c in world.connections())
    assert isinstance(one, MeasuredClient)
    one.rtt = 2.0  # as long as the latency objective
    await world.serve(unknown_client, "4")
    assert recorded[3][3:] == (False, False)


@scenario
async def test_a_request_whose_response_would_come_late_is_rejected_at_once(tmp_path: Path) -> None:
    world = await SteeringWorld(tmp_path).start()
    client = await world.client_at(AWAY)
    client.get("1", wait=300)
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"
    protocol, now = world.steering.protocol, world.node._system.now()
    for _ in range(4):
        protocol.record_client_rtt(now, "north", 1.0)
    client.get("2", wait=300)
    assert (await client.line()).startswith(b"SERVER_ERROR busy ")
    client.get("3", wait=5000)
    got = await world.cache.next()  # the second request was not sent to the cache
    assert got.flag == b"O3" and b"d=4" in got.head
    got.reply_value(b"v")
    assert await client.value("3") == b"v"
    unknown_client = await world.client()
    unknown_client.get("4", wait=300)
    (await world.cache.next()).reply_value(b"v")
    assert await unknown_client.value("4") == b"v"


@scenario
async def test_idle_connections_migrate_and_no_response_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await SteeringWorld(tmp_path).start()
    clients = [await world.client_at(a) for a in (AWAY, AWAY, AWAY, HERE)]
    for n, client in enumerate(clients):
        await world.serve(client, str(n))
    busy, half, idle, here = clients
    busy.get("busy")
    pending = await world.cache.next()
    half.send(b"mg k v Ohalf ")
    while sum(c.session.is_idle for c in world.connections()) > 2:
        await asyncio.sleep(0.01)
    before = world.connections()
    world.put_in_force(monkeypatch, {"north": ROW}, load=9.5)  # above the overload limit
    now = world.node._system.now()
    world.steering._update_rows(now)
    world.steering._migrate_connections(now + 60.0, world.node._client_listener)
    assert world.steering.migrated == 0 and world.connections() == before
    world.put_in_force(monkeypatch, {"north": ROW})
    world.steering._migrate_connections(now + 120.0, world.node._client_listener)
    (connection,) = (c for c in world.connections() if c.session.is_migrating)
    assert world.connections() == before  # it closes after the next response
    pending.reply_value(b"v")
    assert await busy.value("busy") == b"v"
    await world.serve(idle, "last")
    assert (
        await idle.ended()
        and connection.close_reason is ClientCloseReason.MIGRATED
        and len(world.connections()) == 3
    )
    world.steering._migrate_connections(now + 121.0, world.node._client_listener)
    assert world.steering.migrated == 1
    half.send(b"Pc=read,t=x,d=5000\r\n")
    (await world.cache.next()).reply_value(b"w")
    assert await half.value("half") == b"w"
    await world.serve(here, "again")
    status, body = await world.ask("regions")
    document = json.loads(body)
    assert (
        status == 200
        and (document["versions"], document["rows"]) == ([7], {"north": ROW})
        and document["let_go"] == 1
    )


@scenario
async def test_a_connection_with_unread_requests_is_not_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that has arrived in the socket and was not read yet must get its response."""
    world = await SteeringWorld(tmp_path).start()
    client = await world.client_at(AWAY)
    await world.serve(client, "1")
    world.put_in_force(monkeypatch, {"north": ROW})
    now = world.node._system.now()
    world.steering._update_rows(now)
    world.steering._migrate_connections(now + 60.0, world.node._client_listener)
    (connection,) = world.connections()
    assert connection.session.is_migrating
    client.get("2")
    await world.cache.next()
    with socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno())) as raw:
        raw.send(b"mg k v O3 Pc=read,t=x,d=5000\r\n")  # received, but not read by the event loop
    host = world.node._dispatcher
    host.termination.drop(host.requests.by_id["2"])
    assert not connection.transport.is_closing()
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("3") == b"v" and await client.ended()


@scenario
async def test_a_migration_is_canceled_if_the_rows_change_or_the_target_is_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = await SteeringWorld(tmp_path).start()
    client = await world.client_at(AWAY)
    await world.serve(client, "1")
    (connection,) = world.connections()
    now = world.node._system.now()
    world.put_in_force(monkeypatch, {"north": ROW})
    world.steering._update_rows(now)
    world.steering._migrate_connections(now + 60.0, world.node._client_listener)
    assert connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": ROW}, load=9.5)
    world.steering._migrate_connections(now + 61.0, world.node._client_listener)
    assert not connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": ROW})
    world.steering._migrate_connections(now + 62.0, world.node._client_listener)
    assert connection.session.is_migrating
    world.put_in_force(monkeypatch, {"north": {"here": 1.0}}, version=8)
    world.steering._update_rows(now + 63.0)
    assert not connection.session.is_migrating
    await world.serve(client, "2")


@scenario
async def test_no_rows_are_planned_for_more_cells_than_the_maximum(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planning blocks the event loop, so that requests would wait."""
    world = await SteeringWorld(tmp_path).start()
    world.put_in_force(monkeypatch, {"north": ROW})
    world.steering._propose(world.node._system.now())
    assert world.steering.proposal is not None  # without a gain, but planned
    monkeypatch.setattr(driver, "MAX_CELLS", -1)
    world.steering._propose(world.node._system.now())
    assert json.loads((await world.ask("regions"))[1])["refused"]["type"] == "TooLargeError"


@scenario
async def test_a_router_without_peers_identifies_no_clients() -> None:
    world = await World().start()
    await world.client()
    while not world.node._client_listener.open_connections():
        await asyncio.sleep(0.01)
    (connection,) = world.node._client_listener.open_connections()
    assert connection.client_region is None and world.node.peer_runtime is None
