"""A whole router on loopback sockets: requests, retries, hedging and connections."""

from __future__ import annotations

import asyncio
import time

from ironrail.policy.settings import RequestClass
from tests.peers import Peer, World, scenario

BUSY = b"SERVER_ERROR busy "


@scenario
async def test_a_cache_hit_is_forwarded_unchanged() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"mg page:7 v Oab Pc=read,t=x,d=5000,h=900,size=3,k=q\r\n")
    got = await world.cache.next()
    assert got.words[:4] == [b"mg", b"page:7", b"v", b"Oab"]
    pairs = dict(p.split(b"=") for p in got.words[4][1:].split(b","))
    assert 4000 < int(pairs.pop(b"d")) <= 5000
    assert pairs == {b"c": b"read", b"t": b"x", b"h": b"900", b"size": b"3", b"k": b"q"}
    got.reply(b"VA 4 Oab h1\r\n\r\n\x00v\r\n")
    assert await client.value("ab") == b"\r\n\x00v"


@scenario
async def test_a_cache_miss_is_retried_at_the_origin() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1", key="page:7")
    got = await world.cache.next()
    got.reply(b"EN O1 h0 Z\r\n")
    fetch = await world.origin.next()
    assert fetch.head == b"GET /page:7"
    assert fetch.headers["request-id"] == "1"
    assert fetch.headers["request-info"].startswith("c=read,t=x,d=")
    fetch.respond(b"value")
    assert await client.value("1") == b"value"


@scenario
async def test_a_write_is_forwarded_to_the_origin_and_acknowledged() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"\r\nbody", key="a b?#%".replace(" ", "_"))
    put = await world.origin.next()
    assert (put.head, put.value) == (b"PUT /a_b%3F%23%25", b"\r\nbody")
    put.respond(b"r-77")
    assert await client.line() == b"HD O1 cr-77\r\n"


@scenario
async def test_pipelined_commands_start_at_once_and_are_answered_in_order() -> None:
    world = await World().start()
    client = await world.client()
    for name in "12":
        client.get(name)
    client.send(b"mn\r\nnonsense\r\n")
    got = {m.flag: m for m in (await world.cache.next(), await world.cache.next())}
    assert got[b"O1"].writer is not got[b"O2"].writer  # on separate connections
    got[b"O2"].reply_value(b"two")
    await world.tell()  # the second request has its reply before the first
    got[b"O1"].reply_value(b"one")
    assert [await client.value(n) for n in "12"] == [b"one", b"two"]
    assert [await client.line(), await client.line()] == [b"MN\r\n", b"ERROR\r\n"]


@scenario
async def test_the_latest_idle_connection_is_reused() -> None:
    world = await World().start()
    client = await world.client()
    for name in "123":
        client.get(name)
        (await world.cache.next()).reply_value(b"v")
        await client.value(name)
    assert world.cache.opened == 1


@scenario
async def test_a_late_reply_is_dropped_and_shifts_no_other_reply() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1", wait=60)
    late = await world.cache.next()
    assert (await client.line()).startswith(BUSY)
    client.get("2")
    second = await world.cache.next()
    assert second.writer is not late.writer  # else it would wait behind an abandoned attempt
    late.reply_value(b"late")
    second.reply_value(b"two")
    assert await client.value("2") == b"two"
    client.send(b"mn\r\n")
    assert await client.line() == b"MN\r\n"


@scenario
async def test_a_request_is_answered_at_its_deadline_and_not_retried_after() -> None:
    world = await World().start()
    client = await world.client()
    began = time.monotonic()
    client.put("1", b"v", wait=150)
    put = await world.origin.next()
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    assert 0.145 <= time.monotonic() - began < 1.5  # at its own timeout, not at the one of its class
    put.respond(b"receipt")  # too late
    client.get("2")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("2") == b"v"
    assert world.origin.messages.empty()


