"""What is written on a watch or a call is told, once and in order, whatever crosses it."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import orjson
import pytest

from ironrail.net import discovery
from ironrail.net.discovery import Discovery
from ironrail.net.lists import ListReader
from ironrail.net.system import Address
from ironrail.policy import interface as api
from tests.peers import LOCAL, Message, Peer, World, read_http, scenario, until

ROW = {"id": "c", "addr": "127.0.0.1:9", "state": "in_service"}
DRAINS = {**ROW, "state": "terminating"}
FULL, DELTA = api.ListKind.FULL, api.ListKind.DELTA
FAILED, SPOILT, SILENT = api.ListKind.FAILED, api.ListKind.SPOILT, api.ListKind.SILENT


class Told:
    """What a discovery told, in order."""

    def __init__(self) -> None:
        self.news: list[api.ServerList] = []
        self.came = asyncio.Event()

    def __call__(self, news: api.ServerList, addresses: dict[str, Address]) -> None:
        self.news.append(news)
        self.came.set()

    async def next(self) -> api.ServerList:
        while not self.news:
            self.came.clear()
            await self.came.wait()
        return self.news.pop(0)

    async def state(self) -> api.State:
        return (await self.next()).entries[0].state


@asynccontextmanager
async def followed(on_request: bool = False) -> AsyncIterator[tuple[Peer, Discovery, Told]]:
    """Somebody who tells, and a router's end that is told."""
    peer, told = await Peer(read_http).start(), Told()
    follows = Discovery((LOCAL, peer.port), ListReader(), on_request)
    follows.start(told)
    follows.ask()
    yield peer, follows, told
    follows.stop()


async def listed(peer: Peer, told: Told, version: int = 1, row: dict[str, Any] = ROW) -> Message:
    """Answer the call for the whole list; the watch that follows."""
    call = await peer.next()
    assert call.head == b"GET /api/targets"
    call.respond_list(version, row)
    assert (await told.next()).kind is FULL
    return await peer.next()


def write_unread(message: Message, version: int, *rows: dict[str, Any]) -> None:
    """Answer so that it lies unread at the router's end when this returns."""
    body = orjson.dumps({"version": version, "full": False, "servers": rows})
    answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    assert os.write(message.writer.get_extra_info("socket").fileno(), answer) == len(answer)


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
        await asyncio.sleep(discovery.PAUSE)  # from the begin of what failed: it is over by then
        watch.reset()
        began = time.monotonic()
        await listed(peer, told, 2, DRAINS)
        assert time.monotonic() - began < 0.2


@scenario
async def test_a_watch_that_has_no_connection_yet_watches_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connect hung for as long as a watch may wait, half a minute where all ask one service."""
    monkeypatch.setattr(discovery, "CONNECT_PATIENCE", 0.05)
    opened, opens = asyncio.open_connection, iter([True, False])

    async def open_once(*address: Any) -> Any:
        if not next(opens):
            await asyncio.sleep(600.0)
        return await opened(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_once)
    async with followed(on_request=True) as (peer, _, told):
        call = await peer.next()
        body = orjson.dumps({"version": 1, "full": True, "servers": [ROW]})
        call.respond(body, 200, b"Connection: close")
        assert (await told.next()).kind is FULL
        news = await told.next()
        assert news.kind is FAILED and news.unsure is not None and 0.04 < news.unsure < 1.0


@scenario
async def test_where_a_connect_to_the_agent_is_lost_a_new_process_has_the_list_within_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the agent has counts as told at once; sends to what drains must cease in a second."""
    opened, opens = asyncio.open_connection, iter([False, True])

    async def open_second(*address: Any) -> Any:
        if not next(opens):
            await asyncio.sleep(600.0)
        return await opened(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_second)
    began = time.monotonic()
    async with followed(on_request=False) as (peer, _, told):
        await listed(peer, told, 1, DRAINS)
        assert time.monotonic() - began < 1.0


# For how long news may have been missed


@scenario
async def test_a_call_that_fails_tells_since_when_news_may_be_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "ASKED_PATIENCE", 0.2)
    async with followed(on_request=True) as (peer, follows, told):
        await asyncio.sleep(0.1)
        (await peer.next()).respond(b"", 503)  # nothing is known since the start
        news = await told.next()
        assert news.kind is FAILED and news.unsure is not None and news.unsure > 0.09
        follows.ask()
        watch = await listed(peer, told)
        await asyncio.sleep(0.1)
        watch.respond(b"", 503)  # it may have waited for its turn all the time
        news = await told.next()
        assert news.kind is FAILED and news.unsure is not None and news.unsure > 0.09
        follows.ask()
        watch = await listed(peer, told)
        await asyncio.sleep(0.3)
        watch.reset()  # till then it watched
        news = await told.next()
        assert news.kind is FAILED and news.unsure is not None and news.unsure < 0.09


