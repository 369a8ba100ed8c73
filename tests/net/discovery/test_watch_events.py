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
    """What changes between two calls counts as told, if the second comes within 200 ms."""
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
        await asyncio.sleep(timeouts.AGENT_CALL_INTERVAL_SECONDS)  # since the failed call began
        watch.reset()
        began = time.monotonic()
        await take_full_list(peer, told, 2, DRAINS)
        assert time.monotonic() - began < 0.2


@scenario
async def test_a_watch_without_a_connection_is_no_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connect hung for as long as a watch may wait, half a minute where all ask one service."""
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
    """What the agent has counts as told at once; sends to what drains must cease in a second."""
    connects_succeed(monkeypatch, False, True)
    began = time.monotonic()
    async with watched_service(on_request=False) as (peer, _, told):
        await take_full_list(peer, told, 1, DRAINS)
        assert time.monotonic() - began < 1.0


# For how long news may have been missed


@scenario
async def test_a_failed_call_reports_how_stale_the_list_may_be(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "SERVICE_FIRST_BYTE_TIMEOUT_SECONDS", 0.2)
    async with watched_service(on_request=True) as (peer, watcher, told):
        await asyncio.sleep(0.1)
        (await peer.next()).respond(b"", 503)  # nothing is known since the start
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        watcher.poll()
        watch = await take_full_list(peer, told)
        await asyncio.sleep(0.1)
        watch.respond(b"", 503)  # it may have waited for its turn all the time
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        watcher.poll()
        watch = await take_full_list(peer, told)
        await asyncio.sleep(0.3)
        watch.reset()  # till then it watched
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for < 0.09


# Lists that don't fit


@scenario
async def test_a_delta_is_rejected_where_the_full_list_was_requested() -> None:
    """What did not change would be missing for good."""
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
        )  # asked for whole, and nothing was told meanwhile
        assert b"index=43&" in watch.head


@scenario
async def test_a_full_list_is_taken_where_a_delta_was_expected_with_any_version() -> None:
    """A discovery that was restarted without its numbers has no other."""
    async with watched_service() as (peer, _, told):
        watch = await take_full_list(peer, told, 41)
        watch.respond_list(44, DRAINS)
        assert await told.state() is EndpointState.DRAINING
        watch = await peer.next()
        assert b"index=44&" in watch.head
        watch.respond_list(2, ROW)
        assert await told.state() is EndpointState.READY
        assert b"index=2&" in (await peer.next()).head


# Nothing new goes to a server that drains or is gone


class Gate:
    """A loop on which connects come up only once it is opened."""

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
    await world.cache.ended.acquire()  # it has come up, and is closed
    assert world.cache.messages.empty()
