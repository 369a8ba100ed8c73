"""CPU that a router uses for a served request, compared with a minimal relay in the same run.

    python benchmarks/router_cost.py --seconds 4 --rounds 3

16 clients with one request in flight each, values of 512 bytes, one cache and one origin on loopback. Router
and relay, both on uvloop, are measured alternately; CPU is that of the process, as the system counts it. The
ratio is printed last.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import psutil
import uvloop

CLIENTS = 16
VALUE = b"v" * 512
ROUTER, RELAY, CACHE, ORIGIN, DISCOVERY = 23301, 23302, 23303, 23304, 23305
LOCAL = "127.0.0.1"
CLASSES = [
    {"name": "read", "aim": 2.0, "giveUp": 9.0, "effect": "free", "group": "all"},
    {"name": "put", "aim": 2.0, "giveUp": 9.0, "effect": "single_shot", "group": "all"},
]
RELAY_PROGRAM = """
import asyncio, uvloop
class Up(asyncio.Protocol):
    def __init__(self, down): self.down = down
    def connection_made(self, transport): self.transport = transport
    def data_received(self, data):
        if not self.down.is_closing(): self.down.write(data)
class Down(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.early, self.up = transport, [], None
        asyncio.get_running_loop().create_task(self.open())
    async def open(self):
        loop = asyncio.get_running_loop()
        self.up, _ = await loop.create_connection(lambda: Up(self.transport), "127.0.0.1", %d)
        for data in self.early: self.up.write(data)
    def data_received(self, data):
        if self.up is None: self.early.append(data)
        else: self.up.write(data)
async def main():
    server = await asyncio.get_running_loop().create_server(Down, "127.0.0.1", %d)
    await server.serve_forever()
uvloop.run(main())
"""


class Cache(asyncio.Protocol):
    """Answers each request with a value, or each with a miss."""

    misses = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n")) >= 0:
            words, self.buffer = self.buffer[:end].split(b" "), self.buffer[end + 2 :]
            name = next(word for word in words if word.startswith(b"O"))
            if Cache.misses:
                self.transport.write(b"EN " + name + b"\r\n")
            else:
                self.transport.write(b"VA %d %s\r\n%s\r\n" % (len(VALUE), name, VALUE))


class Origin(asyncio.Protocol):
    """Answers each request immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end]
            length = next(
                (int(h[16:]) for h in head.split(b"\r\n") if h.lower().startswith(b"content-length: ")), 0
            )
            if len(self.buffer) < end + 4 + length:
                return
            self.buffer = self.buffer[end + 4 + length :]
            body = b"receipt" if head.startswith(b"PUT") else VALUE
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Discovery(asyncio.Protocol):
    """Serves the endpoint list; watches get no answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if b"index=" in data:
            return
        same = {"zone": "a", "cell": 0, "state": "in_service", "weight": 1.0, "started_ms": 0}
        rows = [
            {"id": name, "addr": f"{LOCAL}:{port}", "kind": kind, **same}
            for name, port, kind in (("c", CACHE, "std"), ("o", ORIGIN, "origin"))
        ]
        body = json.dumps({"version": 1, "full": True, "servers": rows}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Client(asyncio.Protocol):
    """Keeps one request in flight."""

    def __init__(self, number: int, kind: str) -> None:
        self.number, self.kind, self.served, self.failed, self.sent = number, kind, 0, 0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer = cast(asyncio.Transport, transport), b""
        self.send_request()

    def send_request(self) -> None:
        self.sent += 1
        name = f"{self.number:04x}{self.sent:012x}"
        if self.kind == "write":
            head = f"ms k{self.sent % 500} 5 O{name} Pc=put,t=x,d=2000,h=110000\r\nhello\r\n"
        else:
            head = f"mg k{self.sent % 500} v O{name} Pc=read,t=x,d=2000,h=110000\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n")
        if end < 0 or self.buffer.startswith(b"VA ") and len(self.buffer) < end + 4 + len(VALUE):
            return
        good = self.buffer.startswith((b"VA ", b"HD "))
        self.served, self.failed, self.buffer = self.served + good, self.failed + (not good), b""
        self.send_request()


def programs(folder: Path) -> Iterator[tuple[str, int, subprocess.Popen[bytes]]]:
    settings: dict[str, Any] = {
        "classes": CLASSES, "membershipMode": "automatic", "resolution": 0.005, "me": 0, "siblings": 3,
        "skus": ["std", "origin"], "familyInfo": {"mode": "aside", "originKind": 1},
        "limits": {"mayCancel": True, "secondCopies": True, "mostTries": 3, "multiplex": 100},
    }  # fmt: skip
    config = {
        "name": "n0", "listen": f"{LOCAL}:{ROUTER}", "discovery": f"{LOCAL}:{DISCOVERY}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(config))
    environ = {**os.environ, "NODE_CONFIG": str(folder / "config.json")}
    yield (
        "router",
        ROUTER,
        subprocess.Popen([sys.executable, "-m", "ironrail"], env=environ, stderr=subprocess.DEVNULL),
    )
    yield "relay", RELAY, subprocess.Popen([sys.executable, "-c", RELAY_PROGRAM % (CACHE, RELAY)])


async def measure_load(port: int, pid: int, kind: str, seconds: float) -> tuple[float, float, int]:
    """Return the CPU seconds for each request, requests per second, and failed requests."""
    loop = asyncio.get_running_loop()
    connected = [
        await loop.create_connection(lambda n=n: Client(n, kind), LOCAL, port)  # type: ignore[misc]
        for n in range(CLIENTS)
    ]
    clients = [client for _, client in connected]
    await asyncio.sleep(0.5)  # until limits have grown and connections are open
    process = psutil.Process(pid)
    before, served = sum(process.cpu_times()[:2]), sum(c.served for c in clients)
    await asyncio.sleep(seconds)
    after, done = sum(process.cpu_times()[:2]), sum(c.served for c in clients)
    for transport, _ in connected:
        transport.abort()
    await asyncio.sleep(0.3)
    return (after - before) / max(1, done - served), (done - served) / seconds, sum(c.failed for c in clients)


async def measure(seconds: float, rounds: int) -> None:
    loop = asyncio.get_running_loop()
    for factory, port in ((Cache, CACHE), (Origin, ORIGIN), (Discovery, DISCOVERY)):
        await loop.create_server(factory, LOCAL, port)
    with tempfile.TemporaryDirectory() as folder:
        running = list(programs(Path(folder)))
        await asyncio.sleep(1.5)
        try:
            ratios: dict[str, list[float]] = {}
            for _ in range(rounds):
                costs: dict[str, float] = {}
                for kind in ("read", "miss", "write"):
                    Cache.misses = kind == "miss"
                    cost, rate, failed = await measure_load(ROUTER, running[0][2].pid, kind, seconds)
                    costs[kind] = cost
                    print(f"router {kind:>5} {cost * 1e6:6.0f} us {rate:6.0f} a second, {failed} failed")
                Cache.misses = False
                cost, rate, _ = await measure_load(RELAY, running[1][2].pid, "read", seconds)
                print(f"relay   read {cost * 1e6:6.0f} us {rate:6.0f} a second")
                for kind, own in costs.items():
                    ratios.setdefault(kind, []).append(own / cost)
            for kind, values in ratios.items():
                median = sorted(values)[len(values) // 2]
                print(
                    f"{kind}: {min(values):.2f} to {max(values):.2f} times the relay's, median {median:.2f}"
                )
        finally:
            for _, _, program in running:
                program.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    uvloop.run(measure(options.seconds, options.rounds))


if __name__ == "__main__":
    main()
