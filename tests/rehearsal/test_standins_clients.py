"""The stand-in clients and their load balancer, with a router that the test controls."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.account.rules import KIT_LATENESS_SECONDS
from ironrail.rehearsal.standins.load_balancer import LoadBalancer, RouterState
from tests.peers import scenario, until
from tests.rehearsal.facts import planned
from tests.rehearsal.stage import R, client_of, plan_of, stage


@scenario
async def test_a_client_retries_with_a_new_request_id_and_the_same_idempotency_key() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s, "hint"))
        first = await router.next()
        first.reply(b"SERVER_ERROR busy 10\r\n")
        second = await router.next()
        assert first.flag != second.flag
        assert b",k=k," in first.head and b",k=k,r=1," in second.head
        s.world.record_value(second.flag[1:].decode(), b"receipt")
        second.reply(b"HD %b creceipt\r\n" % second.flag)
        await clients.wait_until_idle()
        outcomes = [t.outcome for t in s.record.tries.values()]
        assert outcomes == [Outcome.REFUSED, Outcome.SERVED]


@scenario
async def test_a_client_never_retries_a_failed_request_that_is_unsafe_to_repeat() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s, "entry"))
        (await router.next()).reply(b"SERVER_ERROR failed\r\n")
        await clients.wait_until_idle()
        assert [t.outcome for t in s.record.tries.values()] == [Outcome.FAILED]


@scenario
async def test_a_request_sent_as_the_connection_closes_is_sent_again_under_its_id() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s))
        first = await router.next()
        first.reply_value(b"v")
        await until(lambda: clients.pools[R]._idle)
        clients.send(planned(1, s.world.now()))
        unread = await router.next()
        unread.end()
        resent = await router.next()
        assert resent.flag == unread.flag and router.opened == 2
        resent.reply_value(b"v")
        await clients.wait_until_idle()


@scenario
async def test_truncated_duplicate_and_unreadable_answers_are_detected() -> None:
    async with stage() as s:
        router, clients = await client_of(s)
        results = {}
        for n, answer in enumerate((b"VA 5 %b\r\nab", b"VA 1 %b\r\na\r\nEN\r\n", b"what\r\n")):
            clients.send(planned(n, s.world.now(), "entry", own_connection=True))
            received = await router.next()
            received.reply(answer.replace(b"%b", received.flag))
            received.end()
            await clients.wait_until_idle()
            one = list(s.record.tries.values())[-1]
            await until(lambda one=one, n=n: len(one.answers) > (n == 1))
            results[n] = one.outcome, [given.kind for given in one.answers]
        assert results == {
            0: (Outcome.FAILED, ["cut-off"]),
            1: (Outcome.SERVED, ["VA", "EN"]),
            2: (Outcome.FAILED, ["unreadable"]),
        }


def test_the_load_balancer_keeps_to_the_zone_and_notices_a_dead_router_late() -> None:
    import random  # noqa: PLC0415

    balancer = LoadBalancer(1.0, {"r1": RouterState("a"), "r2": RouterState("b"), "r3": RouterState("b")})
    draws = random.Random(1)

    def chosen(zone: str, now: float) -> set[str]:
        return {balancer.choose(zone, now, draws) for _ in range(20)}

    assert (chosen("a", 0.0), chosen("b", 0.0)) == ({"r1"}, {"r2", "r3"})
    balancer.mark_dead("r1", 5.0)
    assert chosen("a", 5.9) == {"r1"}
    assert chosen("a", 6.1) == {"r2", "r3"}
    balancer.mark_ready("r1")
    assert chosen("a", 6.2) == {"r1"}
    balancer.hot["f"] = "r3", 0.5
    share = sum(balancer.choose("a", 7.0, draws) == "r3" for _ in range(2000)) / 2000
    assert share == pytest.approx(0.5, abs=0.05)


@scenario
async def test_a_request_that_is_unanswered_when_its_router_is_killed_is_not_sent_again() -> None:
    """Guards against a client that resends a lost request as if it had met a closing connection."""
    async with stage() as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s))
        (await router.next()).reply_value(b"v")
        await until(lambda: clients.pools[R]._idle)
        clients.send(planned(1, s.world.now()))
        lost_request = await router.next()
        await asyncio.sleep(2 * KIT_LATENESS_SECONDS)
        clients.router_killed(R)
        lost_request.reset()
        await clients.wait_until_idle()
        lost = next(one for one in s.record.tries.values() if one.request.encode() in lost_request.flag)
        assert lost.outcome is Outcome.CLOSED and lost.killed_at is not None
