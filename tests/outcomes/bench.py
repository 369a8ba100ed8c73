"""A host with one server that a test plays, and a module that decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ironrail.connections.upstream import Link
from ironrail.net.caches import CacheConnection
from ironrail.net.held import Passage
from ironrail.net.host import Host
from ironrail.net.memcache import Command, read_fields
from ironrail.net.pool import Connection, Pool
from ironrail.policy import interface as api
from ironrail.policy.balance import Router
from tests.peers import LOCAL, SETTINGS, Message, Peer


class Script(Router):
    """Takes no decisions of its own: sends each request once and notes what it is told."""

    after: Callable[[], None] | None = None  # done once, at the first outcome

    def __init__(self, *more: api.Action) -> None:
        super().__init__(SETTINGS, 1, 0.0)
        self.more = list(more)  # answers to what comes after the first request
        self.told: asyncio.Queue[api.Event] = asyncio.Queue()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.told.put_nowait(event)
        if isinstance(event, api.Request):
            return [api.Send(event.request, "s")]
        if isinstance(event, api.Outcome) and self.after is not None:
            after, self.after = self.after, None
            after()
        if isinstance(event, api.Outcome) and not event.closed:
            return self.more or [api.Fail(event.request)]
        return []

    async def outcome(self) -> api.Outcome:
        while not isinstance(event := await self.told.get(), api.Outcome):
            pass
        return event


class Bench:
    """A host with one server, whose client keeps all answers it gets."""

    def __init__(
        self,
        script: Router,
        port: int,
        kind: Callable[[Pool, Link], Connection] = CacheConnection,
        *,
        most: int = 8,
        streams: int = 100,
        connect_timeout: float = 0.25,
        idle: float = 60.0,
    ) -> None:
        def make(entry: api.ServerEntry, address: tuple[str, int]) -> Pool:
            return Pool(
                "s", address, kind, most=most, streams=streams, connect_timeout=connect_timeout, idle=idle
            )

        self.answers: dict[str, list[bytes]] = {}
        self.host = Host(script, make, lambda: None, most)
        self.host.servers(api.ServerList(api.ListKind.FULL, (api.ServerEntry("s"),)), {"s": (LOCAL, port)})

    def take(
        self,
        name: str,
        value: bytes | None = None,
        wait: int = 5000,
        passage: Passage | None = None,
        request_class: str = "once",
    ) -> None:
        info = f"c={request_class},t=x,d={wait}".encode()
        command = Command(b"k", name.encode(), info, read_fields(info), value)
        answers = self.answers[name] = []
        self.host.take(command, answers.append, passage)


def told(script: Script, name: str) -> list[api.Event]:
    """What the module has been told of one request, after its coming."""
    events = [script.told.get_nowait() for _ in range(script.told.qsize())]
    return [e for e in events if getattr(e, "request", "") == name and not isinstance(e, api.Request)]


async def quick_replies(bench: Bench, peer: Peer, script: Script) -> None:
    """Replies come at once, so that waiting for one costs less than one more connection."""
    for name in ("q1", "q2"):  # the first one on a connection has its handshake to wait for
        bench.take(name)
        (await peer.next()).reply(b"VA 1 O%s h1\r\nv\r\n" % name.encode())
        await script.outcome()


def reply(data: bytes) -> Callable[[Message], Any]:
    return lambda message: message.reply(data)


def reply_then_end(data: bytes) -> Callable[[Message], Any]:
    def act(message: Message) -> None:
        message.reply(data)
        message.end()

    return act


GOOD = b"VA 1 O1 h1\r\nv\r\n"
GOOD_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"


class Brief(Script):
    """Gives an attempt so many seconds."""

    time = 0.2

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        return [api.Send(a.request, a.server, self.time) if isinstance(a, api.Send) else a for a in actions]
