"""The peers of a router's sockets, played by a test: clients, servers and discovery."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, replace
from typing import Any, Self

import orjson
import uvloop

from ironrail.net.config import Config
from ironrail.net.lifecycle.node import NO_OPERATOR_FILE, Node
from ironrail.operator_file import OperatorSettings
from ironrail.policy.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from ironrail.rehearsal.standins.http import RequestReader
from ironrail.rehearsal.standins.meta_protocol import CommandReader

PATIENCE = 10.0  # seconds for a whole scenario; only a failing test takes that long
LOCAL = "127.0.0.1"
WATCH_WAIT = 2.0  # seconds of a watch; longer than with an agent, as the test answers it step by step


def scenario(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test on its own event loop, within a time limit."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(PATIENCE):
                await test(*args, **kwargs)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(bounded())

    return run


async def until(holds: Callable[..., object], *args: object) -> None:
    """Poll until a condition holds, where no event reports it."""
    while not holds(*args):
        await asyncio.sleep(0.002)


@dataclass(eq=False)
class Message:
    """A message that a peer has received."""

    head: bytes  # a command line, or an HTTP method and target
    value: bytes | None
    headers: dict[str, str]
    writer: asyncio.StreamWriter

    @property
    def words(self) -> list[bytes]:
        return self.head.split(b" ")

    @property
    def flag(self) -> bytes:
        """The `O` flag, which holds the request id."""
        return next(w for w in self.words if w.startswith(b"O"))

    def reply(self, data: bytes) -> None:
        self.writer.write(data)

    def reply_value(self, value: bytes) -> None:
        self.reply(b"VA %d %b h1\r\n%b\r\n" % (len(value), self.flag, value))

    def respond(self, body: bytes, status: int = 200, *headers: bytes) -> None:
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
        self.reply(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def respond_list(self, version: int, *rows: dict[str, Any], full: bool = True) -> None:
        self.respond(orjson.dumps({"version": version, "full": full, "servers": rows}))

    def end(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


Take = Callable[[bytes], Iterator[Message]]


def read_command(writer: asyncio.StreamWriter) -> Take:
    """Parse meta protocol commands with the parser of the rehearsal kit's caches."""
    parser = CommandReader()

    def take(data: bytes) -> Iterator[Message]:
        parser.add(data)
        while (command := parser.next()) is not None:
            yield Message(command.line, command.value, {}, writer)

    return take


def read_http(writer: asyncio.StreamWriter) -> Take:
    """Parse HTTP/1.1 requests with the parser of the rehearsal kit's origin."""
    parser = RequestReader()

    def take(data: bytes) -> Iterator[Message]:
        parser.add(data)
        while (got := parser.next()) is not None:
            yield Message(f"{got.method} {got.target}".encode(), got.body, got.headers, writer)

    return take


class Peer:
    """A server that puts the messages that it reads into a queue."""

    def __init__(self, read: Callable[[asyncio.StreamWriter], Take] = read_command) -> None:
        self.read = read
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.opened, self.ended = 0, asyncio.Semaphore(0)
        self.port = 0

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self._serve, LOCAL, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        take = self.read(writer)
        try:
            while data := await reader.read(65536):
                for message in take(data):
                    self.messages.put_nowait(message)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            self.ended.release()

    async def next(self) -> Message:
        return await self.messages.get()

    def row(self, name: str, kind: str = "std", **fields: Any) -> dict[str, Any]:
        """Return the server's row in discovery's endpoint list."""
        base = {"id": name, "addr": f"{LOCAL}:{self.port}", "zone": "z", "kind": kind, "cell": 0}
        return {**base, "state": "in_service", "weight": 1.0, "started_ms": 0, **fields}


class Client:
    """A client of the router, with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def get(self, name: str, key: str = "k", wait: int = 5000, cls: str = "read") -> None:
        self.send(f"mg {key} v O{name} Pc={cls},t=x,d={wait}\r\n".encode())

    def put(self, name: str, value: bytes, key: str = "k", wait: int = 5000, cls: str = "once") -> None:
        self.send(f"ms {key} {len(value)} O{name} Pc={cls},t=x,d={wait}\r\n".encode() + value + b"\r\n")

    async def line(self) -> bytes:
        return await self.reader.readuntil(b"\r\n")

    async def value(self, name: str) -> bytes:
        """Return the value of a complete response to this request."""
        head = (await self.line()).split()
        assert head[0] == b"VA" and head[2] == b"O" + name.encode(), head
        return (await self.reader.readexactly(int(head[1]) + 2))[:-2]

    async def ended(self) -> bool:
        """Wait for the end of the connection; return whether no data arrived before it."""
        return await self.reader.read() == b""

    def close(self) -> None:
        self.writer.close()


async def connect(address: tuple[str, int]) -> Client:
    return Client(*await asyncio.open_connection(*address))


READ = RequestClass("read", latency_objective=2.0, client_timeout=9000.0)
KEYED = RequestClass("keyed", 2.0, Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL, idempotency_window=2.0)
ONCE = RequestClass("once", 2.0, Idempotency.UNSAFE)
SETTINGS = Settings(
    classes={c.name: c for c in (READ, KEYED, ONCE)},
    cache_aside=True,
    origin_kind="origin",
    hedging_allowed=True,
    cancellation_allowed=True,
    max_attempts=3,
)


class World:
    """A router with one cache, an origin and discovery."""

    def __init__(
        self, sockets: int = 1024, operator: OperatorSettings = NO_OPERATOR_FILE, **changes: Any
    ) -> None:
        self.sockets, self.operator = sockets, operator
        self.settings = replace(SETTINGS, **changes)
        self.cache, self.origin, self.discovery = Peer(), Peer(read_http), Peer(read_http)

    async def start(self) -> Self:
        """Start all parts, and send the first endpoint list."""
        for peer in (self.cache, self.origin, self.discovery):
            await peer.start()
        self.node = Node(self.config(), self.operator)
        if not self.settings.polls_endpoint_list:
            watcher = self.node._endpoint_watcher
            watcher._watch_timing = replace(watcher._watch_timing, wait=WATCH_WAIT)
        self.address = self.node.start()
        (await self.discovery.next()).respond_list(1, *self.rows())
        self.watch = await self.discovery.next()  # its arrival means that the list was applied
        return self

    def config(self) -> Config:
        known = {"version": 0, "full": True, "servers": []}
        discovery = (LOCAL, self.discovery.port)
        return Config((LOCAL, 0), discovery, 1, self.sockets, 192 * 1024**2, 100, known, self.settings)

    def rows(self, **fields: Any) -> list[dict[str, Any]]:
        return [self.cache.row("c", **fields), self.origin.row("o", "origin")]

    async def tell(self, *rows: dict[str, Any], full: bool = False) -> None:
        """Send a change of the endpoint list; return once it is applied."""
        self.watch.respond_list(2, *rows, full=full)
        self.watch = await self.discovery.next()

    async def client(self) -> Client:
        return await connect(self.address)
