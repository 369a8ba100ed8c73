"""A dispatcher with one server, which the test plays, and a scripted policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import ResponseStream
from ironrail.net.protocol.meta_codec import Command, parse_fields
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Connection, ConnectionPool
from ironrail.policy.actions import Action, FailRequest, SendAttempt
from ironrail.policy.endpoints import Endpoint, EndpointListKind
from ironrail.policy.events import AttemptEnded, EndpointListUpdate, Event, RequestReceived
from ironrail.policy.router import Router
from tests.peers import LOCAL, SETTINGS, Message, Peer


class ScriptedPolicy(Router):
    """Sends each request once, and records the events it receives."""

    after: Callable[[], None] | None = None  # called once, at the first outcome

    def __init__(self, *more: Action) -> None:
        super().__init__(SETTINGS, 1, 0.0)
        self.more = list(more)  # the actions at each later outcome
        self.received: asyncio.Queue[Event] = asyncio.Queue()

    def handle(self, now: float, event: Event) -> list[Action]:
        self.received.put_nowait(event)
        if isinstance(event, RequestReceived):
            return [SendAttempt(event.request_id, "s")]
        if isinstance(event, AttemptEnded) and self.after is not None:
            after, self.after = self.after, None
            after()
        if isinstance(event, AttemptEnded) and not event.request_ended:
            return self.more or [FailRequest(event.request_id)]
        return []

    async def outcome(self) -> AttemptEnded:
        while not isinstance(event := await self.received.get(), AttemptEnded):
            pass
        return event


class DispatchHarness:
    """A dispatcher with one server, whose client records all responses."""

    def __init__(
        self,
        policy: Router,
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
                "s", address, kind, PoolSettings(most, streams, idle), connect_timeout=connect_timeout
            )

        self.answers: dict[str, list[bytes]] = {}
        self.host = RequestDispatcher(policy, make, lambda: None, most)
        self.host.update_endpoints(
            EndpointListUpdate(EndpointListKind.FULL, (Endpoint("s"),)), {"s": (LOCAL, port)}
        )

    def take(
        self,
        name: str,
        value: bytes | None = None,
        wait: int = 5000,
        stream: ResponseStream | None = None,
        request_class: str = "once",
    ) -> None:
        info = f"c={request_class},t=x,d={wait}".encode()
        command = Command(b"k", name.encode(), info, parse_fields(info), value)
        answers = self.answers[name] = []
        self.host.accept(command, answers.append, stream)


def events_of(policy: ScriptedPolicy, name: str) -> list[Event]:
    """Return the events that the policy received about one request, except its arrival."""
    events = [policy.received.get_nowait() for _ in range(policy.received.qsize())]
    return [e for e in events if getattr(e, "request_id", "") == name and not isinstance(e, RequestReceived)]


async def quick_replies(harness: DispatchHarness, peer: Peer, policy: ScriptedPolicy) -> None:
    """Reply at once, so that queueing costs less than one more connection."""
    for name in ("q1", "q2"):  # the first one on a connection includes the connect
        harness.take(name)
        (await peer.next()).reply(b"VA 1 O%s h1\r\nv\r\n" % name.encode())
        await policy.outcome()


def reply(data: bytes) -> Callable[[Message], Any]:
    return lambda message: message.reply(data)


def reply_then_end(data: bytes) -> Callable[[Message], Any]:
    def act(message: Message) -> None:
        message.reply(data)
        message.end()

    return act


GOOD = b"VA 1 O1 h1\r\nv\r\n"
GOOD_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"


class Brief(ScriptedPolicy):
    """Gives each attempt a timeout in seconds."""

    time = 0.2

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [
            SendAttempt(a.request_id, a.server, self.time) if isinstance(a, SendAttempt) else a
            for a in actions
        ]
