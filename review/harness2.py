"""Stand-ins and helpers for the cases of the second review; the standard library only.

One event loop plays the clients, the cache servers, the origin, the discovery agent and the
platform. The routers are processes of their own, started with the `run` line of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_SECONDS = 30.0  # in which a router has to answer `mn` with `MN`

MAX_SECONDS = 110.0  # of a whole run

HELD, BROKEN, NO_VERDICT = 0, 1, 2


def trouble() -> bool:
    """Whether the run contains the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run: one line of JSON for each event."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun_at = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Write an event with the seconds since the start."""
        at = round(time.monotonic() - self._begun_at, 4)
        self._file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")

    def close(self) -> None:
        """End the record."""
        self._file.close()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def request_class(
    name: str, effect: str, aim: float, give_up: float, **more: Any
) -> dict[str, Any]:
    """Return one class of requests in the form of the settings."""
    return {
        "name": name,
        "effect": effect,
        "aim": aim,
        "giveUp": give_up,
        "group": "all",
        "repeatWindow": 2.5,
        "value": 3.0,
        "lateWorth": 0.3,
        "streaming": False,
    } | more


def make_settings() -> dict[str, Any]:
    """Return the settings of a small deployment with an origin, like those of the grid site."""
    return {
        "me": 0,
        "siblings": 3,
        "zone": "hall-a",
        "areas": ["hall-a", "hall-b", "hall-c"],
        "skus": ["fast-6", "mid-7", "slow-6", "origin"],
        "resolution": 0.005,
        "membershipMode": "automatic",
        "weights": "rough",
        "countedBy": "work",
        "classes": [
            request_class("grid-read", "free", 0.8, 1.5),
            request_class("prize-entry", "single_shot", 1.5, 3.0, value=8.0),
            request_class("hint-spend", "guarded", 1.0, 4.0, value=8.0),
        ],
        "tenants": [{"name": "daily", "share": 1.0, "allowancePerS": 200.0}],
        "clients": {"marksRetry": True},
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 3},
        "limits": {
            "connIdle": 60.0,
            "dialTimeout": 0.25,
            "mayCancel": True,
            "mostHeld": 20000,
            "mostTries": 3,
            "multiplex": 100,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": True,
        },
        "loadReport": {"fields": [], "how": "silent"},
        "penalties": {"connection": 0.03, "handshake": 0.03, "origin": 0.05},
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": 0.31,
            "fallMultiple": 2.5,
            "mustAskIn": 10.0,
            "overloadFor": 1.0,
            "rampTime": 8.9,
            "stopSendingWithin": 1.0,
        },
    }


# Servers


class Listener:
    """A loopback port whose connections are handled by a coroutine each."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen from now on."""
        self._server = await asyncio.start_server(self._accepted, HOST, self.port)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def die(self) -> None:
        """End as a process that dies: connections are reset, and new ones refused."""
        for writer in self.writers:
            plain = writer.get_extra_info("socket")
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class DelayedLink(Listener):
    """A proxy that delays all bytes by the same time in both directions, and keeps their order."""

    def __init__(self, target: int, seconds: float) -> None:
        super().__init__()
        self._target = target
        self._seconds = seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the target, and copy bytes until both sides have ended."""
        there, back = await asyncio.open_connection(HOST, self._target)
        self.writers.add(back)
        try:
            await asyncio.gather(self._copy(reader, back), self._copy(there, writer))
        finally:
            back.close()
            self.writers.discard(back)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        late: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due, data = await late.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                if not data:
                    with contextlib.suppress(OSError, RuntimeError):
                        writer.write_eof()
                    return
                writer.write(data)

        delivery = asyncio.create_task(deliver())
        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            late.put_nowait((loop.time() + self._seconds, data))
        await delivery


def parse_info(text: str) -> dict[str, str]:
    """Return the list of names and values of a request."""
    return {name: value for name, _, value in (pair.partition("=") for pair in text.split(","))}


def value_of(key: str, request: str, size: int) -> bytes:
    """Return a value that names its key and the request that it was made for."""
    text = f"value of {key} for {request} ".encode()
    return (text * (size // len(text) + 1))[: max(size, len(text))]


def receipt_of(key: str, request: str) -> bytes:
    """Return a receipt that names its write."""
    return f"receipt-{key}-{request}".encode()


class Cache(Listener):
    """A sound cache server: it answers in order, keeps what it is given, and only stores."""

    def __init__(self, name: str, zone: str, record: Record) -> None:
        super().__init__()
        self.name = name
        self.zone = zone
        self.state = "in_service"
        self.record = record
        self.kept: dict[str, int] = {}  # sizes of the values, by key
        self.missed: dict[str, str] = {}  # key, by request
        self.seconds: Callable[[], float] = float  # that a command takes
        self.on_command: Callable[[str], object] = str  # called with the id

    def row(self) -> dict[str, Any]:
        """Return its row in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": "mid-7",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection in order."""
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] == "mn":
                writer.write(b"MN\r\n")
                continue
            key = words[1]
            request = next(word[1:] for word in words[2:] if word[0] == "O")
            if words[0] == "ms":
                await reader.readexactly(int(words[2]) + 2)
                writer.write(f"EN O{request}\r\n".encode())
                continue
            self.on_command(request)
            await asyncio.sleep(self.seconds())
            size = self.kept.get(key)
            self.record.add("cache_command", cache=self.name, request=request, hit=size is not None)
            if size is None:
                self.missed[request] = key
                writer.write(f"EN O{request}\r\n".encode())
            else:
                value = value_of(key, request, size)
                writer.write(f"VA {len(value)} O{request}\r\n".encode() + value + b"\r\n")
            await writer.drain()


