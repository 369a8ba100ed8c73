"""Connections to servers that end, or say something, in the moment in which nobody expects it."""

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

from tests.outcomes.bench import GOOD, Bench, Script, reply, reply_then_end
from tests.peers import LOCAL, Message, Peer, World, read_command, read_http, scenario, until

libc = ctypes.CDLL(None)
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nreceipt"


def at_once(message: Message, data: bytes) -> None:
    """With the router's system before anything else happens here."""
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
async def test_a_reset_is_no_end_of_an_answer_without_a_length(value: bytes | None, apart: bool) -> None:
    peer, script = await Peer(read_http).start(), Script()
    bench = Bench(script, peer.port, OriginConnection)
    bench.take("1", value)
    await reset_behind(NO_LENGTH, apart)(await peer.next())
    assert (await script.outcome()).status is AttemptStatus.RESET
    assert bench.answers["1"] == [b"SERVER_ERROR failed\r\n"]


@scenario
async def test_the_end_of_sending_is_the_end_of_an_answer_without_a_length() -> None:
    peer, script = await Peer(read_http).start(), Script()
    bench = Bench(script, peer.port, OriginConnection)
    bench.take("1", b"body")
    reply_then_end(NO_LENGTH)(await peer.next())
    assert (await script.outcome()).status is AttemptStatus.OK
    assert bench.answers["1"] == [b"HD O1 creceipt\r\n"]


@pytest.mark.parametrize("second", [GOOD, b"VA 3 O1 h1\r\nfoo\r\n", b"HD O1 cr\r\n", b"EN O1\r\n", GOOD[:9]])
@scenario
async def test_a_second_reply_is_not_given_to_the_next_request_though_that_is_written(second: bytes) -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port)
    bench.take("1")
    first = await peer.next()
    first.reply(GOOD)
    await script.outcome()
    bench.take("2")
    (await peer.next()).reply(second + b"VA 1 O2 h1\r\nw\r\n")
    assert (await script.outcome()).status is AttemptStatus.ERROR  # it may have run
    assert bench.answers["2"] == [b"SERVER_ERROR failed\r\n"]
    bench.take("3")
    third = await peer.next()
    assert third.writer is not first.writer
    third.reply_value(b"x")
    assert (await script.outcome()).status is AttemptStatus.OK


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
async def test_a_resting_connection_on_which_something_came_is_not_used_again(kind: Any, data: bytes) -> None:
    peer, script = await Peer(read_command if kind is CacheConnection else read_http).start(), Script()
    bench = Bench(script, peer.port, kind)
    answer = Message.reply_value if kind is CacheConnection else Message.respond
    bench.take("1")
    first = await peer.next()
    answer(first, b"v")
    await script.outcome()
    first.reply(data)
    await peer.ended.acquire()  # the router has ended it, with nothing to send
    bench.take("2")
    second = await peer.next()
    assert second.writer is not first.writer and peer.opened == 2
    answer(second, b"w")
    assert (await script.outcome()).status is AttemptStatus.OK
    assert len(bench.host._pools["s"].upstream) == 1


@pytest.mark.parametrize("end", ["close", "reset"])
@scenario
async def test_a_resting_connection_that_ends_as_it_would_be_used_costs_no_attempt(end: str) -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port)
    bench.take("1")
    first = await peer.next()
    first.reply(GOOD)
    await script.outcome()
    its = first.writer.get_extra_info("socket")
    with socket.socket(fileno=os.dup(its.fileno())) as same:  # at once, unread by the router
        if end == "close":
            same.shutdown(socket.SHUT_RDWR)
        else:  # as by a process that dies: from where it was connected to nothing
            same.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            libc.connect(same.fileno(), bytes(16), 16)
    bench.take("2")
    second = await peer.next()
    assert second.writer is not first.writer
    second.reply_value(b"w")
    assert (await script.outcome()).status is AttemptStatus.OK


@scenario
async def test_half_a_reply_and_the_end_may_have_run() -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port)
    bench.take("1")
    reply_then_end(GOOD[:-3])(await peer.next())
    assert (await script.outcome()).status is AttemptStatus.RESET
    assert bench.answers["1"] == [b"SERVER_ERROR failed\r\n"]


@scenario
async def test_dials_that_never_come_up_leave_no_descriptor() -> None:
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
        script = Script()
        bench = Bench(script, full.getsockname()[1], connect_timeout=0.05)
        bench.take("first")  # the loop itself opens one with its first dial, and keeps it
        await script.outcome()
        before = len(os.listdir("/proc/self/fd"))
        for n in range(8):
            bench.take(str(n), wait=20 if n % 2 else 5000)  # some requests end before their dial
        for _ in range(8):
            assert (await script.outcome()).status is AttemptStatus.CONNECT_FAILED
        pool = bench.host._pools["s"]
        await until(lambda: not pool._dialling)
        await until(lambda: len(os.listdir("/proc/self/fd")) <= before)
        assert not len(pool.upstream) and not bench.host._open
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("end", [Message.reset, Message.end, reply(b"nonsense"), Message.respond])
@scenario
async def test_an_effect_under_way_whose_client_left_is_counted_once_and_never_repeated(end: Any) -> None:
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    client.put("1", b"v")
    got = await world.origin.next()
    client.close()
    host = world.node._host
    await until(lambda: not host._held)
    origin = host._router.servers["o"]
    assert origin.in_flight == 1 and host._open  # it is still worked on
    end(got, *([b"r"] if end is Message.respond else []))
    await until(lambda: not host._open)
    assert not origin.in_flight and not host._router.attempts_in_flight
    other = await world.client()
    other.put("2", b"w")
    assert (await world.origin.next()).headers["request-id"] == "2"
    assert world.origin.messages.empty()
