"""The zone latency component: evidence by connections and datagrams, its page, and its event."""

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
from ironrail.net.peers.zone_latency import ZoneLatencyComponent
from ironrail.net.protocol.meta_codec import Command, parse_fields
from ironrail.net.system import REAL
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Attempt, ConnectionPool
from ironrail.operator_file import PeerSettings
from ironrail.policy.events import AttemptStatus, LinkState, ZoneLink, ZoneLinksChanged
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST, SocketListeningPort
from tests.peers import Peer, scenario

ZONES = ("north", "south")


def node_identity(own_index: int) -> NodeIdentity:
    return NodeIdentity(own_index, own_index + 1, REAL, ZONES, random.Random(own_index))


@scenario
async def test_two_routers_measure_their_link_for_the_policy_and_the_admin_endpoint(tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(b"a key of all routers")
    settings = PeerSettings({1: str(tmp_path / "key")}, 1, ZONES, zone_latency_map=True)
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in ZONES]
    for one in sockets:
        one.bind((LOOPBACK_HOST, 0))
    addresses = tuple(one.getsockname() for one in sockets)
    for one in sockets:
        one.close()
    links: dict[str, ZoneLink] = {}
    is_known = asyncio.Event()

    def on_links_changed(event: ZoneLinksChanged) -> None:
        links.update(event.links)
        if event.links["south"].state is LinkState.GOOD:
            is_known.set()

    routers = []
    for own_index in range(2):
        component = ZoneLatencyComponent(
            node_identity(own_index), on_links_changed if own_index == 0 else lambda event: None
        )
        peering = PeerTransport(
            own_index,
            PeerTable(addresses[own_index], addresses, None),
            settings,
            own_index + 1,
            REAL,
            component.publish_changes,
        )
        peering.register(component.protocol)
        for step in range(6):  # connects within its own zone: something to report
            component._zone_latency.record_round_trip(REAL.now() - 2.0 + step * 0.2, own_index, 0.001)
        await peering.open([1 - own_index])
        routers.append((component, peering))
    try:
        async with asyncio.timeout(10):
            await is_known.wait()
    finally:
        for _, peering in routers:
            peering.close()
    assert links["north"].state is LinkState.GOOD
    assert 0.0 < links["south"].median < 0.05
    page = orjson.loads(routers[0][0].pages()["/-/halls"]().body)
    assert page["hall"] == "north" and page["version"] >= 1
    north, south = page["links"]
    assert (south["hall"], south["state"], south["witnesses"]) == ("south", "good", 1)
    assert north["typical"] == pytest.approx(0.001, rel=0.1) and 0.0 <= south["age"] < 10.0


class RecordingObserver:
    """A link observer that keeps the names of the calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def on_connect_answered(self, seconds: float) -> None:
        assert 0.0 < seconds < 0.25
        self.calls.append("connected")

    def on_connect_timed_out(self) -> None:
        self.calls.append("unconnected")

    def on_reply(self) -> None:
        self.calls.append("heard")

    def on_attempt_abandoned(self, seconds: float) -> None:
        assert 0.05 < seconds < 1.0
        self.calls.append("silent")


async def attempt_status(port: int, observer: RecordingObserver, wait: float) -> AttemptStatus:
    """Return the outcome of one read that is given up after `wait` seconds."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(
        "s",
        (LOOPBACK_HOST, port),
        CacheConnection,
        PoolSettings(1, 1, 9.0),
        connect_timeout=0.1,
        link_observer=observer,
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
async def test_connects_replies_and_silence_of_a_server_are_observed() -> None:
    peer, observer = await Peer().start(), RecordingObserver()
    answering = asyncio.create_task(peer.next())
    answering.add_done_callback(lambda done: done.result().reply(b"VA 1 O1 h1\r\nv\r\n"))
    assert await attempt_status(peer.port, observer, 5.0) is AttemptStatus.OK
    assert await attempt_status(peer.port, observer, 0.1) is AttemptStatus.TIMEOUT
    assert observer.calls == ["connected", "heard", "connected", "silent"]


@pytest.mark.parametrize(("is_refused", "call"), [(True, "connected"), (False, "unconnected")])
@scenario
async def test_a_refused_connect_counts_as_answered_and_one_that_hangs_does_not(
    is_refused: bool, call: str
) -> None:
    listening, observer = (
        SocketListeningPort(0, lambda connection, late: connection.close()),
        RecordingObserver(),
    )
    listening.close() if is_refused else listening.hang()
    assert await attempt_status(listening.port, observer, 5.0) is AttemptStatus.CONNECT_FAILED
    assert observer.calls == [call]
    if not is_refused:
        listening.close()
