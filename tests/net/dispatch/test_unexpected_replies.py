"""Surplus, late and partial replies affect no other request."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from ironrail.connections.upstream import pool_manager
from ironrail.connections.upstream.connection import ReplyState
from ironrail.net.dispatch import dispatcher
from ironrail.net.protocol import meta_codec
from ironrail.net.upstream import origin_connection
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.policy.events import AttemptStatus
from tests.net.dispatch.harness import GOOD, GOOD_HTTP, Brief, DispatchHarness, ScriptedPolicy, quick_replies
from tests.peers import Peer, read_command, read_http, scenario


async def reply_and_ask_again(kind: Any, data: bytes) -> tuple[list[AttemptStatus], dict[str, list[bytes]]]:
    """Play a request whose reply is `data`, and one that is asked as soon as the policy hears of that.

    Returns:
        The outcomes of both, and the responses by request.
    """
    is_cache = kind is CacheConnection
    peer, policy = await Peer(read_command if is_cache else read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, kind, most=1)
    harness.take("1")
    first = await peer.next()
    policy.after = lambda: harness.take("2")
    first.reply(data)
    second = await peer.next()
    assert second.writer is not first.writer
    if is_cache:
        second.reply_value(b"w")
    else:
        second.respond(b"w")
    return [(await policy.outcome()).status for _ in "12"], harness.answers


@scenario
@pytest.mark.parametrize(
    ("kind", "data"),
    [
        (CacheConnection, GOOD + GOOD),
        (CacheConnection, GOOD + b"\x00noise"),
        (OriginConnection, GOOD_HTTP + GOOD_HTTP),
        (OriginConnection, GOOD_HTTP + GOOD_HTTP[:9]),
    ],
)
async def test_surplus_bytes_after_a_reply_affect_no_other_request(kind: Any, data: bytes) -> None:
    outcomes, answers = await reply_and_ask_again(kind, data)
    assert outcomes == [AttemptStatus.OK, AttemptStatus.OK]
    assert answers == {"1": [GOOD.replace(b" h1", b"")], "2": [b"VA 1 O2\r\nw\r\n"]}


def http_response(told: int, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % told + body


# A value was served without its end: the origin's response was longer than the length in its header.
@scenario
@pytest.mark.parametrize(
    "data",
    [
        http_response(180, b"v" * 200),
        http_response(180, b"v" * 180 + b"HTTP"),
        GOOD_HTTP + b"\x00noise",  # can't be told from the rest of a value
    ],
)
async def test_a_response_of_the_origin_that_is_longer_than_its_length_fails(data: bytes) -> None:
    outcomes, answers = await reply_and_ask_again(OriginConnection, data)
    assert outcomes == [AttemptStatus.ERROR, AttemptStatus.OK]
    assert answers == {"1": [meta_codec.FAILED], "2": [b"VA 1 O2\r\nw\r\n"]}


# The same where the rest of the value is still unread when the response is complete by its length.
@scenario
@pytest.mark.parametrize(
    ("rest", "status"),
    [(b"v" * 20, AttemptStatus.ERROR), (GOOD_HTTP, AttemptStatus.OK), (b"", AttemptStatus.OK)],
)
async def test_a_response_of_the_origin_ends_with_what_arrived_behind_it(
    rest: bytes, status: AttemptStatus, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(origin_connection, "REST_TIMEOUT_SECONDS", 5.0)
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=1)
    harness.take("1")
    first = await peer.next()
    connection = next(iter(harness.host.pools["s"]._connections.values()))
    connection._has_unread_bytes = lambda: True
    first.reply(GOOD_HTTP)
    await asyncio.sleep(0.02)
    assert harness.answers["1"] == []
    if rest:
        first.reply(rest)
    else:
        first.end()
    assert (await policy.outcome()).status is status


@scenario
async def test_a_response_whose_connection_can_not_be_checked_is_reported_all_the_same() -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=1)
    harness.take("1")
    first = await peer.next()
    connection = next(iter(harness.host.pools["s"]._connections.values()))
    connection._has_unread_bytes = lambda: True  # the system lacks memory for the check
    first.reply(GOOD_HTTP)
    assert (await policy.outcome()).status is AttemptStatus.OK


@scenario
async def test_a_late_duplicate_is_not_matched_with_the_next_request() -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=1)
    harness.take("1")
    first = await peer.next()
    first.reply(GOOD_HTTP)
    await policy.outcome()
    os.write(
        first.writer.get_extra_info("socket").fileno(), GOOD_HTTP
    )  # with the router's system, unread by the router
    harness.take("2")
    second = await peer.next()
    assert second.writer is not first.writer
    second.respond(b"w")
    assert (await policy.outcome()).status is AttemptStatus.OK
    assert harness.answers["2"] == [b"VA 1 O2\r\nw\r\n"]


@scenario
@pytest.mark.parametrize("half", [b"VA 9 O1 h1\r\nhalf", b"VA 9 O1", b"x" * 100])
async def test_a_reply_that_stops_midway_times_out(half: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatcher, "IDLE_CHECK_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(pool_manager, "PARTIAL_REPLY_TIMEOUT_SECONDS", 0.05)
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1")
    harness.take("2")
    first = await peer.next()
    await peer.next()
    first.reply(half)
    outcomes = {(o := await policy.outcome()).request_id: o.status for _ in "12"}
    # the spoilt one has run, and so may have the one behind it: neither counts as a server lost
    assert outcomes == {"1": AttemptStatus.ERROR, "2": AttemptStatus.CANCELLED}


@scenario
async def test_no_attempt_queues_behind_a_partial_reply() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, most=2)
    await quick_replies(harness, peer, policy)
    harness.take("1")
    first = await peer.next()
    first.reply(b"VA 9 O1 h1\r\nhalf")
    connection = next(iter(harness.host.pools["s"]._connections.values()))
    while connection.upstream.reply_state is not ReplyState.PARTIAL:
        await asyncio.sleep(0)
    harness.take("2")
    second = await peer.next()
    assert second.writer is not first.writer


@scenario
async def test_no_attempt_queues_on_a_silent_connection() -> None:
    peer, policy = await Peer().start(), Brief()
    policy.time = 1.0
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1")
    await peer.next()
    await asyncio.sleep(0.4)  # a good part of the time for the first, which gets no reply
    policy.time = 5.0
    harness.take("2")
    second = await peer.next()
    outcomes = {(o := await policy.outcome()).request_id: o.status for _ in "12"}
    assert outcomes == {"1": AttemptStatus.TIMEOUT, "2": AttemptStatus.CANCELLED}
    harness.take("3")
    third = await peer.next()
    assert third.writer is not second.writer
    third.reply_value(b"v")
    assert (await policy.outcome()).status is AttemptStatus.OK


@scenario
async def test_a_reply_that_later_ones_overtook_is_still_used() -> None:
    peer, policy = await Peer().start(), Brief()
    policy.time = 2.0
    harness = DispatchHarness(policy, peer.port, most=2)
    harness.take("1")
    first = await peer.next()
    await asyncio.sleep(0.9)  # more than the share of its time after which it is doubted
    harness.take("2")
    (await peer.next()).reply(b"VA 1 O2 h1\r\nv\r\n")
    assert (await policy.outcome()).request_id == "2"
    first.reply(b"VA 1 O1 h1\r\nv\r\n")
    outcome = await policy.outcome()
    assert (outcome.request_id, outcome.status) == ("1", AttemptStatus.OK)


# An origin that sent 1xx responses without end held up the router: all of one read were parsed at once.
@scenario
@pytest.mark.parametrize(("number", "status"), [(5, AttemptStatus.OK), (50, AttemptStatus.ERROR)])
async def test_informational_responses_ahead_are_limited(number: int, status: AttemptStatus) -> None:
    peer, policy = await Peer(read_http).start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, OriginConnection, most=1)
    harness.take("1")
    (await peer.next()).reply(b"HTTP/1.1 100 Continue\r\n\r\n" * number + GOOD_HTTP)
    assert (await policy.outcome()).status is status
