"""Small stand-ins for the cases in this folder: agent, cache server, origin, platform, client.

They follow PROTOCOL-ironrail.md and DEPLOY-ironrail.md and use the standard library alone. All
addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_WITHIN = 30.0  # DEPLOY: clients come when all routers are ready, or after 30 s
KILL_GRACE = 0.7  # PROTOCOL: SIGKILL comes no sooner than the longest deadline and 0.7 s more

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that says what was sent, answered and run; a line of JSON for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._start

    def add(self, who: str, what: str, **fields: Any) -> None:
        """Write one event."""
        line = {"t": round(self.now(), 4), "who": who, "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Write all events out."""
        self._file.close()


def free_port() -> int:
    """Return a port that no other process uses now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of a process does."""
    peer = writer.get_extra_info("socket")
    if peer is not None:
        with contextlib.suppress(OSError):
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Settings


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of section 12 of the wire page."""
    document: dict[str, Any] = {
        "areas": ["hall-a", "hall-b", "hall-c"],
        "classes": [
            {"aim": 0.8, "effect": "free", "giveUp": 1.5, "group": "all", "lateWorth": 0.3}
            | {"name": "grid-read", "repeatWindow": 5.0, "streaming": False, "value": 3.0},
            {"aim": 1.5, "effect": "single_shot", "giveUp": 3.0, "group": "all", "lateWorth": 0.25}
            | {"name": "prize-entry", "repeatWindow": 5.0, "streaming": False, "value": 8.0},
            {"aim": 1.0, "effect": "guarded", "giveUp": 4.0, "group": "all", "lateWorth": 0.2}
            | {"name": "hint-spend", "repeatWindow": 2.5, "streaming": False, "value": 8.0},
        ],
        "clients": {"marksRetry": True},
        "countedBy": "work",
        "family": "cache",
        "familyInfo": {"mode": "aside", "originFall": 3.0, "originFallMultiple": 0.0}
        | {"originKind": 3},
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
        "limits": {"connIdle": 60.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000}
        | {"dialTimeout": 0.25, "maxRetryAfter": 2.0, "mayCancel": True, "mostHeld": 20000}
        | {"mostTries": 3, "multiplex": 100, "peers": False, "probes": False}
        | {"retryAfter": False, "secondCopies": True},
        "loadReport": {"fields": [], "how": "silent"},
        "me": 0,
        "membershipMode": "automatic",
        "overShareWorth": 0.2,
        "penalties": {"connection": 0.03, "crossZone": 0.01, "handshake": 0.03, "lateFail": 0.05}
        | {"origin": 0.05, "waste": 0.02},
        "resolution": 0.005,
        "rules": {"answerSlack": 0.02, "coldFrom": 0.31, "fallMultiple": 2.5, "mustAskIn": 10.0}
        | {"overloadFor": 1.0, "rampTime": 8.9, "stopSendingWithin": 1.0},
        "siblings": 1,
        "skus": ["fast-6", "mid-7", "slow-6", "origin"],
        "tenants": [{"allowancePerS": 400.0, "name": "puzzelkrant", "share": 1.0}],
        "tier": 0,
        "tiers": ["gridcache"],
        "weights": "rough",
        "zone": "hall-b",
    }
    return document | changes


# Discovery


@dataclass
class Agent:
    """The agent on the router's machine, where lists are pushed: it answers at once."""

    record: Record
    rows: dict[str, dict[str, Any]] = field(default_factory=dict)
    version: int = 1

    async def start(self) -> None:
        """Listen."""
        self._changes: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def list_server(self, name: str, port: int, kind: str, zone: str) -> None:
        """Add a server to the list."""
        self.rows[name] = {
            "id": name,
            "addr": f"{HOST}:{port}",
            "zone": zone,
            "kind": kind,
            "cell": 1,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }

    def change(self, name: str, **fields: Any) -> None:
        """Change a row, and tell those who watch."""
        self.rows[name].update(fields)
        self.version += 1
        self._changes.append((self.version, name))
        self.record.add("agent", "changed", server=name, version=self.version, **fields)
        self._changed.set()
        self._changed = asyncio.Event()

    def _document(self, since: int | None) -> bytes:
        if since is None:
            names, full = list(self.rows), True
        else:
            names, full = sorted({n for v, n in self._changes if v > since}), False
        rows = [self.rows[name] for name in names]
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = urlsplit(head.split(b" ")[1].decode())
                query = parse_qs(target.query)
                since = int(query["index"][0]) if "index" in query else None
                if since is not None and since >= self.version:
                    wait = min(60000, int(query.get("wait", ["0"])[0])) / 1000
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), wait)
                body = self._document(since)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()


