"""A process with few descriptors: idle clients, floods and pieces leave it what it needs to serve."""

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

FEW = 64  # descriptors, the fewest that a configuration may name
P = b"Pc=read,t=x,d=5000"


def limited(number: int) -> Callable[[], None]:
    def limit() -> None:
        end_with_parent()  # a test that fails leaves no router behind
        resource.setrlimit(resource.RLIMIT_NOFILE, (number, number))

    return limit


class Few:
    """A router that may open few, by the system's own limit, and what it goes to."""

    def __init__(self, path: Path, told: int = FEW) -> None:
        """`told`: as many as its configuration names."""
        self.path, self.told, self.port = path, told, free_port()
        self.cache, self.discovery = Peer(), Peer(read_http)
        self.crowd: list[socket.socket] = []

    async def start(self) -> Few:
        await self.cache.start()
        await self.discovery.start()
        self.discovery.server.close()
        await self.discovery.server.wait_closed()  # down, and back at the same address
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": self.told}
        discovery = f"{LOCAL}:{self.discovery.port}"
        file = self.path / "config.json"
        file.write_text(json.dumps(config(self.port, limits=limits, discovery=discovery)))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-B", "-m", "ironrail"),
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(file)},
            stderr=(self.path / "log").open("wb"),
            preexec_fn=limited(FEW),
        )
        (await reach(self.port)).close()
        return self

    def come(self, number: int, sends: bytes = b"") -> None:
        """So many clients come and stay, whatever becomes of them."""
        for _ in range(number):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((LOCAL, self.port))
            self.crowd.append(client)
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
        """A client that comes now is served, as often as it has to try."""
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
            await asyncio.sleep(0.02)  # a client that was refused comes again after a while

    async def back(self) -> None:
        """Discovery is back, and tells of the cache."""
        await self.discovery.start()
        (await self.discovery.next()).respond_list(1, self.cache.row("c"))
        await self.discovery.next()

    async def stop(self) -> None:
        for client in self.crowd:
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
async def test_a_crowd_of_clients_leaves_descriptors_for_servers_and_discovery(
    sends: bytes, tmp_path: Path
) -> None:
    """Discovery is down as they come; once it is back, the router finds it and its cache, and serves."""
    few = await Few(tmp_path).start()
    most = 0
    for _ in range(15):
        few.come(20, sends)
        for _ in range(5):
            most = max(most, few.open())
            await asyncio.sleep(0.002)
    await few.back()
    few.come(20, sends)
    await few.serves("1")
    assert max(most, few.open()) <= FEW
    assert "accepting_pauses" not in few.log() and "Errno 24" not in few.log()  # EMFILE
    await few.stop()


@scenario
async def test_told_of_more_than_there_are_it_pauses_and_service_returns_by_itself(tmp_path: Path) -> None:
    """Its share for clients is more than all that the system gives: accept says so, and tries again."""
    few = await Few(tmp_path, told=400).start()
    few.come(200)
    while "accepting_pauses" not in few.log():
        await asyncio.sleep(0.01)
    before = few.ticks()
    await asyncio.sleep(0.5)  # of a spinning process half a second of processor time
    assert few.ticks() - before < 25
    for client in few.crowd[:150]:
        client.close()
    await few.back()
    await few.serves("1")
    assert few.log().count("accepting_pauses") < 20
    await few.stop()


@scenario
async def test_crowds_that_send_much_and_go_leave_nothing_behind(tmp_path: Path) -> None:
    few = await Few(tmp_path).start()
    await few.back()
    await few.serves("0")
    at_rest = few.open()
    for _ in range(20):
        few.come(10, b"mg k v O1 " + P + b"\r\n" + b"x" * 100_000)
        await asyncio.sleep(0.005)
        for client in few.crowd:
            client.close()
        few.crowd.clear()
    while not few.cache.messages.empty():
        few.cache.messages.get_nowait()
    await few.serves("last")
    while few.open() > at_rest + 4:  # connections to the cache, at the most
        await asyncio.sleep(0.01)
    await few.stop()


@scenario
async def test_a_request_in_pieces_of_a_byte_each_is_answered(tmp_path: Path) -> None:
    few = await Few(tmp_path).start()
    await few.back()
    clients: list[Client] = [await connect((LOCAL, few.port)) for _ in range(3)]
    for byte in b"mg k v Oab Pc=read,t=x,d=5000\r\n":
        for n, client in enumerate(clients):
            client.send(bytes([byte]) if byte != ord("b") else b"%d" % n)
        await asyncio.sleep(0)

    async def answer() -> None:
        while True:
            message = await few.cache.next()
            message.reply_value(message.flag)

    answers = asyncio.ensure_future(answer())
    for n, client in enumerate(clients):
        assert await client.value(f"a{n}") == b"Oa%d" % n
    answers.cancel()
    await few.stop()
