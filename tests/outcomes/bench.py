"""A host with one server that a test plays, and a module that decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ironrail.connections.upstream.pool_manager import UpstreamConnection
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.pending_request import ResponseStream
from ironrail.net.protocol.meta_codec import Command, parse_fields
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Connection, ConnectionPool
from ironrail.policy.actions import Action, FailRequest, SendAttempt
from ironrail.policy.endpoints import Endpoint, EndpointListKind
from ironrail.policy.events import AttemptEnded, EndpointListUpdate, Event, RequestReceived
from ironrail.policy.router import Router

from tests.peers import LOCAL, SETTINGS, Message, Peer


class Script(Router):
    """Takes no decisions of its own: sends each request once and notes what it is told."""

    after: Callable[[], None] | None = None  # done once, at the first outcome

    def __init__(self, *more: Action) -> None:
        super().__init__(SETTINGS, 1, 0.0)
        self.more = list(more)  # answers to what comes after the first request
        self.told: asyncio.Queue[Event] = asyncio.Queue()

    def handle(self, now: float, event: Event) -> list[Action]:
        self.told.put_nowait(event)
        if isinstance(event, RequestReceived):
            return [SendAttempt(event.request_id, "s")]
        if isinstance(event, AttemptEnded) and self.after is not None:
            after, self.after = self.after, None
            after()
        if isinstance(event, AttemptEnded) and not event.request_ended:
            return self.more or [FailRequest(event.request_id)]
        return []

    async def outcome(self) -> AttemptEnded:
        while not isinstance(event := await self.told.get(), AttemptEnded):
            pass
        return event


class Bench:
    """A host with one server, whose client keeps all answers it gets."""

    def __init__(
        self,
        script: Router,
        port: int,
        kind: Callable[[ConnectionPool, UpstreamConnection], Connection] = CacheConnection,
        *,
        most: int = 8,
        streams: int = 100,
        connect_timeout: float = 0.25,
        idle: float = 60.0,
    ) -> None:
        def make(entry: Endpoint, address: tuple[str, int]) -> ConnectionPool:
            return ConnectionPool(
                "s", address, kind, most=most, streams=streams, connect_timeout=connect_timeout, idle=idle
            )

        self.answers: dict[str, list[bytes]] = {}
        self.host = RequestDispatcher(script, make, lambda: None, most)
        self.host.servers(EndpointListUpdate(EndpointListKind.FULL, (Endpoint("s"),)), {"s": (LOCAL, port)})

    def take(
        self,
        name: str,
        value: bytes | None = None,
        wait: int = 5000,
        passage: ResponseStream | None = None,
        request_class: str = "once",
    ) -> None:
        info = f"c={request_class},t=x,d={wait}".encode()
        command = Command(b"k", name.encode(), info, parse_fields(info), value)
        answers = self.answers[name] = []
        self.host.take(command, answers.append, passage)


def told(script: Script, name: str) -> list[Event]:
    """What the module has been told of one request, after its coming."""
    events = [script.told.get_nowait() for _ in range(script.told.qsize())]
    return [e for e in events if getattr(e, "request_id", "") == name and not isinstance(e, RequestReceived)]


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

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [
            SendAttempt(a.request_id, a.server, self.time) if isinstance(a, SendAttempt) else a
            for a in actions
        ]
