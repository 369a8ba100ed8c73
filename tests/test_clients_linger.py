"""Connections that are shut and not yet closed: how long, and how many."""

from __future__ import annotations

import pytest
from ironrail.connections.downstream import lingering_close, session_manager
from ironrail.connections.downstream.descriptor_budget import OWN, share_descriptors
from ironrail.net.downstream import client_listener

from tests.peers import World, scenario, until
from tests.test_clients import is_ready
from tests.test_clients_shut import CRUMBS, connection_of


@scenario
async def test_one_that_never_closes_is_closed_after_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER", 0.05)
    world = await World().start()
    client = await world.client()
    assert await is_ready(client)
    connection_of(world).shut()
    assert await client.reader.read() == b""
    await until(lambda: not world.node._clients._connections)
    assert not len(world.node._clients.lingering)


@scenario
async def test_of_too_many_that_never_close_the_oldest_is_closed() -> None:
    world = await World().start()
    crowd = [await world.client() for _ in range(4)]
    for client in crowd:
        assert await is_ready(client)
    world.node._clients.lingering.most = 2
    first, second, third, _ = world.node._clients.all()
    for connection in (first, second, third):
        connection.shut()
    await until(lambda: len(world.node._clients._connections) == 3)
    assert first not in world.node._clients.lingering
    assert second in world.node._clients.lingering and third in world.node._clients.lingering
    assert await is_ready(crowd[3])


@scenario
async def test_a_client_that_half_closes_and_never_reads_does_not_keep_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A close waits for what is written to go out, and it was waited for without end."""
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER", 0.05)
    monkeypatch.setattr("ironrail.net.downstream.half_closed.UNREAD", 0.1)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = connection_of(world), 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * 65536)
        await until(lambda: not connection.place.open)
        n += 1
    client.get("waits")
    await world.cache.next()
    assert list(world.node._host.requests.by_id) == ["waits"]
    client.writer.write_eof()
    await until(lambda: not world.node._host.requests.by_id)  # at once: it has gone
    await until(lambda: not world.node._clients._connections)


@scenario
async def test_a_client_that_is_idle_and_never_reads_the_last_of_its_answers_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Below the high-water mark nobody is told of it, and a close that waits for it never came."""
    monkeypatch.setattr("ironrail.net.downstream.half_closed.LINGER", 0.05)
    monkeypatch.setattr("ironrail.net.downstream.half_closed.UNREAD", 0.1)
    monkeypatch.setattr(client_listener, "SWEEP", 0.02)
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    connection, n = connection_of(world), 0
    while not connection.transport.get_write_buffer_size():
        client.get(str(n))
        (await world.cache.next()).reply_value(b"x" * CRUMBS)
        await until(lambda: not connection.place.open)
        n += 1
    assert connection.place.unread_since is None
    monkeypatch.setattr(session_manager, "IDLE", 0.1)
    await until(lambda: not world.node._clients._connections)


@pytest.mark.parametrize("sockets", [64, 65, 100, 256, 384, 1024, 4096])
def test_all_shares_together_stay_within_the_descriptors(sockets: int) -> None:
    shares = share_descriptors(sockets)
    assert min(shares.servers, shares.clients, shares.lingering, shares.accepts) >= 1
    # in one turn of the loop: so many taken, and so many closed whose descriptors are not yet free
    assert OWN + shares.servers + shares.clients + shares.lingering + 2 * shares.accepts <= sockets


def test_lingering_ones_are_bounded_and_the_oldest_goes_first() -> None:
    some = lingering_close.LingeringCloseRegistry(2)
    assert some.add("a") is None and some.add("b") is None
    assert some.add("c") == "a" and len(some) == 2
    some.gone("b")
    assert some.add("d") is None and "b" not in some
