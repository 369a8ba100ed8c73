"""The stand-ins on loopback, each spoken to as a router speaks to it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import pytest

from ironrail.rehearsal.account.record import Ended, Outcome, Record
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.archive import Archive
from ironrail.rehearsal.standins.clients import Clients
from ironrail.rehearsal.standins.fleet import Fleet, make_caches, rows_of
from ironrail.rehearsal.standins.front import Front, Seen
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World
from tests.peers import LOCAL, Peer, scenario
from tests.rehearsal.facts import Story, planned
from tests.rehearsal.facts import scenario as make_scenario

FAST = (
    '[caches]\ncount = 2\nhandshake = "0 ms"\nwarm = "1 s"\n[archive]\ntime = "5 ms"\n'
    '[registry]\nnotice = "10 ms"\nsilent_notice = "10 ms"\nadd = "10 ms"\nspread = "1 ms"\n'
)
R = "router-1"


class Stage:
    """Two caches, an archive and discovery, with one router to be played by a test."""

    def __init__(self, text: str = FAST) -> None:
        self.record = Record()
        conf = make_scenario(text)
        halls = {R: "hall-a", "cache-1": "hall-a", "cache-2": "hall-b"}
        self.world = World(conf, 1, self.record, halls)
        self.caches = make_caches(self.world, [R])
        self.archive = Archive(self.world, "archive", "", [R])
        rows = rows_of(self.world, self.caches, {R: self.archive.doors[R].address})
        self.registry = Registry(self.world, rows, [R])
        self.fleet = Fleet(self.world, self.caches, self.registry)

    def asked(self, number: int = 0, kind: str = "read", work: float = 0.002) -> Story:
        """A client's request that the router was sent."""
        plan = planned(number, at=self.world.now(), kind=kind, work=work, key="grid-0")
        return Story(self.record, plan)

    async def close(self) -> None:
        self.fleet.close()
        self.archive.close()
        self.registry.close()


@asynccontextmanager
async def stage(text: str = FAST) -> AsyncIterator[Stage]:
    made = Stage(text)
    try:
        yield made
    finally:
        await made.close()


