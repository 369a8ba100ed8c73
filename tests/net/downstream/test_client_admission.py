"""Misbehaving clients beside others that use the router."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.connections.downstream import idle_retention, session_manager, session_timeouts
from ironrail.net.downstream import client_listener
from ironrail.net.downstream.client_connection import ClientConnection
from tests.peers import Client, World, scenario

P = b"Pc=read,t=x,d=5000"


async def router_with_limit(max_sessions: int) -> World:
    """A router with a limit on its sessions."""
    world = await World().start()
    world.node._client_listener.sessions.max_sessions = max_sessions
    return world


async def is_ready(client: Client) -> bool:
    client.send(b"mn\r\n")
    return await client.line() == b"MN\r\n"


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_timeouts, "COMMAND_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_SECONDS", 0.02)


PARTIAL_COMMANDS = [b"", b"mg", b"mg k v O1 " + P, b"mg k v O1 " + P + b"\r", b"ms k 5 O1 " + P + b"\r\nhal"]


@scenario
@pytest.mark.parametrize("partial", PARTIAL_COMMANDS)
@pytest.mark.parametrize("before", [False, True])
async def test_a_partial_command_is_rejected_after_its_timeout(
    partial: bytes, before: bool, short_timeouts: None
) -> None:
    world = await World().start()
    other, client = await world.client(), await world.client()
    assert await is_ready(other)
    if before and partial:
        assert await is_ready(client)
    client.send(partial)
    assert await client.line() == b"CLIENT_ERROR no whole command in time\r\n"
    assert await client.ended()
    assert await is_ready(other)  # its idle timeout is longer
    assert world.cache.messages.empty()


@scenario
async def test_a_slowly_sent_value_does_not_extend_the_command_timeout(short_timeouts: None) -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"ms k 60000 O1 " + P + b"\r\n")

    async def trickle() -> None:
        while True:
            client.send(b"x")
            await asyncio.sleep(0.01)  # like a slow client

    task = asyncio.ensure_future(trickle())
    assert await client.line() == b"CLIENT_ERROR no whole command in time\r\n"
    task.cancel()


@scenario
async def test_a_partial_command_is_rejected_behind_pending_responses(short_timeouts: None) -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"mg k v O1 " + P + b"\r\nmg k v O2")
    got = await world.cache.next()
    while not any(
        session.has_been_used and session.is_ending for session in world.node._client_listener.sessions
    ):
        await asyncio.sleep(0)
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
    assert await client.line() == b"CLIENT_ERROR no whole command in time\r\n"
    assert await client.ended()


@scenario
async def test_waiting_for_a_slow_response_does_not_count_as_client_delay(short_timeouts: None) -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    await asyncio.sleep(0.3)  # longer than a client may take for a command
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
    assert await is_ready(client)


@scenario
async def test_unused_connections_are_evicted_before_used_ones() -> None:
    world = await router_with_limit(4)
    other = [await world.client() for _ in "12"]
    for client in other:
        assert await is_ready(client)
    clients = [await world.client() for _ in range(40)]
    for silent in clients[:-2]:
        assert await silent.ended()
    for client in other:
        assert await is_ready(client)


@scenario
async def test_the_least_recently_used_idle_connection_is_evicted() -> None:
    world = await router_with_limit(3)
    first, second, busy = [await world.client() for _ in "123"]
    for client in (first, second, first):
        assert await is_ready(client)
    busy.get("1")
    got = await world.cache.next()
    another = await world.client()
    assert await is_ready(another)
    assert await second.ended()
    assert await is_ready(first)
    got.reply_value(b"v")
    assert await busy.value("1") == b"v"


@scenario
async def test_idle_connections_do_not_exhaust_the_clients_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        session_timeouts, "COMMAND_TIMEOUT_SECONDS", 60.0
    )  # for the partial command, however slow the machine is
    world = await World(sockets=384).start()
    client_quota, retained = (
        384 // 3,
        idle_retention.MIN_RETAINED_SESSIONS - 2,
    )  # besides the busy one and the partial command
    asked: list[Client] = []
    busy = await world.client()
    busy.put("busy", b"v")  # a write, as a read would be hedged at the cache
    got = await world.origin.next()
    partial = await world.client()
    assert await is_ready(partial)
    partial.send(b"mg")  # otherwise it would be idle for the longest time
    for _ in range(2 * client_quota):
        client = await world.client()
        assert await is_ready(client)
        asked.append(client)
    for early in asked[:-retained]:
        assert await early.ended()  # the longest idle ones, before new ones are rejected
    for late in asked[-retained:]:
        assert await is_ready(late)  # none was reused, so only the minimum number is retained
    partial.send(b" k v Opartial " + P + b"\r\n")
    (await world.cache.next()).reply_value(b"v")
    assert await partial.value("partial") == b"v"
    got.respond(b"receipt")
    assert await busy.line() == b"HD Obusy creceipt\r\n"


@scenario
async def test_the_last_used_connection_is_retained_beside_many_busy_ones() -> None:
    world = await World(sockets=64).start()
    retained = world.node._client_listener.sessions.retention.max_sessions
    busy = [await world.client() for _ in range(retained + 2)]
    for n, client in enumerate(busy):
        client.put(str(n), b"v")  # which the policy queues until the origin has answered
    while len(world.node._dispatcher.requests.by_id) < len(busy):
        await asyncio.sleep(0)
    last = await world.client()
    for _ in "12":
        assert await is_ready(last)


@scenario
async def test_eviction_checks_of_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World(sockets=384).start()
    checked = 0

    def unsettled(_: ClientConnection) -> bool:
        nonlocal checked
        checked += 1
        return False

    monkeypatch.setattr(ClientConnection, "can_close_cleanly", unsettled)
    clients = [await world.client() for _ in range(100)]
    for client in clients:
        assert await is_ready(client)
    checked = 0
    assert await is_ready(clients[0])
    assert checked == session_manager.MAX_EVICTION_CHECKS


@scenario
async def test_a_new_connection_is_rejected_when_all_have_requests_in_flight() -> None:
    world = await router_with_limit(2)
    busy = [await world.client() for _ in "12"]
    for n, client in enumerate(busy):
        client.get(str(n))
    got = {m.flag: m for m in [await world.cache.next() for _ in busy]}
    another = await world.client()
    assert (await another.line()).startswith(b"SERVER_ERROR ")
    assert await another.ended()
    for n, client in enumerate(busy):
        got[b"O%d" % n].reply_value(b"v")
        assert await client.value(str(n)) == b"v"
