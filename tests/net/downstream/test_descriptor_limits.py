"""A process with few descriptors keeps enough of them to serve, whatever its clients do."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from ironrail.rehearsal.routers import end_with_parent
from tests.net.lifecycle.test_process import ROOT, config, free_port
from tests.net.lifecycle.test_signals import reach
from tests.peers import LOCAL, Client, Peer, connect, read_http, scenario

DESCRIPTOR_LIMIT = 64  # the lowest limit that a configuration may have
P = b"Pc=read,t=x,d=5000"


def limited(number: int) -> Callable[[], None]:
    def limit() -> None:
        end_with_parent()  # a test that fails leaves no router behind
        resource.setrlimit(resource.RLIMIT_NOFILE, (number, number))

    return limit


class LimitedRouter:
    """A router under a low descriptor limit of the system, with its cache and discovery."""

    def __init__(self, path: Path, configured: int = DESCRIPTOR_LIMIT) -> None:
        """`configured`: the descriptor limit in its configuration."""
        self.path, self.configured, self.port = path, configured, free_port()
        self.cache, self.discovery = Peer(), Peer(read_http)
        self.clients: list[socket.socket] = []

    async def start(self) -> LimitedRouter:
        await self.cache.start()
        await self.discovery.start()
        self.discovery.server.close()
        await self.discovery.server.wait_closed()  # down, and back at the same address
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": self.configured}
        discovery = f"{LOCAL}:{self.discovery.port}"
        file = self.path / "config.json"
        file.write_text(json.dumps(config(self.port, limits=limits, discovery=discovery)))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-B", "-m", "ironrail"),
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(file)},
            stderr=(self.path / "log").open("wb"),
            preexec_fn=limited(DESCRIPTOR_LIMIT),
        )
        (await reach(self.port)).close()
        return self

    def connect_clients(self, number: int, sends: bytes = b"") -> None:
        """Open connections that stay, accepted or not."""
        for _ in range(number):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((LOCAL, self.port))
            self.clients.append(client)
            if sends:
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    client.send(sends)

    def open(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def ticks(self) -> int:
        """Processor time used, in the system's hundredths."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return int(fields[11]) + int(fields[12])

    def log(self) -> str:
        return (self.path / "log").read_text()

    async def serves(self, name: str) -> None:
        """Wait until a new client is served, with retries."""
        while True:
            client = await connect((LOCAL, self.port))
            client.send(b"mg k v O" + name.encode() + b" " + P + b"\r\n")
            taken = asyncio.ensure_future(self.cache.next())
            line = asyncio.ensure_future(client.reader.readline())
            await asyncio.wait([taken, line], return_when=asyncio.FIRST_COMPLETED)
            if taken.done():
                taken.result().reply_value(b"v")
                assert (await line).startswith(b"VA 1 O" + name.encode())
                client.close()
                return
            taken.cancel()
            client.close()
            await asyncio.sleep(0.02)  # a rejected client retries after a delay

    async def restore_discovery(self) -> None:
        """Bring discovery back with the cache on its endpoint list."""
        await self.discovery.start()
        (await self.discovery.next()).respond_list(1, self.cache.row("c"))
        await self.discovery.next()

    async def stop(self) -> None:
        for client in self.clients:
            client.close()
        self.process.kill()
        await self.process.wait()


SENDS = [
    b"",
    b"mg k v O1 Pc=re",
    b"mn\r\n",
    b"what\r\n" * 2000,
    b"ms k 60000 O1 " + P + b"\r\n" + b"x" * 30_000,
]


@scenario
@pytest.mark.parametrize("sends", SENDS, ids=["idle", "half", "ready", "bad", "slow"])
async def test_many_clients_leave_descriptors_for_servers_and_discovery(sends: bytes, tmp_path: Path) -> None:
    """Discovery is down meanwhile; once it is back, the router finds it and its cache, and serves."""
    router = await LimitedRouter(tmp_path).start()
    most = 0
    for _ in range(15):
        router.connect_clients(20, sends)
        for _ in range(5):
            most = max(most, router.open())
            await asyncio.sleep(0.002)
    await router.restore_discovery()
    router.connect_clients(20, sends)
    await router.serves("1")
    assert max(most, router.open()) <= DESCRIPTOR_LIMIT
    assert "accept_paused" not in router.log() and "Errno 24" not in router.log()  # EMFILE
    await router.stop()


@scenario
async def test_accepting_recovers_when_the_configured_limit_exceeds_the_systems(tmp_path: Path) -> None:
    """Its share for clients is more than all that the system gives: accept says so, and tries again."""
    router = await LimitedRouter(tmp_path, configured=400).start()
    router.connect_clients(200)
    while "accept_paused" not in router.log():
        await asyncio.sleep(0.01)
    before = router.ticks()
    await asyncio.sleep(0.5)  # a spinning process would use all of it
    assert router.ticks() - before < 25
    for client in router.clients[:150]:
        client.close()
    await router.restore_discovery()
    await router.serves("1")
    assert router.log().count("accept_paused") < 20
    await router.stop()


@scenario
async def test_clients_that_send_much_and_disconnect_leak_no_descriptors(tmp_path: Path) -> None:
    router = await LimitedRouter(tmp_path).start()
    await router.restore_discovery()
    await router.serves("0")
    idle_descriptors = router.open()
    for _ in range(20):
        router.connect_clients(10, b"mg k v O1 " + P + b"\r\n" + b"x" * 100_000)
        await asyncio.sleep(0.005)
        for client in router.clients:
            client.close()
        router.clients.clear()
    while not router.cache.messages.empty():
        router.cache.messages.get_nowait()
    await router.serves("last")
    while router.open() > idle_descriptors + 4:  # connections to the cache, at the most
        await asyncio.sleep(0.01)
    await router.stop()


@scenario
async def test_a_request_sent_byte_by_byte_is_answered(tmp_path: Path) -> None:
    router = await LimitedRouter(tmp_path).start()
    await router.restore_discovery()
    clients: list[Client] = [await connect((LOCAL, router.port)) for _ in range(3)]
    for byte in b"mg k v Oab Pc=read,t=x,d=5000\r\n":
        for n, client in enumerate(clients):
            client.send(bytes([byte]) if byte != ord("b") else b"%d" % n)
        await asyncio.sleep(0)

    async def answer() -> None:
        while True:
            message = await router.cache.next()
            message.reply_value(message.flag)

    answers = asyncio.ensure_future(answer())
    for n, client in enumerate(clients):
        assert await client.value(f"a{n}") == b"Oa%d" % n
    answers.cancel()
    await router.stop()
