"""The stand-ins on loopback, each called as a router calls it."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from tests.peers import scenario, until
from tests.rehearsal.stage import FAST, R, stage, wire


@scenario
async def test_a_miss_is_answered_by_the_origin_and_is_a_hit_afterwards() -> None:
    async with stage() as s:
        cache, origin = (
            await wire(s.caches["cache-1"].endpoints[R].address),
            await wire(s.archive.endpoints[R].address),
        )
        first, second = s.asked(0), s.asked(1)
        cache.read(first)
        assert await cache.line() == f"EN O{first.one.request}\r\n".encode()
        origin.fetch(first)
        status, value = await origin.response()
        assert status == 200 and value.startswith(f"grid-0|{first.one.request}|archive|".encode())
        cache.read(second)
        head = (await cache.line()).split()
        body = await cache.reader.readexactly(int(head[1]))
        assert body.startswith(f"grid-0|{second.one.request}|cache-1|".encode())  # made for this request
        assert [a.ended for a in first.one.attempts] == [Ended.MISS, Ended.SERVED]
        assert s.record.stray_count == 0


@scenario
async def test_a_write_invalidates_cached_copies_and_a_repeat_with_its_key_is_not_executed() -> None:
    async with stage() as s:
        s.caches["cache-1"].store.put("grid-0", 10)
        origin = await wire(s.archive.endpoints[R].address)
        first, again = s.asked(0, "hint"), s.asked(1, "hint")
        receipts = []
        for story in (first, again):
            origin.fetch(story, "PUT", "k")
            receipts.append(await origin.response())
        assert receipts[0] == receipts[1]
        assert [a.effect_at is not None for t in (first, again) for a in t.one.attempts] == [True, False]
        assert s.caches["cache-1"].store.get("grid-0") is None


@scenario
async def test_answers_are_sent_in_the_order_of_the_commands() -> None:
    async with stage() as s:
        cache = await wire(s.caches["cache-1"].endpoints[R].address)
        slow, quick = s.asked(0, work=0.9), s.asked(1, work=0.001)
        cache.read(slow)
        cache.read(quick)
        assert [await cache.line(), await cache.line()] == [
            f"EN O{t.one.request}\r\n".encode() for t in (slow, quick)
        ]


@scenario
async def test_unexpected_requests_are_recorded() -> None:
    async with stage() as s:
        cache = await wire(s.caches["cache-1"].endpoints[R].address)
        cache.writer.write(b"mg other v O1234 Pc=x,t=y,d=1\r\nmn\r\n")
        await cache.reader.read()  # closed after the invalid command
        assert s.record.stray_count == 2
        origin = await wire(s.archive.endpoints[R].address)
        origin.writer.write(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
        await origin.response()
        assert "a probe: /-/healthy" in [stray.text for stray in s.record.strays]


@scenario
async def test_a_silent_endpoint_accepts_and_answers_nothing_and_resumes_where_it_stopped() -> None:
    async with stage() as s:
        endpoint = s.caches["cache-1"].endpoints[R]
        # the work is still going on as the silence begins
        cache, one = await wire(endpoint.address), s.asked(0, work=0.3)
        cache.read(one)
        await until(lambda: one.one.attempts)
        endpoint.begin_silence("a")
        endpoint.begin_silence("b")
        later = s.asked(1)
        cache.read(later)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await wire(endpoint.address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await cache.line()
        endpoint.end_silence("a")
        assert endpoint.is_silent
        endpoint.end_silence("b")
        assert [await cache.line(), await cache.line()] == [
            f"EN O{t.one.request}\r\n".encode() for t in (one, later)
        ]
        assert [t.one.attempts[0].late for t in (one, later)] == [False, True]
        assert await wire(endpoint.address)


@scenario
async def test_a_vanished_cache_returns_cold_and_empty_once_all_causes_have_ended() -> None:
    async with stage() as s:
        cache = s.caches["cache-1"]
        cache.store.put("grid-0", 10)
        before = await wire(cache.endpoints[R].address)
        await until(lambda: cache.connections)
        s.fleet.vanish("cache-1", "a")
        s.fleet.vanish("cache-1", "b")
        await until(lambda: "cache-1" not in s.registry.agents[R]._rows)
        s.fleet.end_outage("cache-1", "a")
        assert cache.endpoints[R].is_silent
        s.fleet.end_outage("cache-1", "b")
        with pytest.raises(ConnectionError):
            before.writer.write(b"x")
            await before.reader.read()
            before.writer.write(b"x")
            await before.writer.drain()
        assert len(cache.store) == 0 and cache.work.capacity_fraction() < 1.0
        rows = s.registry.agents[R]._rows
        await until(lambda: "cache-1" in rows and rows["cache-1"].started_ms > 0)


@scenario
async def test_a_cold_cache_that_is_overloaded_collapses_and_stays_down() -> None:
    async with stage() as s:
        s.fleet.stop("cache-1", "a")
        s.fleet.end_outage("cache-1", "a")
        cache = await wire(s.caches["cache-1"].endpoints[R].address)
        for n in range(20):
            cache.read(s.asked(n, work=2.0))
        await until(lambda: s.record.collapses)
        assert s.record.collapses[0].server == "cache-1"
        assert s.caches["cache-1"].endpoints[R].is_silent


@scenario
async def test_silences_that_overlap_end_in_any_order() -> None:
    """Guards against a silence that ends first and lasts forever: the cache is listed but never answers."""
    async with stage() as s:
        s.fleet.vanish("cache-1", "a")
        s.fleet.stop("cache-1", "b")
        s.fleet.vanish("cache-1", "c")
        for cause in "cab":
            assert s.caches["cache-1"].endpoints[R].is_silent or cause == "b"
            s.fleet.end_outage("cache-1", cause)
        assert not s.caches["cache-1"].endpoints[R].is_silent
        cache = await wire(s.caches["cache-1"].endpoints[R].address)
        cache.read(s.asked(0))
        assert await cache.reader.readline()


@scenario
async def test_a_drain_is_listed_before_a_new_process_takes_over() -> None:
    async with stage() as s:
        agent = s.registry.agents[R]
        s.fleet.begin_drain("cache-2", "a")
        await until(lambda: agent._rows["cache-2"].state == "terminating")
        cache = await wire(s.caches["cache-2"].endpoints[R].address)
        cache.read(s.asked(0))
        assert (await cache.line()).startswith(b"EN ")  # it still serves new requests
        s.fleet.end_drain("cache-2", "a")
        await until(lambda: agent._rows.get("cache-2") is not None and agent._rows["cache-2"].started_ms > 0)
        assert agent._rows["cache-2"].state == "in_service"


@scenario
@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (FaultKind.ERRORS, b"SERVER_ERROR failed\r\n"),
        (FaultKind.SPOILT, None),
        (FaultKind.ENDLESS, b"VA 3000000000 "),
        (FaultKind.RESET, b""),
    ],
)
async def test_faulty_replies(kind: FaultKind, expected: bytes | None) -> None:
    async with stage() as s:
        s.caches["cache-1"].store.put("grid-0", 10)
        s.caches["cache-1"].begin_fault("f", kind, 1.0)
        cache, one = await wire(s.caches["cache-1"].endpoints[R].address), s.asked(0)
        cache.read(one)
        if expected == b"":
            with pytest.raises(ConnectionError):
                await cache.line()
        else:
            received = await cache.reader.read(50)
            assert (
                received.startswith(expected) if expected else not received.startswith(b"VA 10 O" + b"id-0")
            )
        assert one.one.attempts[0].ended in (Ended.ERROR, Ended.SPOILT, Ended.RESET)
        s.caches["cache-1"].end_fault("f")
        good = s.asked(1)
        cache = await wire(s.caches["cache-1"].endpoints[R].address)
        cache.read(good)
        assert f" O{good.one.request} h1".encode() in await cache.line()


@scenario
async def test_an_origin_that_goes_down_refuses_the_requests_in_progress() -> None:
    async with stage(FAST.replace('time = "5 ms"', 'time = "5 s"')) as s:
        origin, one = await wire(s.archive.endpoints[R].address), s.asked(0, "entry")
        origin.fetch(one, "PUT")
        await until(lambda: one.one.attempts)
        s.archive.begin_fault("f", FaultKind.ARCHIVE_DOWN, None)
        head = await origin.reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head and b"Not-Started: 1" in head
        assert one.one.attempts[0].ended is Ended.BUSY and one.one.attempts[0].effect_at is None
