"""A stand-in for discovery, and a recorder of the updates of an endpoint watcher."""

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


class UpdateRecorder:
    """The updates of an endpoint watcher, in order."""

    def __init__(self) -> None:
        self.updates: list[EndpointListUpdate] = []
        self.arrived = asyncio.Event()

    def __call__(self, update: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        self.updates.append(update)
        self.arrived.set()

    async def next(self) -> EndpointListUpdate:
        while not self.updates:
            self.arrived.clear()
            await self.arrived.wait()
        return self.updates.pop(0)

    async def state(self) -> EndpointState:
        return (await self.next()).endpoints[0].state


@asynccontextmanager
async def watched_service(
    on_request: bool = False,
) -> AsyncIterator[tuple[Peer, EndpointWatcher, UpdateRecorder]]:
    """Start a stand-in for discovery, and a watcher whose updates are recorded."""
    peer, told = await Peer(read_http).start(), UpdateRecorder()
    watcher = make_endpoint_watcher((LOCAL, peer.port), EndpointListReader(), on_request)
    watcher.start(told)
    watcher.poll()
    yield peer, watcher, told
    watcher.stop()


async def take_full_list(
    peer: Peer, told: UpdateRecorder, version: int = 1, row: dict[str, Any] = ROW
) -> Message:
    """Answer the request for the full list; return the watch that follows."""
    call = await peer.next()
    assert call.head == b"GET /api/targets"
    call.respond_list(version, row)
    assert (await told.next()).kind is FULL
    return await peer.next()


def write_unread(message: Message, version: int, *rows: dict[str, Any]) -> None:
    """Respond with a delta that is in the router's receive buffer, unread, on return."""
    body = orjson.dumps({"version": version, "full": False, "servers": rows})
    answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    assert os.write(message.writer.get_extra_info("socket").fileno(), answer) == len(answer)


def connects_succeed(monkeypatch: pytest.MonkeyPatch, *whether: bool) -> None:
    """Let the next connects succeed or hang, in turn."""
    opened, opens = asyncio.open_connection, iter(whether)

    async def open_in_turn(*address: Any) -> Any:
        if not next(opens):
            await asyncio.sleep(600.0)
        return await opened(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_in_turn)
