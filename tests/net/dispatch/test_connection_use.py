"""Connections that are refused, open late, break, are idle or run out."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from ironrail.connections.upstream import idle_timeout
from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.pool_actions import PoolAction
from ironrail.net.dispatch import dispatcher
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.system import RealSystem
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Attempt, ConnectionPool
from ironrail.policy.actions import CloseIdleConnections, FailRequest
from ironrail.policy.events import AttemptStatus
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy, quick_replies
from tests.peers import LOCAL, Peer, scenario


@scenario
async def test_an_attempt_whose_connect_was_refused_never_ran() -> None:
    with socket.socket() as unused:
        unused.bind((LOCAL, 0))
        policy = ScriptedPolicy()
        DispatchHarness(policy, unused.getsockname()[1]).take("1")
        assert (await policy.outcome()).status is AttemptStatus.CONNECT_FAILED


@scenario
async def test_an_attempt_whose_connect_timed_out_never_ran() -> None:
    with socket.socket() as full:  # a full backlog drops connects, like a machine that is gone
        full.bind((LOCAL, 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        policy = ScriptedPolicy()
        DispatchHarness(policy, full.getsockname()[1], connect_timeout=0.1).take("1")
        outcome = await policy.outcome()
        assert outcome.status is AttemptStatus.CONNECT_FAILED
        assert 0.09 <= outcome.latency < 0.9  # before the system retransmits the SYN
        DispatchHarness(policy, full.getsockname()[1]).take(
            "1", wait=50
        )  # also if the client gives up before
        assert (await policy.outcome()).status is AttemptStatus.CONNECT_FAILED
        for filler in fillers:
            filler.close()


@scenario
async def test_after_a_stall_during_a_connect_the_open_connection_is_used() -> None:
    policy, peer = ScriptedPolicy(), await Peer().start()
    DispatchHarness(policy, peer.port, connect_timeout=0.02).take("1")
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, time.sleep, 0.1)  # once the connect has started
    (await peer.next()).reply(b"VA 1 O1 h1\r\nv\r\n")
    assert (await policy.outcome()).status is AttemptStatus.OK


class Padded(CacheConnection):
    """Writes more than fits into the kernel's buffers."""

    def encode(self, attempt: Attempt) -> list[bytes]:
        return [*super().encode(attempt), b"x" * 8 * 1024**2]


@scenario
async def test_an_attempt_with_unsent_bytes_on_a_broken_connection_never_ran() -> None:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((LOCAL, 0))
        listener.listen()
        listener.setblocking(False)
        policy = ScriptedPolicy()
        harness = DispatchHarness(policy, listener.getsockname()[1], Padded, most=1)
        loop = asyncio.get_running_loop()
        harness.take("0")
        connection, _ = await loop.sock_accept(listener)
        connection.setblocking(True)
        await asyncio.to_thread(connection.recv, 1, socket.MSG_PEEK)
        harness.take("1")
        harness.take("2")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        connection.close()
        outcomes = {(o := await policy.outcome()).request_id: o.status for _ in "012"}
        assert outcomes == {
            "0": AttemptStatus.RESET,
            "1": AttemptStatus.RESET,
            "2": AttemptStatus.CONNECT_FAILED,
        }


@scenario
async def test_attempts_share_a_connection_at_the_limit() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1")
    first = await peer.next()
    harness.take("2")
    second = await peer.next()  # on the first's connection, as the limit is 1
    assert first.writer is second.writer
    first.reply_value(b"1")
    second.reply_value(b"2")
    assert [(await policy.outcome()).request_id for _ in "12"] == ["1", "2"]


