"""The stand-ins on loopback, each spoken to as a router speaks to it."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from tests.peers import scenario, until
from tests.rehearsal.stage import FAST, R, stage, wire


@scenario
async def test_a_miss_is_filled_by_the_archive_and_then_a_hit() -> None:
    async with stage() as s:
        cache, archive = (
            await wire(s.caches["cache-1"].doors[R].address),
            await wire(s.archive.doors[R].address),
        )
        first, second = s.asked(0), s.asked(1)
        cache.read(first)
        assert await cache.line() == f"EN O{first.one.request}\r\n".encode()
        archive.fetch(first)
        status, value = await archive.response()
        assert status == 200 and value.startswith(f"grid-0|{first.one.request}|archive|".encode())
        cache.read(second)
        head = (await cache.line()).split()
        body = await cache.reader.readexactly(int(head[1]))
        assert body.startswith(f"grid-0|{second.one.request}|cache-1|".encode())  # made for this one
        assert [a.ended for a in first.one.attempts] == [Ended.MISS, Ended.SERVED]
        assert s.record.stray_count == 0


@scenario
async def test_a_write_voids_the_copies_and_a_keyed_repeat_is_dropped() -> None:
    async with stage() as s:
        s.caches["cache-1"].store.put("grid-0", 10)
        archive = await wire(s.archive.doors[R].address)
        first, again = s.asked(0, "hint"), s.asked(1, "hint")
        receipts = []
        for story in (first, again):
            archive.fetch(story, "PUT", "k")
            receipts.append(await archive.response())
        assert receipts[0] == receipts[1]
        assert [a.effect_at is not None for t in (first, again) for a in t.one.attempts] == [True, False]
        assert s.caches["cache-1"].store.get("grid-0") is None


@scenario
async def test_answers_come_in_the_order_of_the_commands() -> None:
    async with stage() as s:
        cache = await wire(s.caches["cache-1"].doors[R].address)
        slow, quick = s.asked(0, work=0.9), s.asked(1, work=0.001)
        cache.read(slow)
        cache.read(quick)
        assert [await cache.line(), await cache.line()] == [
            f"EN O{t.one.request}\r\n".encode() for t in (slow, quick)
        ]


@scenario
async def test_what_nobody_asked_for_is_noted() -> None:
    async with stage() as s:
        cache = await wire(s.caches["cache-1"].doors[R].address)
        cache.writer.write(b"mg other v O1234 Pc=x,t=y,d=1\r\nmn\r\n")
        await cache.reader.read()  # closed on what it can't read
        assert s.record.stray_count == 2
        archive = await wire(s.archive.doors[R].address)
        archive.writer.write(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
        await archive.response()
        assert "a probe: /-/healthy" in [stray.text for stray in s.record.strays]


@scenario
async def test_a_silent_door_takes_no_connection_answers_nothing_and_goes_on_where_it_stopped() -> None:
    async with stage() as s:
        door = s.caches["cache-1"].doors[R]
        cache, one = await wire(door.address), s.asked(0, work=0.3)  # in hand as the silence begins
        cache.read(one)
        await until(lambda: one.one.attempts)
        door.begin_silence("a")
        door.begin_silence("b")
        later = s.asked(1)
        cache.read(later)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await wire(door.address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await cache.line()
        door.end_silence("a")
        assert door.silent
        door.end_silence("b")
        assert [await cache.line(), await cache.line()] == [
            f"EN O{t.one.request}\r\n".encode() for t in (one, later)
        ]
        assert [t.one.attempts[0].late for t in (one, later)] == [False, True]
        assert await wire(door.address)


@scenario
async def test_a_vanished_cache_comes_back_cold_and_empty_once_all_causes_have_ended() -> None:
    async with stage() as s:
        cache = s.caches["cache-1"]
        cache.store.put("grid-0", 10)
        before = await wire(cache.doors[R].address)
        await until(lambda: cache.connections)
        s.fleet.vanish("cache-1", "a")
        s.fleet.vanish("cache-1", "b")
        await until(lambda: "cache-1" not in s.registry.agents[R]._rows)
        s.fleet.back("cache-1", "a")
        assert cache.doors[R].silent
        s.fleet.back("cache-1", "b")
        with pytest.raises(ConnectionError):
            before.writer.write(b"x")
            await before.reader.read()
            before.writer.write(b"x")
            await before.writer.drain()
        assert len(cache.store) == 0 and cache.work.share() < 1.0
        rows = s.registry.agents[R]._rows
        await until(lambda: "cache-1" in rows and rows["cache-1"].started_ms > 0)


@scenario
async def test_a_cold_cache_that_is_sent_too_much_falls_and_stays_down() -> None:
    async with stage() as s:
        s.fleet.stop("cache-1", "a")
        s.fleet.back("cache-1", "a")
        cache = await wire(s.caches["cache-1"].doors[R].address)
        for n in range(20):
            cache.read(s.asked(n, work=2.0))
        await until(lambda: s.record.collapses)
        assert s.record.collapses[0].server == "cache-1"
        assert s.caches["cache-1"].doors[R].silent


@scenario
async def test_silences_that_overlap_end_in_any_order() -> None:
    """One that ended first once lasted for good: the cache was listed, and never answered again."""
    async with stage() as s:
        s.fleet.vanish("cache-1", "a")
        s.fleet.stop("cache-1", "b")
        s.fleet.vanish("cache-1", "c")
        for cause in "cab":
            assert s.caches["cache-1"].doors[R].silent or cause == "b"
            s.fleet.back("cache-1", cause)
        assert not s.caches["cache-1"].doors[R].silent
        cache = await wire(s.caches["cache-1"].doors[R].address)
        cache.read(s.asked(0))
        assert await cache.reader.readline()


@scenario
async def test_a_drain_is_listed_first_and_a_new_process_follows() -> None:
    async with stage() as s:
        agent = s.registry.agents[R]
        s.fleet.drain("cache-2", "a")
        await until(lambda: agent._rows["cache-2"].state == "terminating")
        cache = await wire(s.caches["cache-2"].doors[R].address)
        cache.read(s.asked(0))
        assert (await cache.line()).startswith(b"EN ")  # it goes on with what comes
        s.fleet.drained("cache-2", "a")
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
async def test_replies_that_fail(kind: FaultKind, expected: bytes | None) -> None:
    async with stage() as s:
        s.caches["cache-1"].store.put("grid-0", 10)
        s.caches["cache-1"].begin("f", kind, 1.0)
        cache, one = await wire(s.caches["cache-1"].doors[R].address), s.asked(0)
        cache.read(one)
        if expected == b"":
            with pytest.raises(ConnectionError):
                await cache.line()
        else:
            got = await cache.reader.read(50)
            assert got.startswith(expected) if expected else not got.startswith(b"VA 10 O" + b"id-0")
        assert one.one.attempts[0].ended in (Ended.ERROR, Ended.SPOILT, Ended.RESET)
        s.caches["cache-1"].end("f")
        good = s.asked(1)
        cache = await wire(s.caches["cache-1"].doors[R].address)
        cache.read(good)
        assert f" O{good.one.request} h1".encode() in await cache.line()


@scenario
async def test_an_archive_that_is_down_turns_away_what_it_has_in_hand() -> None:
    async with stage(FAST.replace('time = "5 ms"', 'time = "5 s"')) as s:
        archive, one = await wire(s.archive.doors[R].address), s.asked(0, "entry")
        archive.fetch(one, "PUT")
        await until(lambda: one.one.attempts)
        s.archive.begin("f", FaultKind.ARCHIVE_DOWN, None)
        head = await archive.reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head and b"Not-Started: 1" in head
        assert one.one.attempts[0].ended is Ended.BUSY and one.one.attempts[0].effect_at is None
