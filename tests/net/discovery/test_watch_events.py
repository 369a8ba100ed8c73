"""Every watch event is applied once and in order, whatever happens to connections meanwhile."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson
import pytest

from ironrail.net.discovery import timeouts
from ironrail.policy.endpoints import EndpointState
from tests.net.discovery.update_recorder import (
    DRAINS,
    FAILED,
    FULL,
    ROW,
    connects_succeed,
    take_full_list,
    watched_service,
)
from tests.peers import Peer, World, scenario, until

# Watches


@scenario
async def test_the_next_watch_starts_at_once_on_any_connection() -> None:
    """A change between two calls must be noticed if the second call comes within 200 ms."""
    async with watched_service() as (peer, _, told):
        watch = await take_full_list(peer, told)
        for version, last in ((2, b""), (3, b"Connection: close"), (4, b"")):
            body = orjson.dumps({"version": version, "full": False, "servers": [DRAINS]})
            watch.respond(body, 200, *([last] if last else []))
            began = time.monotonic()
            watch = await peer.next()
            assert time.monotonic() - began < 0.2
            assert watch.head.startswith(b"GET /api/targets?index=%d&" % version)


@scenario
async def test_a_reset_watch_is_reopened_at_once() -> None:
    async with watched_service() as (peer, _, told):
        watch = await take_full_list(peer, told)
        await asyncio.sleep(
            timeouts.AGENT_CALL_INTERVAL_SECONDS
        )  # so that the next call is due when this one fails
        watch.reset()
        began = time.monotonic()
        await take_full_list(peer, told, 2, DRAINS)
        assert time.monotonic() - began < 0.2


@scenario
async def test_a_watch_without_a_connection_is_no_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """A hanging connect took as long as a watch may wait: 30 s at a shared service."""
    monkeypatch.setattr(timeouts, "SERVICE_CONNECT_TIMEOUT_SECONDS", 0.05)
    connects_succeed(monkeypatch, True, False)
    async with watched_service(on_request=True) as (peer, _, told):
        call = await peer.next()
        body = orjson.dumps({"version": 1, "full": True, "servers": [ROW]})
        call.respond(body, 200, b"Connection: close")
        assert (await told.next()).kind is FULL
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and 0.04 < news.uncertain_for < 1.0


@scenario
async def test_a_lost_connect_to_the_agent_delays_the_list_by_less_than_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The router must stop sending to a server within 1 s after the agent lists it as draining."""
    connects_succeed(monkeypatch, False, True)
    began = time.monotonic()
    async with watched_service(on_request=False) as (peer, _, told):
        await take_full_list(peer, told, 1, DRAINS)
        assert time.monotonic() - began < 1.0


# For how long changes may have been missed


@scenario
async def test_a_failed_call_reports_how_stale_the_list_may_be(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "SERVICE_FIRST_BYTE_TIMEOUT_SECONDS", 0.2)
    async with watched_service(on_request=True) as (peer, watcher, told):
        await asyncio.sleep(0.1)
        (await peer.next()).respond(b"", 503)  # no list was received since the start
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        watcher.poll()
        watch = await take_full_list(peer, told)
        await asyncio.sleep(0.1)
        watch.respond(b"", 503)  # the watch may have been queued all the time
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        watcher.poll()
        watch = await take_full_list(peer, told)
        await asyncio.sleep(0.3)
        watch.reset()  # the watch was active until then
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for < 0.09


# Lists that don't apply to the current one


@scenario
async def test_a_delta_is_rejected_where_the_full_list_was_requested() -> None:
    """Servers without a change would be missing until the next full list."""
    async with watched_service() as (peer, _, told):
        (await peer.next()).respond_list(7, DRAINS, full=False)
        await take_full_list(peer, told, 7)


@scenario
async def test_a_delta_to_an_earlier_version_is_rejected() -> None:
    async with watched_service() as (peer, _, told):
        watch = await take_full_list(peer, told, 41)
        watch.respond_list(43, DRAINS, full=False)
        assert await told.state() is EndpointState.DRAINING
        (await peer.next()).respond_list(42, ROW, full=False)
        watch = await take_full_list(
            peer, told, 43, DRAINS
        )  # requested in full, without an update in between
        assert b"index=43&" in watch.head


@scenario
async def test_a_full_list_is_taken_where_a_delta_was_expected_with_any_version() -> None:
    """Discovery that was restarted without its version numbers starts over with low ones."""
    async with watched_service() as (peer, _, told):
        watch = await take_full_list(peer, told, 41)
        watch.respond_list(44, DRAINS)
        assert await told.state() is EndpointState.DRAINING
        watch = await peer.next()
        assert b"index=44&" in watch.head
        watch.respond_list(2, ROW)
        assert await told.state() is EndpointState.READY
        assert b"index=2&" in (await peer.next()).head


# No new requests go to a server that is draining or removed


class Gate:
    """An event loop whose connects block until the gate is opened."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.opened = loop, asyncio.Event()
        self.waits = 0
        self.create_task = loop.create_task

    async def create_connection(self, *what: Any) -> Any:
        self.waits += 1
        await self.opened.wait()
        return await self._loop.create_connection(*what)


@scenario
@pytest.mark.parametrize("gone", [False, True])
async def test_requests_behind_a_slow_connect_are_rerouted_once_the_server_drains(gone: bool) -> None:
    world = await World(connect_timeout=5.0).start()
    other, client = await Peer().start(), await world.client()
    pool = world.node._dispatcher.pools["c"]
    gate = pool.connector._loop = Gate(pool.connector._loop)  # type: ignore[assignment]
    for name in "12":
        client.get(name, key=f"k{name}")
    await until(lambda: gate.waits)
    if gone:
        await world.tell(other.row("d"), world.origin.row("o", "origin"), full=True)
    else:
        await world.tell(world.cache.row("c", state="terminating"), other.row("d"))
    for _ in range(2):
        (await world.origin.next()).respond(b"v")
    assert [await client.value(n) for n in "12"] == [b"v", b"v"]
    gate.opened.set()
    await world.cache.ended.acquire()  # the connect has succeeded, and the connection is closed
    assert world.cache.messages.empty()
