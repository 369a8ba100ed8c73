"""How attempts and requests end whatever the module does, and what a router does that stood still."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.protocol.meta_codec import Command, parse_fields
from ironrail.net.system import RealSystem
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from ironrail.policy.endpoints import Endpoint, EndpointListKind
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    RequestReceived,
)
from ironrail.policy.router import Router
from ironrail.policy.settings import RequestClass

from tests.outcomes.bench import Bench, Script
from tests.peers import LOCAL, SETTINGS, Peer, scenario, until


@scenario
async def test_no_reply_is_a_timeout_when_the_router_stops_waiting() -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port)
    bench.take("1", wait=60)
    got = await peer.next()
    outcome = await script.outcome()
    assert (outcome.status, outcome.request_ended) == (AttemptStatus.TIMEOUT, False)
    assert bench.answers["1"] == [b"SERVER_ERROR failed\r\n"]
    got.reply_value(b"late")
    bench.take("2")
    (await peer.next()).reply_value(b"two")
    assert (await script.outcome()).request_id == "2"
    assert bench.answers["1"] == [b"SERVER_ERROR failed\r\n"]


class Timed(Script):
    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [
            SendAttempt(a.request_id, a.server, 0.05) if isinstance(a, SendAttempt) else a for a in actions
        ]


@scenario
async def test_an_attempt_has_a_time_of_its_own() -> None:
    peer = await Peer().start()
    script = Timed(SendAttempt("1", "s"))
    bench = Bench(script, peer.port)
    bench.take("1", request_class="read")  # one that may be sent again
    first = await peer.next()
    assert 0 < int(first.head.rpartition(b"d=")[2]) <= 50
    assert (await script.outcome()).attempt_number == 0
    second = await peer.next()
    second.reply_value(b"v")
    outcome = await script.outcome()
    assert (outcome.attempt_number, outcome.status, outcome.request_ended) == (1, AttemptStatus.OK, True)
    assert bench.answers["1"] == [b"VA 1 O1\r\nv\r\n"]


@scenario
async def test_what_is_done_for_an_answered_request_is_not_sent() -> None:
    peer = await Peer().start()
    script = Script(
        RejectRequest("1", 0.0123), FailRequest("1"), SendAttempt("1", "s"), CancelAttempt("1", 0)
    )
    bench = Bench(script, peer.port)
    bench.take("1")
    (await peer.next()).reply(b"EN O1\r\n")
    assert (await script.outcome()).status is AttemptStatus.MISS
    assert (await script.outcome()).status is AttemptStatus.NOT_SENT
    assert bench.answers["1"] == [b"SERVER_ERROR busy 13\r\n"]
    assert peer.messages.empty()


class Faulty(Script):
    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestReceived) and event.request_id == "bad":
            raise RuntimeError("a fault in the module")
        return super().handle(now, event)


@scenario
async def test_a_fault_in_the_module_loses_no_request(caplog: pytest.LogCaptureFixture) -> None:
    peer, script = await Peer().start(), Faulty()
    bench = Bench(script, peer.port)
    bench.take("1")
    bench.take("bad")
    assert bench.answers["bad"] == [b"SERVER_ERROR failed\r\n"]
    assert "a fault in the module" in caplog.text
    (await peer.next()).reply_value(b"v")
    await script.outcome()
    assert bench.answers["1"] == [b"VA 1 O1\r\nv\r\n"]


class Silent(Script):
    def handle(self, now: float, event: Event) -> list[Action]:
        super().handle(now, event)
        return []


@scenario
async def test_a_request_the_module_loses_sight_of_is_failed_at_its_deadline() -> None:
    script = Silent()
    bench = Bench(script, 9)
    bench.take("1", wait=30)
    while not isinstance(await script.told.get(), ClientDisconnected):
        pass
    assert bench.answers["1"] == [b"SERVER_ERROR failed\r\n"]


class Eager(Script):
    """Sends a request once more though it was served."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        served = isinstance(event, AttemptEnded) and event.status is AttemptStatus.OK
        return [SendAttempt(event.request_id, "s", attempt_number=1)] if served else actions  # type: ignore[union-attr]


@scenario
async def test_a_send_for_what_has_its_answer_is_settled_by_its_own_number() -> None:
    """It was told as attempt 0, so that the module counted attempt 1 as load for good."""
    peer, script = await Peer().start(), Eager()
    bench = Bench(script, peer.port)
    bench.take("1")
    (await peer.next()).reply(b"VA 1 O1 h1\r\nv\r\n")
    outcomes = [await script.outcome() for _ in "12"]
    assert [(o.attempt_number, o.status, o.request_ended) for o in outcomes] == [
        (0, AttemptStatus.OK, True),
        (1, AttemptStatus.NOT_SENT, True),
    ]


@scenario
async def test_a_router_that_stood_still_sends_nothing_before_the_list_and_refuses_what_can_t_wait() -> None:
    asked: list[str] = []
    now = [time.monotonic()]
    system = RealSystem()
    system.now = lambda: now[0]
    router = Router(replace(SETTINGS, classes={"once": RequestClass("once", 5.0)}), 1, now[0])
    answers: list[bytes] = []
    peer = await Peer().start()

    def make(entry: Endpoint, address: tuple[str, int]) -> ConnectionPool:
        return ConnectionPool(
            entry.name,
            address,
            CacheConnection,
            most=2,
            streams=9,
            connect_timeout=1.0,
            idle=60.0,
            system=system,
        )

    host = RequestDispatcher(router, make, lambda: None, 8, system, lambda: asked.append("list"))
    news = EndpointListUpdate(EndpointListKind.FULL, (Endpoint("s"),))
    host.servers(news, {"s": (LOCAL, peer.port)})
    now[0] += 2.0  # as after SIGSTOP
    for name, wait in (("1", 20), ("2", 5000)):
        info = b"c=once,t=x,d=%d" % wait
        command = Command(b"k", name.encode(), info, parse_fields(info), None)
        host.take(command, answers.append)
    assert asked == ["list"]
    await until(lambda: answers)
    assert answers[0].startswith(b"SERVER_ERROR busy") and not peer.opened
    host.servers(news, {"s": (LOCAL, peer.port)})
    (await peer.next()).reply(b"VA 1 O2 h1\r\nv\r\n")
    await until(lambda: len(answers) == 2)
    assert answers[1].startswith(b"VA 1 O2")
