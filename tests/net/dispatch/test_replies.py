"""Replies of caches and the origin, and the outcomes that the policy receives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.policy.events import AttemptStatus
from tests.net.dispatch.harness import (
    GOOD_HTTP,
    Brief,
    DispatchHarness,
    ScriptedPolicy,
    reply,
    reply_then_end,
)
from tests.peers import Message, Peer, read_http, scenario

CACHE = [
    (reply(b"VA 1 O1 h1\r\nv\r\n"), AttemptStatus.OK),
    (reply(b"VA 1 O1 h1 Linflight=7,queue=2\r\nv\r\n"), AttemptStatus.OK),
    (reply(b"EN O1\r\n"), AttemptStatus.MISS),
    (reply(b"EN O1 h0 Z\r\n"), AttemptStatus.MISS),
    (reply(b"SERVER_ERROR failed\r\n"), AttemptStatus.ERROR),
    (reply(b"SERVER_ERROR busy\r\n"), AttemptStatus.BUSY),
    (reply(b"SERVER_ERROR busy 250\r\n"), AttemptStatus.BUSY),
    (Message.reset, AttemptStatus.RESET),
    (Message.end, AttemptStatus.RESET),
    (reply_then_end(b"VA 9 O1\r\nhalf"), AttemptStatus.RESET),
    (reply(b"VA 1 O2\r\nv\r\n"), AttemptStatus.ERROR),  # reply to another request
    (reply(b"EN O2\r\n"), AttemptStatus.ERROR),
    (reply(b"EN\r\n"), AttemptStatus.ERROR),
    (reply(b"HD O1 cr\r\n"), AttemptStatus.ERROR),  # not a reply to a read
    (reply(b"VA x O1\r\nv\r\n"), AttemptStatus.ERROR),
    (reply(b"VA 4194305 O1\r\nv\r\n"), AttemptStatus.ERROR),
    (reply(b"VA 1 O1\r\nvalue\r\n"), AttemptStatus.ERROR),
    (reply(b"CLIENT_ERROR what\r\n"), AttemptStatus.ERROR),
    (reply(b"y" * 5000), AttemptStatus.ERROR),
]


@scenario
@pytest.mark.parametrize(("act", "status"), CACHE)
async def test_the_outcome_of_a_cache_s_reply(act: Callable[[Message], Any], status: AttemptStatus) -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    act(await peer.next())
    outcome = await policy.outcome()
    assert (outcome.status, outcome.request_ended) == (status, status is AttemptStatus.OK)
    served = b"VA 1 O1\r\nv\r\n"
    assert harness.answers["1"] == [served if status is AttemptStatus.OK else b"SERVER_ERROR failed\r\n"]


@scenario
async def test_a_write_reply_without_a_receipt_is_an_error() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", b"body")
    (await peer.next()).reply(b"HD O1\r\n")
    assert (await policy.outcome()).status is AttemptStatus.ERROR


@scenario
async def test_an_attempt_that_outlives_its_request_has_an_outcome() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", wait=60)
    await peer.next()
    harness.host.on_client_disconnected("1")
    harness.take("1")
    assert harness.answers["1"] == [b"CLIENT_ERROR id in use\r\n"]  # its attempt is still in flight
    outcome = await policy.outcome()
    assert (outcome.status, outcome.request_ended) == (AttemptStatus.TIMEOUT, True)


@scenario
async def test_a_cache_s_receipt_is_forwarded() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", b"body")
    got = await peer.next()
    assert got.value == b"body"
    got.reply(b"HD O1 cr-7\r\n")
    assert (await policy.outcome()).status is AttemptStatus.OK
    assert harness.answers["1"] == [b"HD O1 cr-7\r\n"]


ORIGIN: list[tuple[bytes, list[bytes], bytes, AttemptStatus]] = [
    (b"200", [], b"v", AttemptStatus.OK),
    (b"200", [b"Server-Load: inflight=3"], b"v", AttemptStatus.OK),
    (b"500", [], b"", AttemptStatus.ERROR),
    (b"500", [b"Not-Started: 1"], b"", AttemptStatus.ERROR),  # the header counts only with 503 and 504
    (b"503", [b"Not-Started: 1"], b"", AttemptStatus.BUSY),
    (b"504", [b"not-started: 1"], b"", AttemptStatus.BUSY),
    (b"503", [], b"", AttemptStatus.ERROR),
    (b"504", [], b"", AttemptStatus.ERROR),
    (b"503", [b"Not-Started: 0"], b"", AttemptStatus.ERROR),
    (b"404", [], b"", AttemptStatus.ERROR),
]


@scenario
@pytest.mark.parametrize("write", [False, True])
@pytest.mark.parametrize(("code", "headers", "body", "status"), ORIGIN)
async def test_the_outcome_of_the_origin_s_response(
    code: bytes, headers: list[bytes], body: bytes, status: AttemptStatus, write: bool
) -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection)
    harness.take("1", b"body" if write else None)
    (await peer.next()).respond(body, int(code), *headers)
    assert (await policy.outcome()).status is status
    served = b"HD O1 cv\r\n" if write else b"VA 1 O1\r\nv\r\n"
    assert harness.answers["1"] == [served if status is AttemptStatus.OK else b"SERVER_ERROR failed\r\n"]
    harness.take("2")
    (await peer.next()).respond(b"w")
    await policy.outcome()
    assert peer.opened == 1  # the connection is reused


@scenario
@pytest.mark.parametrize(
    ("act", "status"),
    [
        (Message.reset, AttemptStatus.RESET),
        (Message.end, AttemptStatus.RESET),
        (reply_then_end(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), AttemptStatus.RESET),
        (reply(b"nonsense\r\n\r\n"), AttemptStatus.ERROR),
        (reply(b"HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nv"), AttemptStatus.ERROR),
        (reply(b"ICY 200 OK\r\nContent-Length: 1\r\n\r\nv"), AttemptStatus.ERROR),
        (reply(b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 1\r\n\r\nv"), AttemptStatus.ERROR),
        (reply(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\nv"), AttemptStatus.ERROR),
        (
            reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\nzz\r\n"),
            AttemptStatus.ERROR,
        ),
        (reply(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70000), AttemptStatus.ERROR),
        (reply(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100000), AttemptStatus.ERROR),
        # a receipt that would split the response line
        (reply(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na\r\nb"), AttemptStatus.ERROR),
    ],
)
async def test_a_broken_response_of_the_origin(act: Callable[[Message], Any], status: AttemptStatus) -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection)
    harness.take("1", b"body")
    act(await peer.next())
    assert (await policy.outcome()).status is status
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]
    harness.take("2")
    (await peer.next()).respond(b"v")  # on a new connection
    assert (await policy.outcome()).status is AttemptStatus.OK
    assert peer.opened == 2


@scenario
async def test_interim_responses_are_ignored() -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=1)
    for name in "12":
        harness.take(name)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        (await peer.next()).reply(interim + GOOD_HTTP)
        assert (await policy.outcome()).status is AttemptStatus.OK
    assert peer.opened == 1


@scenario
async def test_an_origin_that_closes_after_each_response() -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection)
    for name in "12":
        harness.take(name)
        (await peer.next()).respond(b"v", 200, b"Connection: close")
        assert (await policy.outcome()).status is AttemptStatus.OK
    assert peer.opened == 2


@scenario
async def test_a_slow_response_of_the_origin_is_awaited() -> None:
    peer, policy = await Peer(read_http).start(), Brief()
    policy.time = 2.0
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=2, streams=1)
    harness.take("1")
    first = await peer.next()
    await asyncio.sleep(1.0)  # half of its timeout; a cache would be suspected sooner
    harness.take("2")
    (await peer.next()).respond(b"v")
    assert (await policy.outcome()).request_id == "2"
    first.respond(b"w")
    assert (await policy.outcome()).status is AttemptStatus.OK