# Cache servers


@dataclass
class Command:
    """A command that a cache server or the origin has begun."""

    verb: str
    key: str
    request: str
    info: dict[str, str]
    value: bytes = b""


def parse_info(text: str) -> dict[str, str]:
    """Parse the list of names and values."""
    return dict(pair.partition("=")[::2] for pair in text.split(","))


Reply = Callable[["Cache", Command], Awaitable[bytes | AsyncIterator[bytes]]]


@dataclass
class Cache:
    """A cache server: stores values by key, answers in order, begins commands as they come.

    `reply` returns the answer of one command, whole or as pieces that are sent one by one.
    """

    name: str
    record: Record
    reply: Reply
    stored: set[str] = field(default_factory=set)
    served: int = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2**23)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """End like a process that dies: reset all connections, and refuse new ones."""
        self.record.add(self.name, "crashed", connections=len(self.writers))
        self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        answers: asyncio.Queue[asyncio.Task[Any]] = asyncio.Queue()
        sender = asyncio.create_task(self._send(answers, writer))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                command = await self._read(line, reader)
                self.record.add(self.name, "begun", verb=command.verb, request=command.request)
                answers.put_nowait(asyncio.create_task(self.reply(self, command)))
        sender.cancel()
        self.writers.discard(writer)
        writer.close()

    async def _read(self, line: str, reader: asyncio.StreamReader) -> Command:
        words = line.split(" ")
        flags = {word[0]: word[1:] for word in words[2:] if word}
        value = b""
        if words[0] == "ms":
            value = (await reader.readexactly(int(words[2]) + 2))[:-2]
        return Command(
            words[0], words[1], flags.get("O", ""), parse_info(flags.get("P", "")), value
        )

    async def _send(self, answers: Any, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while True:
                answer = await (await answers.get())
                pieces = iterate(answer) if isinstance(answer, bytes) else answer
                async for data in pieces:
                    if not writer.is_closing():
                        writer.write(data)
                        await writer.drain()


async def iterate(data: bytes) -> AsyncIterator[bytes]:
    """Yield an answer that is sent in one piece."""
    yield data


def value_line(request: str, value: bytes, note: str = "h1") -> bytes:
    """Return a cache server's answer with a value."""
    return b"VA %d O%s %s\r\n" % (len(value), request.encode(), note.encode()) + value + b"\r\n"


def miss_line(request: str) -> bytes:
    """Return a cache server's answer for a key that it lacks."""
    return f"EN O{request}\r\n".encode()


def own_value(request: str, key: str, server: str, size: int = 0) -> bytes:
    """Return the value that a server makes for one request; it names the request."""
    text = f"value-for:{request}:{key}:{server}:".encode()
    return text + b"." * max(0, size - len(text))


# The origin


OriginReply = Callable[["Origin", Command, asyncio.StreamWriter], Awaitable[bytes]]


@dataclass
class Origin:
    """The origin: HTTP/1.1, one request at a time on a connection."""

    record: Record
    reply: OriginReply
    name: str = "origin"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2**23)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                verb, target, _ = head[0].split(" ")
                fields = {k.lower(): v for k, _, v in (h.partition(": ") for h in head[1:])}
                value = await reader.readexactly(int(fields.get("content-length", "0")))
                key = unquote(target.removeprefix("/"))
                info = parse_info(fields.get("request-info", ""))
                command = Command(verb, key, fields.get("request-id", ""), info, value)
                self.record.add(self.name, "begun", verb=verb, key=key, request=command.request)
                data = await self.reply(self, command, writer)
                if data:
                    writer.write(data)
                    await writer.drain()
        writer.close()


