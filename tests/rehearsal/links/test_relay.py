"""Client relays: silence, delay, stall and reset by direction, and refusal while no router listens."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.rehearsal.links.relay import ClientRelay
from ironrail.rehearsal.standins.delay_line import Direction
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST, SocketListeningPort
from tests.peers import scenario

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class RelayFixture:
    """A relay and the server behind it; a test reads and writes at both ends."""

    relay: ClientRelay
    server: asyncio.Server
    arrived: asyncio.Queue[Stream]

    async def connect(self) -> Stream:
        return await asyncio.open_connection(*read_address(self.relay.door.address))

    async def pair(self) -> tuple[Stream, Stream]:
        near = await self.connect()
        return near, await self.arrived.get()


@asynccontextmanager
async def relay_fixture() -> AsyncIterator[RelayFixture]:
    arrived: asyncio.Queue[Stream] = asyncio.Queue()

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived.put_nowait((reader, writer))

    server = await asyncio.start_server(take, LOOPBACK_HOST, 0)
    address = server.sockets[0].getsockname()
    relay = ClientRelay("router-1", address, SocketListeningPort)
    try:
        yield RelayFixture(relay, server, arrived)
    finally:
        relay.close()
        server.close()


async def says(one: Stream, other: Stream, text: bytes) -> None:
    one[1].write(text)
    assert await other[0].readexactly(len(text)) == text


@scenario
async def test_bytes_and_the_end_go_through_both_ways() -> None:
    async with relay_fixture() as fixture:
        near, far = await fixture.pair()
        await says(near, far, b"question" * 50_000)
        far[1].write(b"answer")
        far[1].close()
        assert await near[0].read() == b"answer"
        near, far = await fixture.pair()
        near[1].close()
        assert await far[0].read() == b""


@scenario
@pytest.mark.parametrize("way", [Direction.IN, Direction.OUT])
async def test_silence_of_one_way_holds_that_way_alone(way: Direction) -> None:
    async with relay_fixture() as fixture:
        near, far = await fixture.pair()
        await says(near, far, b"up")
        held, free = ((near, far), (far, near)) if way is Direction.IN else ((far, near), (near, far))
        fixture.relay.door.begin_silence("a", way)
        fixture.relay.door.begin_silence("b", way)
        held[0][1].write(b"held")
        for n in range(20):
            await says(*free, b"%d" % n)
        connect = asyncio.ensure_future(fixture.connect())
        fixture.relay.door.end_silence("a")
        await says(*free, b"still")
        assert not held[1][0]._buffer and not connect.done()  # type: ignore[attr-defined]
        fixture.relay.door.end_silence("b")
        assert await held[1][0].readexactly(4) == b"held"
        (await connect)[1].close()


@scenario
async def test_where_it_stands_still_connects_come_up() -> None:
    async with relay_fixture() as fixture:
        fixture.relay.door.begin_silence("a", Direction.BOTH, hang=False)
        near, far = await fixture.pair()
        near[1].write(b"held")
        far[1].write(b"too")
        other = await fixture.connect()
        other[1].close()
        assert not near[0]._buffer and not far[0]._buffer  # type: ignore[attr-defined]
        fixture.relay.door.end_silence("a")
        assert await far[0].readexactly(4) == b"held" and await near[0].readexactly(3) == b"too"


@scenario
async def test_late_bytes_keep_their_order_and_the_other_way_is_not_late() -> None:
    async with relay_fixture() as fixture:
        near, far = await fixture.pair()
        delays = iter([0.6, 0.1])
        fixture.relay.door.begin_delay("a", Direction.IN, lambda: next(delays, 0.0))
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        near[1].write(b"first ")
        await says(far, near, b"at once")
        assert loop.time() - began < 0.5
        near[1].write(b"second")
        assert await far[0].readexactly(12) == b"first second"
        assert loop.time() - began >= 0.598
        fixture.relay.door.end_delay("a")
        await says(near, far, b"as usual")


@scenario
async def test_a_reset_ends_both_sides() -> None:
    async with relay_fixture() as fixture:
        near, far = await fixture.pair()
        await says(near, far, b"up")
        fixture.relay.door.reset_all()
        for reader, _ in (near, far):
            with pytest.raises(ConnectionResetError):
                await reader.read()


@scenario
async def test_clients_are_refused_while_nobody_listens_behind() -> None:
    async with relay_fixture() as fixture:
        address = fixture.server.sockets[0].getsockname()
        fixture.server.close()
        near = await fixture.connect()
        with pytest.raises(ConnectionResetError):
            await near[0].read()
        with pytest.raises(ConnectionRefusedError):
            await fixture.connect()
        server = await asyncio.start_server(lambda r, w: fixture.arrived.put_nowait((r, w)), *address)
        while True:
            try:
                near = await fixture.connect()
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)  # only a connection shows that the relay listens again
            else:
                break
        await fixture.arrived.get()  # the relay's own check
        await says(near, await fixture.arrived.get(), b"up again")
        server.close()