# Lists that don't fit


@scenario
async def test_changes_are_no_answer_to_a_call_for_the_whole_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """What did not change would be missing for good."""
    monkeypatch.setattr(discovery, "PAUSE", 0.0)
    async with followed() as (peer, _, told):
        (await peer.next()).respond_list(7, DRAINS, full=False)
        await listed(peer, told, 7)


@scenario
async def test_changes_up_to_an_earlier_version_undo_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "PAUSE", 0.0)
    async with followed() as (peer, _, told):
        watch = await listed(peer, told, 41)
        watch.respond_list(43, DRAINS, full=False)
        assert await told.state() is api.State.DRAINING
        (await peer.next()).respond_list(42, ROW, full=False)
        watch = await listed(peer, told, 43, DRAINS)  # asked for whole, and nothing was told meanwhile
        assert b"index=43&" in watch.head


@scenario
async def test_a_whole_list_is_taken_where_changes_were_expected_also_one_numbered_anew() -> None:
    """A discovery that was restarted without its numbers has no other."""
    async with followed() as (peer, _, told):
        watch = await listed(peer, told, 41)
        watch.respond_list(44, DRAINS)
        assert await told.state() is api.State.DRAINING
        watch = await peer.next()
        assert b"index=44&" in watch.head
        watch.respond_list(2, ROW)
        assert await told.state() is api.State.READY
        assert b"index=2&" in (await peer.next()).head


# Moves


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_news_that_lies_unread_when_the_list_moves_is_told(on_request: bool) -> None:
    """It was written to the router, and so it counts as told."""
    other = await Peer(read_http).start()
    async with followed(on_request) as (peer, follows, told):
        watch = await listed(peer, told)
        write_unread(watch, 2, DRAINS)
        follows.move((LOCAL, other.port))
        assert await told.state() is api.State.DRAINING
        if on_request:
            assert (await told.next()).kind is api.ListKind.MOVED
            follows.ask()
        await listed(other, told, 1)


@scenario
async def test_nothing_from_where_the_list_was_undoes_what_the_new_place_said() -> None:
    other = await Peer(read_http).start()
    async with followed() as (peer, follows, told):
        watch = await listed(peer, told)
        body = orjson.dumps({"version": 2, "full": False, "servers": [ROW]})
        watch.reply(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-9])
        follows.move((LOCAL, other.port))
        again = await listed(other, told, 1, DRAINS)
        watch.reply(body[-9:])  # the rest of an answer that had begun
        await peer.ended.acquire()
        again.respond_list(2, DRAINS, full=False)
        assert await told.state() is api.State.DRAINING and not told.news


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_of_two_moves_in_a_row_the_last_counts(on_request: bool) -> None:
    first, second = await Peer(read_http).start(), await Peer(read_http).start()
    async with followed(on_request) as (peer, follows, told):
        await listed(peer, told)
        follows.move((LOCAL, first.port))
        follows.move((LOCAL, second.port))
        if on_request:
            assert (await told.next()).kind is api.ListKind.MOVED
            follows.ask()
        await listed(second, told)
        assert not first.opened
        follows.move((LOCAL, first.port))
        if on_request:
            assert (await told.next()).kind is api.ListKind.MOVED
            follows.ask()
        await first.next()  # says nothing: a call is out
        follows.move((LOCAL, second.port))
        await first.ended.acquire()
        if on_request:
            assert (await told.next()).kind is api.ListKind.MOVED
            follows.ask()
        await listed(second, told, 2, DRAINS)


@scenario
async def test_a_silent_watch_and_a_move_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch is found silent in the very moment in which the list moves."""
    monkeypatch.setattr(discovery, "WAIT_PUSHED", 0.05)
    monkeypatch.setattr(discovery, "PATIENCE", 0.05)
    other = await Peer(read_http).start()
    async with followed() as (peer, follows, told):
        await listed(peer, told)
        await peer.next()  # it was silent, and is followed by a call that says nothing either
        follows.move((LOCAL, other.port))
        await listed(other, told, 1, DRAINS)
        await until(lambda: peer.ended._value >= 2)


@scenario
async def test_a_move_before_the_start_and_one_after_the_end() -> None:
    """SIGHUP may come while the router is not yet up, or no more."""
    first, second, told = await Peer(read_http).start(), await Peer(read_http).start(), Told()
    follows = Discovery((LOCAL, first.port), ListReader(), True)
    follows.move((LOCAL, second.port))
    follows.start(told)
    follows.ask()
    await listed(second, told)
    follows.stop()
    follows.move((LOCAL, first.port))
    follows.again()
    await second.ended.acquire()
    await asyncio.sleep(0.1)
    assert not first.opened and not told.news


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
    pool = world.node._host._pools["c"]
    gate = pool._loop = Gate(pool._loop)  # type: ignore[assignment]
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
