"""The stand-ins on loopback, and connections to speak to them as a router does."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ironrail.rehearsal.account.record import Record
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.standins.clients import Clients
from ironrail.rehearsal.standins.fleet import Fleet, initial_rows, make_caches
from ironrail.rehearsal.standins.load_balancer import LoadBalancer, RouterState
from ironrail.rehearsal.standins.origin_server import OriginServer
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World
from tests.peers import LOCAL, Peer
from tests.rehearsal.facts import Story, planned
from tests.rehearsal.facts import scenario as make_scenario

FAST = (
    '[caches]\ncount = 2\nhandshake = "0 ms"\nwarm = "1 s"\n[archive]\ntime = "5 ms"\n'
    '[registry]\nnotice = "10 ms"\nsilent_notice = "10 ms"\nadd = "10 ms"\nspread = "1 ms"\n'
)
R = "router-1"


class Stage:
    """Two caches, an archive and discovery, with one router to be played by a test."""

    def __init__(self, text: str = FAST) -> None:
        self.record = Record()
        conf = make_scenario(text)
        halls = {R: "hall-a", "cache-1": "hall-a", "cache-2": "hall-b"}
        self.world = World(conf, 1, self.record, halls)
        self.caches = make_caches(self.world, [R])
        self.archive = OriginServer(self.world, "archive", "", [R])
        rows = initial_rows(self.world, self.caches, {R: self.archive.endpoints[R].address})
        self.registry = Registry(self.world, rows, [R])
        self.fleet = Fleet(self.world, self.caches, self.registry)

    def asked(self, number: int = 0, kind: str = "read", work: float = 0.002) -> Story:
        """A client's request that the router was sent."""
        plan = planned(number, at=self.world.now(), kind=kind, work=work, key="grid-0")
        return Story(self.record, plan)

    async def close(self) -> None:
        self.fleet.close()
        self.archive.close()
        self.registry.close()


@asynccontextmanager
async def stage(text: str = FAST) -> AsyncIterator[Stage]:
    made = Stage(text)
    try:
        yield made
    finally:
        await made.close()


class Wire:
    """A connection of the router to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def read(self, story: Story) -> None:
        self.writer.write(f"mg grid-0 v O{story.one.request} Pc=grid-read,t=daily,d=500\r\n".encode())

    def fetch(self, story: Story, method: str = "GET", more: str = "") -> None:
        info = "c=x,t=daily,d=500" + (f",k={story.one.planned.idempotency}" if more else "")
        head = f"{method} /grid-0 HTTP/1.1\r\nHost: a\r\nRequest-Id: {story.one.request}\r\n"
        self.writer.write(f"{head}Request-Info: {info}\r\nContent-Length: 0\r\n\r\n".encode())

    async def line(self) -> bytes:
        return await self.reader.readuntil(b"\r\n")

    async def response(self) -> tuple[int, bytes]:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(int(h[15:]) for h in head.lower().split(b"\r\n") if h.startswith(b"content-length:"))
        return int(head.split()[1]), await self.reader.readexactly(length)


async def wire(address: str) -> Wire:
    host, _, port = address.rpartition(":")
    return Wire(*await asyncio.open_connection(host, int(port)))


async def ask(connection: Wire, target: str) -> dict[str, object]:
    connection.writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    _, body = await connection.response()
    answer: dict[str, object] = json.loads(body)
    return answer


def plan_of(s: Stage, kind: str = "read", **fields: object) -> Planned:
    return planned(0, s.world.now(), kind, **fields)


async def client_of(s: Stage) -> tuple[Peer, Clients]:
    peer = await Peer().start()
    return peer, Clients(s.world, LoadBalancer(1.0, {R: RouterState("hall-a")}), {R: (LOCAL, peer.port)})
