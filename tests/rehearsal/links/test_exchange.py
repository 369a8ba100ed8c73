"""Faults on datagrams between routers, on real sockets and in virtual time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import pytest

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.peers.messages import MAX_DATAGRAM_BYTES
from ironrail.rehearsal.account.record import RouterFacts
from ironrail.rehearsal.ground import RealGround
from ironrail.rehearsal.links.datagrams import DatagramRelays
from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.links.paths import PathEnds, path_of
from ironrail.rehearsal.links.plan import link_fault
from ironrail.rehearsal.virtual.datagrams import MAX_UNREAD_DATAGRAMS, Datagrams
from ironrail.rehearsal.virtual.loop import VirtualLoop
from ironrail.rehearsal.virtual.process import Process
from tests.peers import scenario as bounded
from tests.rehearsal.links.test_plan import scenario

NAMES = [f"router-{n + 1}" for n in range(7)]
ONE, TWO = NAMES[:2]
PATH_ENDS = PathEnds.of(scenario())


def begin(
    exchange: Exchange, number: int, kind: str, path: str, hard: float | None = None, **more: float
) -> None:
    exchange.begin(number, link_fault(kind, path, 0, 1, hard, **more), path_of(path, PATH_ENDS))


def sent(
    exchange: Exchange, source: str = ONE, target: str | None = TWO, times: int = 1
) -> list[list[float]]:
    return [[delay for _, delay in exchange.sent(source, target, 10)] for _ in range(times)]


def test_a_cut_is_of_one_way_and_ends() -> None:
    exchange = Exchange(1, NAMES)
    begin(exchange, 0, "cut", f"{ONE} > {TWO}")
    assert sent(exchange) == [[]] and sent(exchange, TWO, ONE) == [[0.0]]
    begin(exchange, 1, "cut", f"{ONE} <> {TWO}")
    exchange.end(0)
    assert sent(exchange) == [[]] == sent(exchange, TWO, ONE)
    exchange.end(1)
    assert sent(exchange) == [[0.0]] == sent(exchange, TWO, ONE)
    assert exchange.counts[ONE].lost == 2


@pytest.mark.parametrize(("kind", "hit"), [("loss", []), ("duplicate", [0.0, 0.0]), ("reorder", [0.07])])
def test_a_share_of_datagrams_is_hit_and_the_same_ones_again(kind: str, hit: list[float]) -> None:
    def play(noise: bool) -> list[list[float]]:
        exchange = Exchange(5, NAMES)
        begin(exchange, 3, kind, "routers > routers", 0.3, spread=0.07)
        got = []
        for _ in range(1000):
            got += sent(exchange)
            if noise:
                sent(exchange, TWO, ONE)
                sent(exchange, ONE, NAMES[2])
        return got

    got = play(False)
    assert 250 < sum(g == hit for g in got) < 350 and sum(g == [0.0] for g in got) > 650
    assert got == play(True)


def test_delays_add_up_within_their_spread() -> None:
    exchange = Exchange(1, NAMES)
    begin(exchange, 0, "delay", "hall-a > hall-b", 0.02, spread=0.01)
    begin(exchange, 1, "delay", "all <> all", 0.1)
    drawn = [delay for [delay] in sent(exchange, times=200)]
    assert 0.12 <= min(drawn) < 0.122 and 0.128 < max(drawn) < 0.13


def test_to_all_is_one_for_each_other_and_counted_so() -> None:
    exchange = Exchange(1, NAMES)
    begin(exchange, 0, "cut", f"{ONE} > {TWO}")
    assert [name for name, _ in exchange.sent(ONE, None, MAX_DATAGRAM_BYTES)] == NAMES[2:]
    assert list(exchange.sent(ONE, None, MAX_DATAGRAM_BYTES + 1)) == []
    counts = exchange.counts[ONE]
    assert (counts.sent, counts.price, counts.lost, counts.too_long) == (2, 12, 1, 1)


class CommandClient(asyncio.DatagramProtocol):
    """The test's connection to a process in place of a router."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[str] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.put_nowait(data.decode())

    def error_received(self, exc: Exception) -> None:
        """Ignored: the process does not listen yet."""