def http_answer(body: bytes, status: str = "200 OK") -> bytes:
    """Return an HTTP response with a body."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body)) + body


# The platform


class Router:
    """A router, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, name: str, agent: Agent, **limits: Any) -> None:
        self.record, self.name, self._agent = record, name, agent
        self.port = free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="ironrail-review-")
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, conf: dict[str, Any]) -> None:
        """Start the process with its own configuration and temporary folder."""
        folder = Path(self._folder.name)
        (folder / "tmp").mkdir(exist_ok=True)
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": self._agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": {
                "version": self._agent.version,
                "full": True,
                "servers": list(self._agent.rows.values()),
            },
            "settings": conf,
        }
        (folder / "config.json").write_text(json.dumps(config))
        environ = dict(os.environ)
        environ |= {
            "NODE_NAME": self.name,
            "NODE_LISTEN": config["listen"],
            "NODE_DISCOVERY": self._agent.address,
            "NODE_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder / "tmp"),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.add(self.name, "started")

    def log_lines(self) -> list[str]:
        """Return what the router wrote to its log."""
        return (Path(self._folder.name) / "log").read_text(errors="replace").splitlines()

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send the program a signal."""
        if self.process is not None and not self.has_ended():
            self.record.add(self.name, number.name)
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until `mn` is answered with `MN`."""
        give_up_at = time.monotonic() + READY_WITHIN
        while time.monotonic() < give_up_at and not self.has_ended():
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"mn\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"MN\r\n":
                    self.record.add(self.name, "ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log_lines()[-3:]}")

    def anonymous_mb(self) -> float:
        """Return the memory that the process holds itself, in units of 1,048,576 bytes.

        Pages of files, such as those of libraries, are not counted.
        """
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End the process if it still runs, and remove its folder."""
        if self.process is not None and not self.has_ended():
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._folder.cleanup()


class CannotRunError(Exception):
    """The case could not run."""


# Clients


@dataclass
class Answer:
    """What a client got for one command."""

    kind: str  # served, busy, failed, cut or lost
    value: bytes = b""
    at: float = 0.0  # of its last byte


class Client:
    """One connection of a client to a router, on which commands are answered in order."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name

    async def connect(self, port: int, receive_buffer: int = 0) -> None:
        """Connect to a router."""
        peer = socket.socket()
        if receive_buffer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        peer.setblocking(False)
        await asyncio.get_running_loop().sock_connect(peer, (HOST, port))
        self.reader, self.writer = await asyncio.open_connection(sock=peer, limit=2**16)

    def write(self, data: bytes) -> None:
        """Write commands."""
        self.writer.write(data)

    async def answer(self) -> Answer:
        """Return the next answer; `lost` if the connection ends before its first byte."""
        try:
            line = await self.reader.readuntil(b"\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            begun = bool(getattr(error, "partial", b""))
            return Answer("cut" if begun else "lost", b"", self.record.now())
        words = line[:-2].split(b" ")
        if words[0] == b"VA":
            try:
                value = (await self.reader.readexactly(int(words[1]) + 2))[:-2]
            except (OSError, asyncio.IncompleteReadError):
                return Answer("cut", b"", self.record.now())
            return Answer("served", value, self.record.now())
        if words[0] == b"HD":
            receipt = next((w[1:] for w in words[1:] if w[:1] == b"c"), b"")
            return Answer("served", receipt, self.record.now())
        if words[:2] == [b"SERVER_ERROR", b"busy"]:
            return Answer("busy", b"", self.record.now())
        return Answer("failed", line[:-2], self.record.now())

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def read_command(key: str, request: str, wait_ms: int, kind: str = "grid-read") -> bytes:
    """Return a read."""
    return f"mg {key} v O{request} Pc={kind},t=puzzelkrant,d={wait_ms}\r\n".encode()


def write_command(
    key: str, request: str, value: bytes, wait_ms: int, kind: str, idempotency: str = ""
) -> bytes:
    """Return a write."""
    info = f"Pc={kind},t=puzzelkrant,d={wait_ms}" + (f",k={idempotency}" if idempotency else "")
    return f"ms {key} {len(value)} O{request} {info}\r\n".encode() + value + b"\r\n"


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]], limit: float = 110.0) -> None:
    """Run a case and exit with its code."""
    record = Record(folder / "record.txt")
    record.add("case", "begins", trouble=trouble())

    def on_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        record.add("case", "error in a stand-in", text=repr(context.get("exception")))

    async def bounded() -> int:
        asyncio.get_running_loop().set_exception_handler(on_error)
        return await asyncio.wait_for(case(record), limit)

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # exit code 1 is for a broken rule alone
        record.add("case", "could not run", error=repr(error))
        sys.stderr.write(f"could not run: {error!r}\n")
        code = NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code]
    record.add("case", verdict)
    record.close()
    sys.stdout.write(verdict + "\n")
    sys.exit(code)
