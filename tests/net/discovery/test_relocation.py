"""Relocation of discovery: no update from the old address is lost, and none undoes the new list."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from ironrail.net.discovery import timeouts
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.factory import make_endpoint_watcher
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from tests.net.discovery.update_recorder import (
    DRAINS,
    ROW,
    UpdateRecorder,
    take_full_list,
    watched_service,
    write_unread,
)
from tests.peers import LOCAL, Peer, read_http, scenario, until


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_an_unread_change_is_applied_before_relocation(on_request: bool) -> None:
    """The change was written to the router's socket, so it must be applied."""
    other = await Peer(read_http).start()
    async with watched_service(on_request) as (peer, watcher, told):
        watch = await take_full_list(peer, told)
        write_unread(watch, 2, DRAINS)
        watcher.relocate((LOCAL, other.port))
        assert await told.state() is EndpointState.DRAINING
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            watcher.poll()
        await take_full_list(other, told, 1)


@scenario
async def test_the_old_address_undoes_no_update_of_the_new_one() -> None:
    other = await Peer(read_http).start()
    async with watched_service() as (peer, watcher, told):
        watch = await take_full_list(peer, told)
        body = orjson.dumps({"version": 2, "full": False, "servers": [ROW]})
        watch.reply(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-9])
        watcher.relocate((LOCAL, other.port))
        again = await take_full_list(other, told, 1, DRAINS)
        watch.reply(body[-9:])  # the rest of a response that had begun
        await peer.ended.acquire()
        again.respond_list(2, DRAINS, full=False)
        assert await told.state() is EndpointState.DRAINING and not told.updates


@scenario
@pytest.mark.parametrize("on_request", [False, True])
async def test_the_last_of_two_relocations_applies(on_request: bool) -> None:
    first, second = await Peer(read_http).start(), await Peer(read_http).start()
    async with watched_service(on_request) as (peer, watcher, told):
        await take_full_list(peer, told)
        watcher.relocate((LOCAL, first.port))
        watcher.relocate((LOCAL, second.port))
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            watcher.poll()
        await take_full_list(second, told)
        assert not first.opened
        watcher.relocate((LOCAL, first.port))
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            watcher.poll()
        await first.next()  # not answered, so a call is in flight
        watcher.relocate((LOCAL, second.port))
        await first.ended.acquire()
        if on_request:
            assert (await told.next()).kind is EndpointListKind.RELOCATED
            watcher.poll()
        await take_full_list(second, told, 2, DRAINS)


@scenario
async def test_a_watch_timeout_and_a_relocation_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch times out at the moment of the relocation."""
    monkeypatch.setattr(timeouts, "AGENT_WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(timeouts, "AGENT_WATCH_GRACE_SECONDS", 0.05)
    other = await Peer(read_http).start()
    async with watched_service() as (peer, watcher, told):
        await take_full_list(peer, told)
        await peer.next()  # the call after the watch timeout, which is not answered either
        watcher.relocate((LOCAL, other.port))
        await take_full_list(other, told, 1, DRAINS)
        await until(lambda: peer.ended._value >= 2)


@scenario
async def test_relocations_before_start_and_after_stop() -> None:
    """SIGHUP may arrive before the router has started or after it has stopped."""
    first, second, told = await Peer(read_http).start(), await Peer(read_http).start(), UpdateRecorder()
    watcher = make_endpoint_watcher((LOCAL, first.port), EndpointListReader(), True)
    watcher.relocate((LOCAL, second.port))
    watcher.start(told)
    watcher.poll()
    await take_full_list(second, told)
    watcher.stop()
    watcher.relocate((LOCAL, first.port))
    watcher.refresh()
    await second.ended.acquire()
    await asyncio.sleep(0.1)
    assert not first.opened and not told.updates