class Wire:
    """A connection of the router to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def read(self, story: Story) -> None:
        self.writer.write(f"mg grid-0 v O{story.one.request} Pc=grid-read,t=daily,d=500\r\n".encode())

    def fetch(self, story: Story, method: str = "GET", more: str = "") -> None:
        info = "c=x,t=daily,d=500" + (f",k={story.one.planned.idempotency}" if more else "")
        head = f"{method} /grid-0 HTTP/1.1\r\nHost: a\r\nRequest-Id: {story.one.request}\r\n"
        self.writer.write(f"{head}Request-Info: {info}\r\nContent-Length: 0\r\n\r\n".encode())

    async def line(self) -> bytes:
        return await self.reader.readuntil(b"\r\n")

    async def response(self) -> tuple[int, bytes]:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(int(h[15:]) for h in head.lower().split(b"\r\n") if h.startswith(b"content-length:"))
        return int(head.split()[1]), await self.reader.readexactly(length)


async def wire(address: str) -> Wire:
    host, _, port = address.rpartition(":")
    return Wire(*await asyncio.open_connection(host, int(port)))


async def until(test: object, *args: object) -> None:
    while not test(*args):  # type: ignore[operator]
        await asyncio.sleep(0.002)


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
        await until(lambda: s.record.fallen)
        assert s.record.fallen[0].server == "cache-1"
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


async def ask(connection: Wire, target: str) -> dict[str, object]:
    connection.writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    _, body = await connection.response()
    answer: dict[str, object] = json.loads(body)
    return answer


@scenario
async def test_a_watch_is_told_of_a_change_and_so_is_the_record() -> None:
    async with stage() as s:
        agent = await wire(s.registry.agents[R].door.address)
        whole = await ask(agent, "/api/targets")
        assert whole["full"] and len(whole["servers"]) == 3  # type: ignore[arg-type]
        watch = asyncio.ensure_future(ask(agent, f"/api/targets?index={whole['version']}&wait=5000"))
        await asyncio.sleep(0)
        s.fleet.drain("cache-1", "a")
        news = await watch
        (row,) = cast(list[dict[str, str]], news["servers"])
        assert (row["id"], row["state"], news["full"]) == ("cache-1", "terminating", False)
        assert [t.state for t in s.record.told[R, "cache-1"]] == ["in_service", "terminating"]


@scenario
async def test_a_lost_list_is_told_whole_and_so_is_its_return_and_neither_is_news() -> None:
    async with stage() as s:
        connection, agent = await wire(s.registry.agents[R].door.address), s.registry.agents[R]
        version = (await ask(connection, "/api/targets"))["version"]
        agent.begin_lost("f", [])
        lost = await ask(connection, f"/api/targets?index={version}&wait=5000")
        assert (lost["full"], lost["servers"]) == (True, [])
        agent.end_lost("f")
        back = await ask(connection, f"/api/targets?index={lost['version']}&wait=5000")
        assert back["full"] and len(back["servers"]) == 3  # type: ignore[arg-type]
        assert [t.state for t in s.record.told[R, "cache-1"]] == ["in_service"]


@scenario
async def test_while_the_list_is_out_of_reach_nothing_is_told_and_afterwards_all_of_it() -> None:
    async with stage() as s:
        agent = s.registry.agents[R]
        agent.begin_silence("f")
        s.fleet.drain("cache-1", "a")
        await until(lambda: agent._missed)
        assert agent._rows["cache-1"].state == "in_service"
        agent.end_silence("f")
        assert agent._rows["cache-1"].state == "terminating"


def plan_of(s: Stage, kind: str = "read", **fields: object) -> Planned:
    return planned(0, s.world.now(), kind, **fields)


async def client_of(s: Stage) -> tuple[Peer, Clients]:
    peer = await Peer().start()
    return peer, Clients(s.world, Front(1.0, {R: Seen("hall-a")}), {R: (LOCAL, peer.port)})


@scenario
async def test_a_client_tries_again_with_a_new_id_and_the_same_key() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s, "hint"))
        first = await router.next()
        first.reply(b"SERVER_ERROR busy 10\r\n")
        second = await router.next()
        assert first.flag != second.flag
        assert b",k=k," in first.head and b",k=k,r=1," in second.head
        s.world.note_made(second.flag[1:].decode(), b"receipt")
        second.reply(b"HD %b creceipt\r\n" % second.flag)
        await clients.quiet()
        outcomes = [t.outcome for t in s.record.tries.values()]
        assert outcomes == [Outcome.REFUSED, Outcome.SERVED]


@scenario
async def test_a_client_never_repeats_an_entry_that_failed() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s, "entry"))
        (await router.next()).reply(b"SERVER_ERROR failed\r\n")
        await clients.quiet()
        assert [t.outcome for t in s.record.tries.values()] == [Outcome.FAILED]


@scenario
async def test_a_request_that_crosses_a_close_is_sent_once_more_under_its_id() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s))
        first = await router.next()
        first.reply_value(b"v")
        await until(lambda: clients.pools[R]._idle)
        clients.send(planned(1, s.world.now()))
        crossed = await router.next()
        crossed.end()
        again = await router.next()
        assert again.flag == crossed.flag and router.opened == 2
        again.reply_value(b"v")
        await clients.quiet()


@scenario
async def test_answers_that_are_cut_off_doubled_or_unreadable_are_seen() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        seen = {}
        for n, answer in enumerate((b"VA 5 %b\r\nab", b"VA 1 %b\r\na\r\nEN\r\n", b"what\r\n")):
            clients.send(planned(n, s.world.now(), "entry", own_connection=True))
            got = await router.next()
            got.reply(answer.replace(b"%b", got.flag))
            got.end()
            await clients.quiet()
            one = list(s.record.tries.values())[-1]
            await until(lambda one=one, n=n: len(one.answers) > (n == 1))
            seen[n] = one.outcome, [g.kind for g in one.answers]
        assert seen == {
            0: (Outcome.FAILED, ["cut-off"]),
            1: (Outcome.SERVED, ["VA", "EN"]),
            2: (Outcome.FAILED, ["unreadable"]),
        }


def test_the_front_keeps_to_the_hall_and_notices_a_dead_router_late() -> None:
    import random  # noqa: PLC0415

    front = Front(1.0, {"r1": Seen("a"), "r2": Seen("b"), "r3": Seen("b")})
    draws = random.Random(1)

    def chosen(hall: str, now: float) -> set[str]:
        return {front.choose(hall, now, draws) for _ in range(20)}

    assert (chosen("a", 0.0), chosen("b", 0.0)) == ({"r1"}, {"r2", "r3"})
    front.died("r1", 5.0)
    assert chosen("a", 5.9) == {"r1"}
    assert chosen("a", 6.1) == {"r2", "r3"}
    front.ready("r1")
    assert chosen("a", 6.2) == {"r1"}
    front.hot["f"] = "r3", 0.5
    share = sum(front.choose("a", 7.0, draws) == "r3" for _ in range(2000)) / 2000
    assert share == pytest.approx(0.5, abs=0.05)
