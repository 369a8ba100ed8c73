"""The admin endpoint and the handover to a new process, on loopback sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from ironrail.admin.connection_limit import MAX_CONNECTIONS
from ironrail.net.lifecycle import graceful_shutdown, handover
from ironrail.net.lifecycle.node import Node
from tests.peers import LOCAL, Client, World, connect, scenario


class AdministeredWorld(World):
    """A router with an admin endpoint."""

    def config(self) -> Any:
        return replace(super().config(), admin_address=(LOCAL, 0))

    async def ask(self, path: str, node: Node | None = None) -> tuple[int, str]:
        caller = await connect((node or self.node).admin_pages.address)
        caller.send(f"GET /-/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head, _, body = (await caller.reader.read()).partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode()

    async def figures(self) -> dict[str, int]:
        _, body = await self.ask("metrics")
        return {name: int(value.partition("|")[0]) for name, _, value in map(split_metric, body.split())}


def split_metric(line: str) -> tuple[str, str, str]:
    return line.removeprefix("edge_node.").partition(":")


@scenario
async def test_metrics_agree_with_what_servers_received() -> None:
    world = await AdministeredWorld().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"
    client.put("2", b"v")
    (await world.origin.next()).respond(b"", 500)
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    client.get("3", wait=30)
    late = await world.cache.next()
    assert (await client.line()).startswith(b"SERVER_ERROR busy ")
    client.get("4")
    open_one = await world.cache.next()
    got = await world.figures()
    assert (got["success.read"], got["failure.once"], got["busy.read"]) == (1, 1, 1)
    assert (got["success.once"], got["inflight"]) == (0, 1)
    assert (got["backend_calls"], got["hosts_listed"], got["hosts_down"]) == (4, 2, 0)
    await world.tell(world.cache.row("c", state="terminating"))
    assert (await world.figures())["hosts_down"] == 1
    late.end()
    open_one.end()


@scenario
async def test_silent_admin_connections_do_not_block_the_endpoint() -> None:
    world = await AdministeredWorld().start()
    silent = [await connect(world.node.admin_pages.address) for _ in range(2 * MAX_CONNECTIONS)]
    for caller in silent[::2]:
        caller.send(b"GET /-/rea")
    assert (await world.ask("ready"))[0] == 200
    assert await silent[0].ended()
    assert (await world.ask("nothing"))[0] == 404


@scenario
async def test_a_second_process_accepts_clients_once_it_has_the_endpoint_list() -> None:
    world = await AdministeredWorld().start()
    second = Node(replace(world.config(), listen_address=world.address))
    second.start()
    listing = await world.discovery.next()
    assert (await world.ask("ready", second))[0] == 503
    for _ in range(20):  # all reach the process that serves
        client = await world.client()
        client.send(b"mn\r\n")
        assert await client.line() == b"MN\r\n"
    listing.respond_list(1, *world.rows())
    await world.discovery.next()
    while (await world.ask("ready", second))[0] != 200:
        await asyncio.sleep(0)
    assert (await world.ask("ready"))[0] == 200


@scenario
async def test_the_second_process_uses_the_cached_list_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(handover, "ENDPOINT_LIST_TIMEOUT_SECONDS", 0.05)
    world = await AdministeredWorld().start()
    known = {"version": 0, "full": True, "servers": world.rows()}
    second = Node(replace(world.config(), listen_address=world.address, cached_endpoint_list=known))
    second.start()
    while (await world.ask("ready", second))[0] != 200:
        await asyncio.sleep(0.01)


@scenario
async def test_the_draining_process_serves_all_clients_accepted_before_its_listener_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_SECONDS", 0.01)
    monkeypatch.setattr(graceful_shutdown, "MAX_IDLE_SECONDS", 1.5)
    world = await AdministeredWorld().start()
    used, resting = await world.client(), await world.client()
    for client in (used, resting):
        client.send(b"mn\r\n")
        await client.line()
    ending = asyncio.create_task(world.node.stop())
    await asyncio.sleep(0)
    assert (await world.ask("ready"))[0] == 503
    crowd = [
        asyncio.create_task(connect(world.address)) for _ in range(40)
    ]  # more than one iteration accepts
    clients: list[Client] = [used, *await asyncio.gather(*crowd)]
    await asyncio.sleep(0.05)  # the listener is closed
    for client in clients:
        client.send(b"mn\r\n")  # a late client is still answered, as not ready
        assert await client.line() == b"SERVER_ERROR not ready\r\n"
        assert await client.ended()
    assert await resting.ended()
    await ending
