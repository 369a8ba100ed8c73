"""What a router's end of discovery is told, for tests: who tells answers only as they say."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import orjson
import pytest
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.factory import make_endpoint_watcher
from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.system import Address
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate

from tests.peers import LOCAL, Message, Peer, read_http

ROW = {"id": "c", "addr": "127.0.0.1:9", "state": "in_service"}
DRAINS = {**ROW, "state": "terminating"}
FULL, DELTA = EndpointListKind.FULL, EndpointListKind.DELTA
FAILED, SPOILT, SILENT = (
    EndpointListKind.FAILED,
    EndpointListKind.MALFORMED,
    EndpointListKind.WATCH_TIMED_OUT,
)


class Told:
    """What a discovery told, in order."""

    def __init__(self) -> None:
        self.news: list[EndpointListUpdate] = []
        self.came = asyncio.Event()

    def __call__(self, news: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        self.news.append(news)
        self.came.set()

    async def next(self) -> EndpointListUpdate:
        while not self.news:
            self.came.clear()
            await self.came.wait()
        return self.news.pop(0)

    async def state(self) -> EndpointState:
        return (await self.next()).endpoints[0].state


@asynccontextmanager
async def followed(on_request: bool = False) -> AsyncIterator[tuple[Peer, EndpointWatcher, Told]]:
    """Somebody who tells, and a router's end that is told."""
    peer, told = await Peer(read_http).start(), Told()
    follows = make_endpoint_watcher((LOCAL, peer.port), EndpointListReader(), on_request)
    follows.start(told)
    follows.poll()
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


def connects_come_up(monkeypatch: pytest.MonkeyPatch, *whether: bool) -> None:
    """Of the next connects, in turn: one that does not hangs."""
    opened, opens = asyncio.open_connection, iter(whether)

    async def open_in_turn(*address: Any) -> Any:
        if not next(opens):
            await asyncio.sleep(600.0)
        return await opened(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_in_turn)
