"""What comes beyond a reply, late, or only in part costs nobody else."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest
from ironrail.connections.upstream import pool_manager
from ironrail.connections.upstream.connection import ReplyState
from ironrail.net.dispatch import dispatcher
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.policy.events import AttemptStatus

from tests.outcomes.bench import GOOD, GOOD_HTTP, Bench, Brief, Script, quick_replies
from tests.peers import Peer, read_command, read_http, scenario


@scenario
@pytest.mark.parametrize(
    ("kind", "data"),
    [
        (CacheConnection, GOOD + GOOD),
        (CacheConnection, GOOD + b"\x00noise"),
        (OriginConnection, GOOD_HTTP + GOOD_HTTP),
        (OriginConnection, GOOD_HTTP + b"\x00noise"),
        (OriginConnection, GOOD_HTTP + GOOD_HTTP[:9]),
    ],
)
async def test_what_comes_beyond_a_reply_costs_nobody_else(kind: Any, data: bytes) -> None:
    peer, script = await Peer(read_command if kind is CacheConnection else read_http).start(), Script()
    bench = Bench(script, peer.port, kind, most=1)
    bench.take("1")
    first = await peer.next()
    # asks for the next one as soon as the module hears of the reply
    script.after = lambda: bench.take("2")
    first.reply(data)
    second = await peer.next()
    assert second.writer is not first.writer
    if kind is CacheConnection:
        second.reply_value(b"w")
    else:
        second.respond(b"w")
    assert [(await script.outcome()).status for _ in "12"] == [AttemptStatus.OK, AttemptStatus.OK]
    assert bench.answers == {"1": [GOOD.replace(b" h1", b"")], "2": [b"VA 1 O2\r\nw\r\n"]}


@scenario
async def test_a_second_copy_that_comes_later_is_not_taken_for_the_next_reply() -> None:
    peer, script = await Peer(read_http).start(), Script()
    bench = Bench(script, peer.port, OriginConnection, most=1)
    bench.take("1")
    first = await peer.next()
    first.reply(GOOD_HTTP)
    await script.outcome()
    os.write(
        first.writer.get_extra_info("socket").fileno(), GOOD_HTTP
    )  # with the router's system, unread by the router
    bench.take("2")
    second = await peer.next()
    assert second.writer is not first.writer
    second.respond(b"w")
    assert (await script.outcome()).status is AttemptStatus.OK
    assert bench.answers["2"] == [b"VA 1 O2\r\nw\r\n"]


@scenario
@pytest.mark.parametrize("half", [b"VA 9 O1 h1\r\nhalf", b"VA 9 O1", b"x" * 100])
async def test_a_reply_that_stops_midway_is_given_up(half: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatcher, "IDLE_CHECK_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(pool_manager, "PARTIAL_REPLY_TIMEOUT_SECONDS", 0.05)
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port, most=1)
    bench.take("1")
    bench.take("2")
    first = await peer.next()
    await peer.next()
    first.reply(half)
    outcomes = {(o := await script.outcome()).request_id: o.status for _ in "12"}
    # the spoilt one has run, and so may have the one behind it: neither counts as a server lost
    assert outcomes == {"1": AttemptStatus.ERROR, "2": AttemptStatus.CANCELLED}


@scenario
async def test_nothing_queues_behind_a_reply_that_stopped_midway() -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port, most=2)
    await quick_replies(bench, peer, script)
    bench.take("1")
    first = await peer.next()
    first.reply(b"VA 9 O1 h1\r\nhalf")
    connection = next(iter(bench.host.pools["s"]._connections.values()))
    while connection.upstream.reply_state is not ReplyState.PARTIAL:
        await asyncio.sleep(0)
    bench.take("2")
    second = await peer.next()
    assert second.writer is not first.writer


@scenario
async def test_a_connection_that_fell_silent_takes_nothing_with_it() -> None:
    peer, script = await Peer().start(), Brief()
    script.time = 1.0
    bench = Bench(script, peer.port, most=1)
    bench.take("1")
    await peer.next()
    await asyncio.sleep(0.4)  # a good part of the time for the first, which gets no reply
    script.time = 5.0
    bench.take("2")
    second = await peer.next()
    outcomes = {(o := await script.outcome()).request_id: o.status for _ in "12"}
    assert outcomes == {"1": AttemptStatus.TIMEOUT, "2": AttemptStatus.CANCELLED}
    bench.take("3")
    third = await peer.next()
    assert third.writer is not second.writer
    third.reply_value(b"v")
    assert (await script.outcome()).status is AttemptStatus.OK


@scenario
async def test_a_request_that_later_ones_overtook_is_slow_and_its_reply_still_counts() -> None:
    peer, script = await Peer().start(), Brief()
    script.time = 2.0
    bench = Bench(script, peer.port, most=2)
    bench.take("1")
    first = await peer.next()
    await asyncio.sleep(0.9)  # more than the share of its time after which it is doubted
    bench.take("2")
    (await peer.next()).reply(b"VA 1 O2 h1\r\nv\r\n")
    assert (await script.outcome()).request_id == "2"
    first.reply(b"VA 1 O1 h1\r\nv\r\n")
    outcome = await script.outcome()
    assert (outcome.request_id, outcome.status) == ("1", AttemptStatus.OK)