class OriginCall:
    """One HTTP request at the origin."""

    def __init__(self, method: str, key: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.key = key
        self.request = headers.get("request-id", "")
        self.info = parse_info(headers.get("request-info", ""))
        self.body = body


Answer = Callable[["OriginConnection", OriginCall], Awaitable[None]]


class OriginConnection:
    """One connection to the origin; `is_waiting` while a request on it has no answer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.is_waiting = False
        self.is_closed = False

    def respond(self, body: bytes) -> bytes:
        """Answer the open request with 200 and a body; return what was sent."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.writer.write(answer)
        self.is_waiting = False
        return answer


class Origin(Listener):
    """The origin: HTTP/1.1, a limited number of requests at a time, each after some time."""

    def __init__(self, record: Record, caches: list[Cache]) -> None:
        super().__init__()
        self.seconds = 0.02
        self.value_bytes = 200
        self.shown_port = self.port  # where discovery says that it is
        self._record = record
        self._caches = caches
        self._places = asyncio.Semaphore(16)
        self.answer: Answer = self.answer_soundly

    def row(self) -> dict[str, Any]:
        """Return its row in discovery's list."""
        return {
            "id": "archive",
            "addr": f"{HOST}:{self.shown_port}",
            "zone": "hall-b",
            "kind": "origin",
            "cell": 0,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after another."""
        connection = OriginConnection(reader, writer)
        try:
            while (call := await self._read(connection)) is not None:
                connection.is_waiting = True
                self._record.add(
                    "origin_call", method=call.method, key=call.key, request=call.request
                )
                async with self._places:
                    await asyncio.sleep(self.seconds)
                await self.answer(connection, call)
                self.store(call)
                await writer.drain()
        finally:
            connection.is_closed = True

    @staticmethod
    async def _read(connection: OriginConnection) -> OriginCall | None:
        try:
            head = await connection.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.decode().split("\r\n")
        pairs = (line.partition(": ") for line in lines if line)
        headers = {name.lower(): text for name, _, text in pairs}
        body = await connection.reader.readexactly(int(headers.get("content-length", "0")))
        method, target, _ = first.split(" ")
        return OriginCall(method, unquote(target.removeprefix("/")), headers, body)

    def body_of(self, call: OriginCall) -> bytes:
        """Return the value or the receipt that is made for a request."""
        if call.method == "PUT":
            return receipt_of(call.key, call.request)
        return value_of(call.key, call.request, self.value_bytes)

    async def answer_soundly(self, connection: OriginConnection, call: OriginCall) -> None:
        """Answer once, with a length."""
        connection.respond(self.body_of(call))

    def store(self, call: OriginCall) -> None:
        """Store a value at the caches that missed for its request; a write drops the copies."""
        for cache in self._caches:
            if call.method == "PUT":
                cache.kept.pop(call.key, None)
            elif cache.missed.pop(call.request, None) is not None:
                cache.kept[call.key] = self.value_bytes


class Agent(Listener):
    """The discovery agent of one router; it answers at once with what it has."""

    def __init__(self, rows: Callable[[], list[dict[str, Any]]]) -> None:
        super().__init__()
        self._rows = rows
        self.version = 1

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": self._rows()}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls; a watch waits for the time that it names."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
            document: dict[str, Any] = self.document()
            if "index" in query:
                await asyncio.sleep(float(query.get("wait", ["0"])[0]) / 1000)
                if int(query["index"][0]) >= self.version:
                    document = {"version": self.version, "full": False, "servers": []}
                else:
                    document = self.document()
            body = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


# Routers


def run_line() -> str:
    """Return the `run` line of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    line: str = deploy["run"]
    return line


class Router:
    """One router process."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.port = free_port()
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: int, settings: dict[str, Any], **more: Any) -> None:
        """Start the process, and return once it is ready."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        } | more
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = self._folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "NODE_NAME": self.name,
            "NODE_LISTEN": str(config["listen"]),
            "NODE_DISCOVERY": str(config["discovery"]),
            "NODE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_line(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record.add("router_started", router=self.name)
        await self._await_ready()

    async def _await_ready(self) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(b"mn\r\n")
                    line = await reader.readline()
                    writer.close()
                    if line == b"MN\r\n":
                        break
                await asyncio.sleep(0.05)
        self._record.add("router_ready", router=self.name)

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        assert self._process is not None
        return self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.add("signal", router=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    def private_bytes(self) -> int:
        """Return the memory of its own that the process holds, without shared files."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8").splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        return 0

    def log_events(self) -> dict[str, int]:
        """Count the events in the router's log."""
        counts: dict[str, int] = {}
        log = (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        for line in log.splitlines():
            with contextlib.suppress(ValueError, KeyError, TypeError):
                event = json.loads(line)["event"]
                counts[event] = counts.get(event, 0) + 1
        return counts

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self.signal(signal.SIGKILL)
            await self._process.wait()


# Clients


class NotWholeError(Exception):
    """The connection ended without a whole answer."""


class Client:
    """One connection of a client to a router."""

    _numbers = itertools.count()

    def __init__(self, record: Record) -> None:
        self._record = record

    @classmethod
    def new_id(cls) -> str:
        """Return an id that no other request has."""
        return f"{next(cls._numbers):08x}{os.urandom(4).hex()}"

    async def connect(self, port: int, receive_buffer: int = 0) -> None:
        """Connect to a router, with a receive buffer of so many bytes if given."""
        plain = socket.socket()
        if receive_buffer:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        plain.setblocking(False)
        await asyncio.get_running_loop().sock_connect(plain, (HOST, port))
        limit = receive_buffer or 65536
        self.reader, self.writer = await asyncio.open_connection(sock=plain, limit=limit)

    @staticmethod
    def command(
        key: str,
        request: str,
        class_name: str,
        milliseconds: int,
        value: bytes | None = None,
    ) -> bytes:
        """Return a command as a client writes it."""
        info = f"c={class_name},t=daily,d={milliseconds}"
        if value is None:
            return f"mg {key} v O{request} P{info}\r\n".encode()
        return f"ms {key} {len(value)} O{request} P{info}\r\n".encode() + value + b"\r\n"

    async def read_answer(self) -> tuple[str, str, bytes]:
        """Return the kind of the next answer, the id in it, and its value or receipt.

        Raises:
            NotWholeError: The connection ended before.
        """
        try:
            line = await self.reader.readuntil(b"\r\n")
            words = line.decode().split()
            request = next((word[1:] for word in words[1:] if word[0] == "O"), "")
            if words[0] == "VA":
                value = await self.reader.readexactly(int(words[1]) + 2)
                return "VA", request, value[:-2]
        except (asyncio.IncompleteReadError, OSError) as error:
            raise NotWholeError(str(error)) from error
        if words[0] == "HD":
            return "HD", request, next(word[1:] for word in words[1:] if word[0] == "c").encode()
        if words[:2] == ["SERVER_ERROR", "busy"]:
            return "busy", request, b""
        return "failed", request, line.strip()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.writer.close()


# Runs


class Stage:
    """What every case needs: a record, a temporary folder, caches, an origin and an agent."""

    def __init__(self, folder: Path, make_cache: type[Cache]) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        halls = ["hall-a", "hall-b", "hall-c"]
        self.caches = [make_cache(f"cache-{n}", hall, self.record) for n, hall in enumerate(halls)]
        self.origin = Origin(self.record, self.caches)
        self.agent = Agent(lambda: [server.row() for server in [*self.caches, self.origin]])
        self.routers: list[Router] = []
        self._listeners: list[Listener] = [*self.caches, self.origin, self.agent]

    def add(self, listener: Listener) -> None:
        """Start and end one more stand-in with the stage."""
        self._listeners.append(listener)

    async def open(self) -> None:
        """Start all stand-ins."""
        for listener in self._listeners:
            await listener.start()

    def new_router(self) -> Router:
        """Return one more router, which is not started yet."""
        router = Router(f"router-{len(self.routers)}", self.folder, self.record)
        self.routers.append(router)
        return router

    async def close(self) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for router in self.routers:
            await router.stop()
        for listener in self._listeners:
            listener.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: Path, play: Callable[[Stage], Awaitable[list[str]]], make_cache: type[Cache] = Cache
) -> None:
    """Play a case and exit with its verdict; `play` returns the breaks of the rule that it saw."""

    async def whole() -> list[str]:
        stage = Stage(folder, make_cache)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await stage.open()
                breaks = await play(stage)
                for text in breaks:
                    stage.record.add("broken", text=text)
                stage.record.add("verdict", breaks=len(breaks), trouble=trouble())
                return breaks
        finally:
            await stage.close()

    try:
        breaks = asyncio.run(whole())
    except Exception as error:  # whatever keeps the case from running
        print(f"no verdict: {error!r}", file=sys.stderr)
        sys.exit(NO_VERDICT)
    for text in breaks[:10]:
        print(f"broken: {text}")
    print(f"{len(breaks)} breaks of the rule")
    sys.exit(BROKEN if breaks else HELD)
