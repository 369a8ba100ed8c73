"""What is written on a watch or a call is told, once and in order, whatever crosses it."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson
import pytest
from ironrail.net.discovery import watcher
from ironrail.policy.endpoints import EndpointState

from tests.peers import Peer, World, scenario, until
from tests.told import DRAINS, FAILED, FULL, ROW, connects_come_up, followed, listed

# Watches


@scenario
async def test_the_next_watch_comes_at_once_whatever_becomes_of_the_connection() -> None:
    """What changes between two calls counts as told, if the second comes within 200 ms."""
    async with followed() as (peer, _, told):
        watch = await listed(peer, told)
        for version, last in ((2, b""), (3, b"Connection: close"), (4, b"")):
            body = orjson.dumps({"version": version, "full": False, "servers": [DRAINS]})
            watch.respond(body, 200, *([last] if last else []))
            began = time.monotonic()
            watch = await peer.next()
            assert time.monotonic() - began < 0.2
            assert watch.head.startswith(b"GET /api/targets?index=%d&" % version)


@scenario
async def test_a_watch_that_is_reset_is_opened_anew_at_once() -> None:
    async with followed() as (peer, _, told):
        watch = await listed(peer, told)
        await asyncio.sleep(watcher.AGENT_CALL_INTERVAL)  # from the begin of what failed: it is over by then
        watch.reset()
        began = time.monotonic()
        await listed(peer, told, 2, DRAINS)
        assert time.monotonic() - began < 0.2


@scenario
async def test_a_watch_that_has_no_connection_yet_watches_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connect hung for as long as a watch may wait, half a minute where all ask one service."""
    monkeypatch.setattr(watcher, "CONNECT_PATIENCE", 0.05)
    connects_come_up(monkeypatch, True, False)
    async with followed(on_request=True) as (peer, _, told):
        call = await peer.next()
        body = orjson.dumps({"version": 1, "full": True, "servers": [ROW]})
        call.respond(body, 200, b"Connection: close")
        assert (await told.next()).kind is FULL
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and 0.04 < news.uncertain_for < 1.0


@scenario
async def test_where_a_connect_to_the_agent_is_lost_a_new_process_has_the_list_within_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the agent has counts as told at once; sends to what drains must cease in a second."""
    connects_come_up(monkeypatch, False, True)
    began = time.monotonic()
    async with followed(on_request=False) as (peer, _, told):
        await listed(peer, told, 1, DRAINS)
        assert time.monotonic() - began < 1.0


# For how long news may have been missed


@scenario
async def test_a_call_that_fails_tells_since_when_news_may_be_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watcher, "ASKED_PATIENCE", 0.2)
    async with followed(on_request=True) as (peer, follows, told):
        await asyncio.sleep(0.1)
        (await peer.next()).respond(b"", 503)  # nothing is known since the start
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        follows.ask()
        watch = await listed(peer, told)
        await asyncio.sleep(0.1)
        watch.respond(b"", 503)  # it may have waited for its turn all the time
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for > 0.09
        follows.ask()
        watch = await listed(peer, told)
        await asyncio.sleep(0.3)
        watch.reset()  # till then it watched
        news = await told.next()
        assert news.kind is FAILED and news.uncertain_for is not None and news.uncertain_for < 0.09


# Lists that don't fit


@scenario
async def test_changes_are_no_answer_to_a_call_for_the_whole_list() -> None:
    """What did not change would be missing for good."""
    async with followed() as (peer, _, told):
        (await peer.next()).respond_list(7, DRAINS, full=False)
        await listed(peer, told, 7)


@scenario
async def test_changes_up_to_an_earlier_version_undo_nothing() -> None:
    async with followed() as (peer, _, told):
        watch = await listed(peer, told, 41)
        watch.respond_list(43, DRAINS, full=False)
        assert await told.state() is EndpointState.DRAINING
        (await peer.next()).respond_list(42, ROW, full=False)
        watch = await listed(peer, told, 43, DRAINS)  # asked for whole, and nothing was told meanwhile
        assert b"index=43&" in watch.head


@scenario
async def test_a_whole_list_is_taken_where_changes_were_expected_also_one_numbered_anew() -> None:
    """A discovery that was restarted without its numbers has no other."""
    async with followed() as (peer, _, told):
        watch = await listed(peer, told, 41)
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
async def test_what_waits_for_a_slow_connect_goes_elsewhere_once_its_server_drains(gone: bool) -> None:
    world = await World(connect_timeout=5.0).start()
    other, client = await Peer().start(), await world.client()
    pool = world.node._host.pools["c"]
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