@bounded
async def test_processes_hear_each_other_as_their_configuration_has_them(tmp_path: Path) -> None:
    ground, names = RealGround((sys.executable, "-B", str(Path(__file__).parent / "echo.py"))), NAMES[:3]
    exchange, loop = Exchange(1, names), asyncio.get_running_loop()
    relays = DatagramRelays(exchange, {n: f"{ground.address_of(i)}:11311" for i, n in enumerate(names)})
    ends, routers = [], []
    try:
        for i, name in enumerate(names):
            own = f"{ground.address_of(i)}:19000"
            config = {"listen": own, "discovery": own, "operator": own} | relays.config_of(name)
            router = ground.make_router(name, config, tmp_path, RouterFacts(), lambda router, end: None)
            routers.append(router)
            await router.start()
            transport, client = await loop.create_datagram_endpoint(
                CommandClient, remote_addr=read_address(own)
            )
            ends.append((transport, client))
            while client.received.empty():
                transport.sendto(b"hello")
                await asyncio.sleep(0.01)

        async def say(i: int, text: str) -> None:
            ends[i][0].sendto(text.encode())

        async def heard(i: int) -> str:
            while (got := await ends[i][1].received.get()) == "hello":
                pass
            return got

        await say(0, "1 from one")
        assert await heard(1) == "0 from one"
        begin(exchange, 0, "cut", f"{ONE} > {TWO}")
        await say(0, "1 never")
        await say(0, "2 comes")
        assert await heard(2) == "0 comes"  # sent after the lost one, through the same relay
        await say(1, "0 back")
        assert await heard(0) == "1 back"
        exchange.end(0)
        await say(0, "all again")
        assert [await heard(1), await heard(2)] == ["0 again", "0 again"]
        begin(exchange, 1, "duplicate", f"{ONE} > {TWO}", 1.0)
        begin(exchange, 2, "delay", f"{ONE} > {TWO}", 0.05)
        began = loop.time()
        await say(0, "1 twice")
        assert [await heard(1), await heard(1)] == ["0 twice", "0 twice"]
        assert loop.time() - began >= 0.05 - 0.002
        assert ends[1][1].received.empty() and relays.strays == 0
        assert exchange.counts[ONE].price == 6 and exchange.counts[ONE].arrived == 6
    finally:
        await asyncio.gather(*(router.kill() for router in routers))
        for transport, _ in ends:
            transport.close()
        relays.close()
    assert not any(router.running for router in routers)


class RecordingProtocol(asyncio.DatagramProtocol):
    """Keeps the datagrams that it receives."""

    def __init__(self) -> None:
        self.received: list[tuple[bytes, Any]] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.append((data, addr))


def open_virtual_routers(count: int) -> tuple[VirtualLoop, Exchange, list[RecordingProtocol], list[Process]]:
    loop = VirtualLoop(1)
    loop.network = None  # type: ignore[assignment]
    names = [f"router-{n + 1}" for n in range(count)]
    exchange = Exchange(1, names)
    addresses = {n: (f"127.64.{i // 200}.{i % 200 + 1}", 1) for i, n in enumerate(names)}
    loop.datagrams = Datagrams(loop, exchange, addresses, ("127.63.0.1", 1))
    processes = [Process(name, loop, lambda code: None) for name in names]
    ends: list[RecordingProtocol] = []

    async def open_all() -> None:
        for process, address in zip(processes, addresses.values(), strict=True):
            opening = loop.create_datagram_endpoint(RecordingProtocol, local_addr=address)
            ends.append((await loop.start(opening, process))[1])

    loop.run_until_complete(open_all())
    return loop, exchange, ends, processes


def settle(loop: VirtualLoop, seconds: float = 1.0) -> None:
    loop.run_until_complete(asyncio.sleep(seconds))


def test_a_thousand_virtual_routers_hear_each_other() -> None:
    loop, exchange, ends, _ = open_virtual_routers(1000)
    for end in ends[:50]:
        end.transport.sendto(b"to all", ("127.63.0.1", 1))
    settle(loop)
    assert [len(end.received) for end in ends] == [49] * 50 + [50] * 950
    assert exchange.counts[ONE].price == exchange.counts[ONE].arrived == 999
    assert ends[-1].received[0][1] in [("127.64.0.1", 1), *[(f"127.64.0.{n}", 1) for n in range(2, 51)]]
    loop.close()


def test_virtual_faults_freezes_and_ends() -> None:
    loop, exchange, ends, processes = open_virtual_routers(7)
    one, two = ends[:2]
    there = two.transport.get_extra_info("sockname")
    begin(exchange, 0, "cut", f"{ONE} > {TWO}")
    one.transport.sendto(b"never", there)
    settle(loop)
    exchange.end(0)
    processes[1].frozen = True
    for n in range(MAX_UNREAD_DATAGRAMS + 5):
        one.transport.sendto(b"%d" % n, there)
    settle(loop)
    assert two.received == []
    processes[1]._continue()
    settle(loop)
    assert len(two.received) == MAX_UNREAD_DATAGRAMS
    processes[1].end(0)
    one.transport.sendto(b"gone", there)
    one.transport.sendto(b"nowhere", ("127.0.0.1", 7))
    settle(loop)
    assert len(two.received) == MAX_UNREAD_DATAGRAMS and two.transport.is_closing()
    with pytest.raises(OSError, match="in use"):
        loop.run_until_complete(
            loop.start(
                loop.create_datagram_endpoint(RecordingProtocol, local_addr=one.transport._address),
                processes[0],
            )
        )
    loop.close()
