"""Connections that close, or receive bytes, at an unexpected moment."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import os
import socket
from collections.abc import Callable
from typing import Any

import pytest

from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.policy.events import AttemptStatus
from tests.net.dispatch.harness import GOOD, DispatchHarness, ScriptedPolicy, reply, reply_then_end
from tests.peers import LOCAL, Message, Peer, World, read_command, read_http, scenario, until

libc = ctypes.CDLL(None)
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nreceipt"


def at_once(message: Message, data: bytes) -> None:
    """Run with the router's system before any other event."""
    os.write(message.writer.get_extra_info("socket").fileno(), data)


def reset_behind(data: bytes, apart: bool) -> Callable[[Message], Any]:
    async def act(message: Message) -> None:
        at_once(message, data)
        if apart:
            await asyncio.sleep(0.02)
        message.reset()

    return act


@pytest.mark.parametrize("apart", [False, True])  # the router reads both at once, or one after the other
@pytest.mark.parametrize("value", [None, b"body"])
@scenario
async def test_a_reset_does_not_complete_a_response_without_a_length(
    value: bytes | None, apart: bool
) -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection)
    harness.take("1", value)
    await reset_behind(NO_LENGTH, apart)(await peer.next())
    assert (await policy.outcome()).status is AttemptStatus.RESET
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]


@scenario
async def test_eof_completes_a_response_without_a_length() -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection)
    harness.take("1", b"body")
    reply_then_end(NO_LENGTH)(await peer.next())
    assert (await policy.outcome()).status is AttemptStatus.OK
    assert harness.answers["1"] == [b"HD O1 creceipt\r\n"]


@pytest.mark.parametrize("second", [GOOD, b"VA 3 O1 h1\r\nfoo\r\n", b"HD O1 cr\r\n", b"EN O1\r\n", GOOD[:9]])
@scenario
async def test_a_duplicate_reply_is_not_matched_with_the_next_request_in_flight(second: bytes) -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    first = await peer.next()
    first.reply(GOOD)
    await policy.outcome()
    harness.take("2")
    (await peer.next()).reply(second + b"VA 1 O2 h1\r\nw\r\n")
    assert (await policy.outcome()).status is AttemptStatus.ERROR  # it may have run
    assert harness.answers["2"] == [b"SERVER_ERROR failed\r\n"]
    harness.take("3")
    third = await peer.next()
    assert third.writer is not first.writer
    third.reply_value(b"x")
    assert (await policy.outcome()).status is AttemptStatus.OK


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        (CacheConnection, GOOD),
        (CacheConnection, b"V"),
        (CacheConnection, b"\r\n"),
        (OriginConnection, b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"),
        (OriginConnection, b"H"),
    ],
)
@scenario
async def test_an_idle_connection_with_unread_bytes_is_not_reused(kind: Any, data: bytes) -> None:
    peer, policy = (
        await Peer(read_command if kind is CacheConnection else read_http).start(),
        ScriptedPolicy(),
    )
    harness = DispatchHarness(policy, peer.port, kind)
    answer = Message.reply_value if kind is CacheConnection else Message.respond
    harness.take("1")
    first = await peer.next()
    answer(first, b"v")
    await policy.outcome()
    first.reply(data)
    await peer.ended.acquire()  # the router has ended it, with nothing to send
    harness.take("2")
    second = await peer.next()
    assert second.writer is not first.writer and peer.opened == 2
    answer(second, b"w")
    assert (await policy.outcome()).status is AttemptStatus.OK
    assert len(harness.host.pools["s"].manager.state) == 1


@pytest.mark.parametrize("end", ["close", "reset"])
@scenario
async def test_an_idle_connection_that_closes_before_its_reuse_costs_no_attempt(end: str) -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    first = await peer.next()
    first.reply(GOOD)
    await policy.outcome()
    its = first.writer.get_extra_info("socket")
    with socket.socket(fileno=os.dup(its.fileno())) as same:  # at once, unread by the router
        if end == "close":
            same.shutdown(socket.SHUT_RDWR)
        else:  # as by a process that dies: from where it was connected to nothing
            same.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            libc.connect(same.fileno(), bytes(16), 16)
    harness.take("2")
    second = await peer.next()
    assert second.writer is not first.writer
    second.reply_value(b"w")
    assert (await policy.outcome()).status is AttemptStatus.OK


@scenario
async def test_an_attempt_with_a_partial_reply_may_have_run() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    reply_then_end(GOOD[:-3])(await peer.next())
    assert (await policy.outcome()).status is AttemptStatus.RESET
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]


@scenario
async def test_connects_that_time_out_leak_no_descriptor() -> None:
    # what other tests have left would end meanwhile, and hide a leak; before there is a router, which takes
    # the time that it needs on a busy machine for a standstill
    gc.collect()
    await asyncio.sleep(0)
    with socket.socket() as full:  # a full backlog drops what would connect, like a vanished machine
        full.bind((LOCAL, 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        policy = ScriptedPolicy()
        harness = DispatchHarness(policy, full.getsockname()[1], connect_timeout=0.05)
        harness.take("first")  # the loop itself opens one with its first dial, and keeps it
        await policy.outcome()
        before = len(os.listdir("/proc/self/fd"))
        for n in range(8):
            harness.take(str(n), wait=20 if n % 2 else 5000)  # some requests end before their dial
        for _ in range(8):
            assert (await policy.outcome()).status is AttemptStatus.CONNECT_FAILED
        pool = harness.host.pools["s"]
        await until(lambda: not pool.connector.tasks)
        await until(lambda: len(os.listdir("/proc/self/fd")) <= before)
        assert not len(pool.manager.state) and not harness.host.attempts
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("end", [Message.reset, Message.end, reply(b"nonsense"), Message.respond])
@scenario
async def test_a_write_in_flight_whose_client_disconnected_is_counted_once_and_not_retried(end: Any) -> None:
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    client.put("1", b"v")
    got = await world.origin.next()
    client.close()
    host = world.node._dispatcher
    await until(lambda: not host.requests.by_id)
    origin = host.driver.router.servers["o"]
    assert origin.in_flight == 1 and host.attempts  # it is still worked on
    end(got, *([b"r"] if end is Message.respond else []))
    await until(lambda: not host.attempts)
    assert not origin.in_flight and not host.driver.router.attempts_in_flight
    other = await world.client()
    other.put("2", b"w")
    assert (await world.origin.next()).headers["request-id"] == "2"
    assert world.origin.messages.empty()