class AbortedOnConnect(CacheConnection):
    """A connection that is closed by the time it is reported open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.abort()


@scenario
async def test_a_connection_that_closes_as_it_opens_is_not_kept() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, AbortedOnConnect, most=1)
    for name in "12":
        harness.take(name)
        assert (await policy.outcome()).status is AttemptStatus.CONNECT_FAILED
        await peer.ended.acquire()
    assert peer.opened == 2


@scenario
async def test_idle_connections_are_closed_before_the_server_s_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dispatcher, "IDLE_CHECK_INTERVAL_SECONDS", 0.01)
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, idle=1.0)
    harness.take("1")
    (await peer.next()).reply_value(b"v")
    await policy.outcome()
    decides = harness.host.pools["s"].manager
    link, expire, looks = next(iter(decides.state.connected)), decides.expire, list[tuple[float, bool]]()

    def look(now: float) -> list[PoolAction]:
        actions = expire(now)
        looks.append((now - link.last_used_at, link in decides.state.connected))
        return actions

    monkeypatch.setattr(decides, "expire", look)
    await peer.ended.acquire()
    assert len(looks) > 1 and all(kept == (idle < 0.75) for idle, kept in looks)  # however late a check ran


@scenario
async def test_the_policy_closes_connections_without_awaited_replies() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy(CloseIdleConnections("s"), FailRequest("3"))
    harness = DispatchHarness(policy, peer.port)
    for name in "123":
        harness.take(name)
    got = {m.words[3]: m for m in [await peer.next() for _ in "123"]}
    got[b"O1"].reply_value(b"v")  # now idle
    await policy.outcome()
    got[b"O3"].reply(b"EN O3\r\n")
    await peer.ended.acquire()
    await peer.ended.acquire()
    got[b"O2"].reply_value(b"w")  # a connection in use stays open
    while (await policy.outcome()).request_id != "2":
        pass
    assert harness.answers["2"] == [b"VA 1 O2\r\nw\r\n"]


@scenario
async def test_abandoned_attempts_do_not_hold_all_connections() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", wait=30)
    await peer.next()
    assert (await policy.outcome()).status is AttemptStatus.TIMEOUT
    harness.take("2")
    await peer.ended.acquire()
    (await peer.next()).reply_value(b"2")
    assert (await policy.outcome()).status is AttemptStatus.OK


@scenario
async def test_the_idle_timeout_is_learned_from_connections_that_break(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_timeout, "MIN_IDLE_TIMEOUT_SECONDS", 0.05)
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=1)
    writers = []
    for name in "123":
        harness.take(name)
        got = await peer.next()
        writers.append(got.writer)
        if name == "2":
            got.reset()
            assert (await policy.outcome()).status is AttemptStatus.RESET
        else:
            got.reply_value(b"v")
            assert (await policy.outcome()).status is AttemptStatus.OK
        if name == "1":
            await asyncio.sleep(0.2)
    assert writers[0] is writers[1]
    await asyncio.sleep(0.15)  # over half of the idle time (0.2 s) after which a connection broke
    harness.take("4")
    assert (await peer.next()).writer is not writers[2]


@scenario
async def test_after_a_break_fewer_attempts_share_a_connection() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=4)
    await quick_replies(harness, peer, policy)
    harness.take("3")
    harness.take("4")
    first, second = await peer.next(), await peer.next()
    assert first.writer is second.writer
    first.reply(b"VA 1 Oother h1\r\nv\r\n")
    outcomes = [(await policy.outcome()).status for _ in "34"]
    assert outcomes == [AttemptStatus.ERROR, AttemptStatus.CANCELLED]
    for name in "567":
        harness.take(name)
    assert len({(await peer.next()).writer for _ in "567"}) == 3


@scenario
async def test_a_command_carries_the_time_left_as_it_is_written() -> None:
    """A first attempt that waited for a connection has less time left than its client had."""
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", b"v")
    first = await peer.next()
    began = time.monotonic()
    harness.take("2", b"v", wait=1000)
    await asyncio.sleep(0.05)
    waited = time.monotonic() - began
    first.reply(b"HD O1 cr\r\n")
    assert int((await peer.next()).head.rpartition(b"d=")[2]) <= 1000 * (1.0 - waited)


def test_a_command_never_carries_more_than_the_time_left() -> None:
    class Told(ConnectionPool):
        def __init__(self) -> None:
            self.system = RealSystem()
            self.system.now = lambda: 100.0

    connection = CacheConnection(Told(), UpstreamConnection("a"))
    command = Command(b"k", b"1", b"c=read", {}, None)
    for left, told in ((0.0999, 99), (0.1004, 100), (0.0002, 1)):  # at least 1 ms is sent
        assert connection.remaining_milliseconds(Attempt("1", 0, 99.0, 100.0 + left, command, None)) == told
