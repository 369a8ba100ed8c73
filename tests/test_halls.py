"""The driver of the map: evidence from connections and datagrams on loopback, its page, and the event."""

from __future__ import annotations

import asyncio
import random
import socket
from pathlib import Path

import orjson
import pytest

from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.net.peers.node_identity import NodeIdentity
from ironrail.net.peers.transport import PeerTable, PeerTransport
from ironrail.net.peers.zone_latency import HallsMap
from ironrail.net.protocol.meta_codec import Command, parse_fields
from ironrail.net.system import REAL
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Attempt, ConnectionPool
from ironrail.operator_file import PeerSettings
from ironrail.policy.events import AttemptStatus, LinkState, ZoneLink, ZoneLinksChanged
from ironrail.rehearsal.standins.listening import LOCAL, SocketListening
from tests.peers import Peer, scenario

HALLS = ("north", "south")


def here(me: int) -> NodeIdentity:
    return NodeIdentity(me, me + 1, REAL, HALLS, random.Random(me))


@scenario
async def test_two_routers_know_how_far_they_are_and_tell_the_module_and_the_door(tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(b"a key of all routers")
    conf = PeerSettings({1: str(tmp_path / "key")}, 1, HALLS, zone_latency_map=True)
    taken = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in HALLS]
    for one in taken:
        one.bind((LOCAL, 0))
    addresses = tuple(one.getsockname() for one in taken)
    for one in taken:
        one.close()
    told: dict[str, ZoneLink] = {}
    known = asyncio.Event()

    def tell(event: ZoneLinksChanged) -> None:
        told.update(event.links)
        if event.links["south"].state is LinkState.GOOD:
            known.set()

    ends = []
    for me in range(2):
        part = HallsMap(here(me), tell if me == 0 else lambda event: None)
        end = PeerTransport(
            me, PeerTable(addresses[me], addresses, None), conf, me + 1, REAL, part.publish_changes
        )
        end.register(part.protocol)
        for step in range(6):  # connects to caches of its own hall a moment ago: something to tell at all
            part._map.observe(REAL.now() - 2.0 + step * 0.2, me, 0.001)
        await end.open([1 - me])
        ends.append((part, end))
    try:
        async with asyncio.timeout(10):
            await known.wait()
    finally:
        for _, end in ends:
            end.close()
    assert told["north"].state is LinkState.GOOD
    assert 0.0 < told["south"].median < 0.05
    page = orjson.loads(ends[0][0].pages()["/-/halls"]().body)
    assert page["hall"] == "north" and page["version"] >= 1
    north, south = page["links"]
    assert (south["hall"], south["state"], south["witnesses"]) == ("south", "good", 1)
    assert north["typical"] == pytest.approx(0.001, rel=0.1) and 0.0 <= south["age"] < 10.0


class Noted:
    """What the connections to a server tell of the way there."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    def on_connect_answered(self, seconds: float) -> None:
        assert 0.0 < seconds < 0.25
        self.seen.append("connected")

    def on_connect_timed_out(self) -> None:
        self.seen.append("unconnected")

    def on_reply(self) -> None:
        self.seen.append("heard")

    def on_attempt_abandoned(self, seconds: float) -> None:
        assert 0.05 < seconds < 1.0
        self.seen.append("silent")


async def asked(port: int, noted: Noted, wait: float) -> AttemptStatus:
    """One read there, given up after so many seconds."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(
        "s", (LOCAL, port), CacheConnection, PoolSettings(1, 1, 9.0), connect_timeout=0.1, link_observer=noted
    )
    ended: asyncio.Future[AttemptStatus] = loop.create_future()
    info = b"c=read,t=x,d=900"
    attempt = Attempt(
        "r", 0, loop.time(), loop.time() + wait, Command(b"k", b"1", info, parse_fields(info), None),
        lambda attempt, status, body: ended.set_result(status),
    )  # fmt: skip
    pool.send(attempt)
    timer = loop.call_later(wait, pool.abandon, attempt, AttemptStatus.TIMEOUT)
    status = await ended
    timer.cancel()
    pool.stop()
    return status


@scenario
async def test_the_way_to_a_server_is_told_by_its_connects_its_replies_and_its_silence() -> None:
    peer, noted = await Peer().start(), Noted()
    answering = asyncio.create_task(peer.next())
    answering.add_done_callback(lambda done: done.result().reply(b"VA 1 O1 h1\r\nv\r\n"))
    assert await asked(peer.port, noted, 5.0) is AttemptStatus.OK
    assert await asked(peer.port, noted, 0.1) is AttemptStatus.TIMEOUT
    assert noted.seen == ["connected", "heard", "connected", "silent"]


@pytest.mark.parametrize(("shut", "seen"), [(True, "connected"), (False, "unconnected")])
@scenario
async def test_a_connect_that_is_refused_was_answered_and_one_that_hangs_was_not(
    shut: bool, seen: str
) -> None:
    listening, noted = SocketListening(0, lambda connection, late: connection.close()), Noted()
    listening.close() if shut else listening.hang()
    assert await asked(listening.port, noted, 5.0) is AttemptStatus.CONNECT_FAILED
    assert noted.seen == [seen]
    if not shut:
        listening.close()
