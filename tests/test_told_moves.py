"""The list moves to another place: nothing is lost of the old one, and nothing of it undoes the new."""

from __future__ import annotations

import asyncio

import orjson
import pytest
from ironrail.net.discovery import timeouts
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.factory import make_endpoint_watcher
from ironrail.policy.endpoints import EndpointListKind, EndpointState

from tests.peers import LOCAL, Peer, read_http, scenario, until
from tests.told import DRAINS, ROW, Told, followed, listed, write_unread


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_news_that_lies_unread_when_the_list_moves_is_told(on_request: bool) -> None:
    """It was written to the router, and so it counts as told."""
    other = await Peer(read_http).start()
    async with followed(on_request) as (peer, follows, told):
        watch = await listed(peer, told)
        write_unread(watch, 2, DRAINS)
        follows.relocate((LOCAL, other.port))
        assert await told.state() is EndpointState.DRAINING
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            follows.poll()
        await listed(other, told, 1)


@scenario
async def test_nothing_from_where_the_list_was_undoes_what_the_new_place_said() -> None:
    other = await Peer(read_http).start()
    async with followed() as (peer, follows, told):
        watch = await listed(peer, told)
        body = orjson.dumps({"version": 2, "full": False, "servers": [ROW]})
        watch.reply(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-9])
        follows.relocate((LOCAL, other.port))
        again = await listed(other, told, 1, DRAINS)
        watch.reply(body[-9:])  # the rest of an answer that had begun
        await peer.ended.acquire()
        again.respond_list(2, DRAINS, full=False)
        assert await told.state() is EndpointState.DRAINING and not told.news


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_of_two_moves_in_a_row_the_last_counts(on_request: bool) -> None:
    first, second = await Peer(read_http).start(), await Peer(read_http).start()
    async with followed(on_request) as (peer, follows, told):
        await listed(peer, told)
        follows.relocate((LOCAL, first.port))
        follows.relocate((LOCAL, second.port))
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            follows.poll()
        await listed(second, told)
        assert not first.opened
        follows.relocate((LOCAL, first.port))
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            follows.poll()
        await first.next()  # says nothing: a call is out
        follows.relocate((LOCAL, second.port))
        await first.ended.acquire()
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            follows.poll()
        await listed(second, told, 2, DRAINS)


@scenario
async def test_a_silent_watch_and_a_move_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch is found silent in the very moment in which the list moves."""
    monkeypatch.setattr(timeouts, "AGENT_WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(timeouts, "AGENT_WATCH_GRACE_SECONDS", 0.05)
    other = await Peer(read_http).start()
    async with followed() as (peer, follows, told):
        await listed(peer, told)
        await peer.next()  # it was silent, and is followed by a call that says nothing either
        follows.relocate((LOCAL, other.port))
        await listed(other, told, 1, DRAINS)
        await until(lambda: peer.ended._value >= 2)


@scenario
async def test_a_move_before_the_start_and_one_after_the_end() -> None:
    """SIGHUP may come while the router is not yet up, or no more."""
    first, second, told = await Peer(read_http).start(), await Peer(read_http).start(), Told()
    follows = make_endpoint_watcher((LOCAL, first.port), EndpointListReader(), True)
    follows.relocate((LOCAL, second.port))
    follows.start(told)
    follows.poll()
    await listed(second, told)
    follows.stop()
    follows.relocate((LOCAL, first.port))
    follows.refresh()
    await second.ended.acquire()
    await asyncio.sleep(0.1)
    assert not first.opened and not told.news