@scenario
async def test_a_request_without_a_server_is_rejected_in_time() -> None:
    world = await World().start()
    await world.tell(full=True)
    client = await world.client()
    client.send(b"mn\r\n")
    assert await client.line() == b"SERVER_ERROR not ready\r\n"
    client.get("1", wait=60)
    assert (await client.line()).startswith(BUSY)


@scenario
async def test_requests_of_a_disconnected_client_are_dropped() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    client.close()
    other = await world.client()
    other.get("2")
    second = await world.cache.next()
    got.reply(b"EN O1\r\n")
    second.reply(b"EN O2\r\n")
    fetch = await world.origin.next()
    assert fetch.headers["request-id"] == "2"  # none for the first, whose miss arrived before
    fetch.respond(b"v")
    assert await other.value("2") == b"v"
    assert world.origin.messages.empty()


@scenario
async def test_a_non_idempotent_write_that_may_have_run_fails_without_retry() -> None:
    world = await World().start()
    client = await world.client()
    for name, end in (("1", "reset"), ("2", "end")):
        client.put(name, b"v")
        getattr(await world.origin.next(), end)()
        assert await client.line() == b"SERVER_ERROR failed\r\n"
    client.put("3", b"v")
    (await world.origin.next()).respond(b"", 500)
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    assert world.origin.messages.empty()


@scenario
async def test_a_non_idempotent_write_that_never_ran_is_retried_then_rejected() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"v", wait=900)
    sent = 0
    while True:
        ask = asyncio.ensure_future(world.origin.next())
        answer = asyncio.ensure_future(client.line())
        done, _ = await asyncio.wait({ask, answer}, return_when=asyncio.FIRST_COMPLETED)
        if answer in done:
            break
        sent += 1
        (await ask).respond(b"", 503, b"Not-Started: 1")
        answer.cancel()
        await asyncio.sleep(0)
    assert 1 <= sent <= 3
    assert answer.result().startswith(BUSY)


@scenario
async def test_the_first_reply_of_a_hedged_request_wins_and_the_other_is_dropped() -> None:
    read = RequestClass("read", latency_objective=0.1)  # overdue at half of it
    world = await World(classes={"read": read}, cache_aside=False).start()
    other = await Peer().start()
    await world.tell(world.cache.row("c"), other.row("d"), full=True)
    client = await world.client()
    client.get("1")
    peers = {asyncio.ensure_future(p.next()) for p in (world.cache, other)}
    done, _ = await asyncio.wait(peers)
    first, second = (task.result() for task in done)  # in either order
    second.reply_value(b"second")
    assert await client.value("1") == b"second"
    first.reply_value(b"first")
    client.send(b"mn\r\n")
    assert await client.line() == b"MN\r\n"


@scenario
async def test_values_of_the_largest_size_are_forwarded_complete() -> None:
    world = await World(cache_aside=False).start()
    await world.tell(world.cache.row("c"), full=True)
    client = await world.client()
    value = bytes(range(256)) * 256
    client.put("1", value)
    got = await world.cache.next()
    assert got.value == value
    got.reply(b"HD O1 cr\r\n")
    assert await client.line() == b"HD O1 cr\r\n"
    client.get("2")
    (await world.cache.next()).reply_value(value)
    assert await client.value("2") == value


@scenario
async def test_a_client_that_reads_no_responses_is_not_read_from() -> None:
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    value, sent = b"x" * 65536, 0
    pending = asyncio.ensure_future(world.cache.next())
    while sent < 400:  # 25 MB, far more than the buffers of the system and the router hold
        client.get(str(sent))
        done, _ = await asyncio.wait({pending}, timeout=0.5)
        if not done:
            break
        pending.result().reply_value(value)
        pending = asyncio.ensure_future(world.cache.next())
        sent += 1
    assert sent < 400
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    for n in range(sent):
        assert await client.value(str(n)) == value
    (await pending).reply_value(b"last")
    assert await client.value(str(sent)) == b"last"
