"""The stand-in clients and their front, before a router that a test plays."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.account.rules import KIT_LATENESS_SECONDS
from ironrail.rehearsal.standins.front import Front, Seen
from tests.peers import scenario, until
from tests.rehearsal.facts import planned
from tests.rehearsal.stage import R, client_of, plan_of, stage


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


@scenario
async def test_a_request_that_a_kill_finds_unanswered_is_not_sent_again_on_another_connection() -> None:
    """Guards against a lost request that its client repeats as if a close had crossed it."""
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s))
        (await router.next()).reply_value(b"v")
        await until(lambda: clients.pools[R]._idle)
        clients.send(planned(1, s.world.now()))
        taken = await router.next()
        await asyncio.sleep(2 * KIT_LATENESS_SECONDS)
        clients.router_killed(R)
        taken.reset()
        await clients.quiet()
        lost = next(one for one in s.record.tries.values() if one.request.encode() in taken.flag)
        assert lost.outcome is Outcome.CLOSED and lost.killed_at is not None
