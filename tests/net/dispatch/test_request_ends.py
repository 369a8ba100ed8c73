"""How attempts and requests end whatever the policy does, and after a stall of the process."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from ironrail.connections.upstream.pool_settings import PoolSettings
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
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy
from tests.peers import LOCAL, SETTINGS, Peer, scenario, until


@scenario
async def test_an_attempt_without_a_reply_times_out_at_the_deadline() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", wait=60)
    got = await peer.next()
    outcome = await policy.outcome()
    assert (outcome.status, outcome.request_ended) == (AttemptStatus.TIMEOUT, False)
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]
    got.reply_value(b"late")
    harness.take("2")
    (await peer.next()).reply_value(b"two")
    assert (await policy.outcome()).request_id == "2"
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]


class Timed(ScriptedPolicy):
    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [
            SendAttempt(a.request_id, a.server, 0.05) if isinstance(a, SendAttempt) else a for a in actions
        ]


@scenario
async def test_an_attempt_has_its_own_timeout() -> None:
    peer = await Peer().start()
    policy = Timed(SendAttempt("1", "s"))
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", request_class="read")  # a class whose requests may be retried
    first = await peer.next()
    assert 0 < int(first.head.rpartition(b"d=")[2]) <= 50
    assert (await policy.outcome()).attempt_number == 0
    second = await peer.next()
    second.reply_value(b"v")
    outcome = await policy.outcome()
    assert (outcome.attempt_number, outcome.status, outcome.request_ended) == (1, AttemptStatus.OK, True)
    assert harness.answers["1"] == [b"VA 1 O1\r\nv\r\n"]


@scenario
async def test_an_attempt_for_a_completed_request_is_not_sent() -> None:
    peer = await Peer().start()
    policy = ScriptedPolicy(
        RejectRequest("1", 0.0123), FailRequest("1"), SendAttempt("1", "s"), CancelAttempt("1", 0)
    )
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    (await peer.next()).reply(b"EN O1\r\n")
    assert (await policy.outcome()).status is AttemptStatus.MISS
    assert (await policy.outcome()).status is AttemptStatus.NOT_SENT
    assert harness.answers["1"] == [b"SERVER_ERROR busy 13\r\n"]
    assert peer.messages.empty()


class Faulty(ScriptedPolicy):
    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestReceived) and event.request_id == "bad":
            raise RuntimeError("a fault in the module")
        return super().handle(now, event)


@scenario
async def test_an_exception_in_the_policy_loses_no_request(caplog: pytest.LogCaptureFixture) -> None:
    peer, policy = await Peer().start(), Faulty()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    harness.take("bad")
    assert harness.answers["bad"] == [b"SERVER_ERROR failed\r\n"]
    assert "a fault in the module" in caplog.text
    (await peer.next()).reply_value(b"v")
    await policy.outcome()
    assert harness.answers["1"] == [b"VA 1 O1\r\nv\r\n"]


class Silent(ScriptedPolicy):
    def handle(self, now: float, event: Event) -> list[Action]:
        super().handle(now, event)
        return []


@scenario
async def test_a_request_dropped_by_the_policy_fails_at_its_deadline() -> None:
    policy = Silent()
    harness = DispatchHarness(policy, 9)
    harness.take("1", wait=30)
    while not isinstance(await policy.received.get(), ClientDisconnected):
        pass
    assert harness.answers["1"] == [b"SERVER_ERROR failed\r\n"]


class Eager(ScriptedPolicy):
    """Retries a request although it was served."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        served = isinstance(event, AttemptEnded) and event.status is AttemptStatus.OK
        return [SendAttempt(event.request_id, "s", attempt_number=1)] if served else actions  # type: ignore[union-attr]


@scenario
async def test_an_attempt_for_a_completed_request_ends_with_its_own_number() -> None:
    """If its outcome were reported for attempt 0, attempt 1 would count as load forever."""
    peer, policy = await Peer().start(), Eager()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    (await peer.next()).reply(b"VA 1 O1 h1\r\nv\r\n")
    outcomes = [await policy.outcome() for _ in "12"]
    assert [(o.attempt_number, o.status, o.request_ended) for o in outcomes] == [
        (0, AttemptStatus.OK, True),
        (1, AttemptStatus.NOT_SENT, True),
    ]


@scenario
async def test_after_a_stall_nothing_is_sent_before_the_endpoint_list_and_expired_requests_are_rejected() -> (
    None
):
    asked: list[str] = []
    now = [time.monotonic()]
    system = RealSystem()
    system.now = lambda: now[0]
    router = Router(replace(SETTINGS, classes={"once": RequestClass("once", 5.0)}), 1, now[0])
    answers: list[bytes] = []
    peer = await Peer().start()

    def make(entry: Endpoint, address: tuple[str, int]) -> ConnectionPool:
        return ConnectionPool(
            entry.name, address, CacheConnection, PoolSettings(2, 9, 60.0), connect_timeout=1.0, system=system
        )

    host = RequestDispatcher(router, make, lambda: None, 8, system, lambda: asked.append("list"))
    news = EndpointListUpdate(EndpointListKind.FULL, (Endpoint("s"),))
    host.update_endpoints(news, {"s": (LOCAL, peer.port)})
    now[0] += 2.0  # as after SIGSTOP
    for name, wait in (("1", 20), ("2", 5000)):
        info = b"c=once,t=x,d=%d" % wait
        command = Command(b"k", name.encode(), info, parse_fields(info), None)
        host.accept(command, answers.append)
    assert asked == ["list"]
    await until(lambda: answers)
    assert answers[0].startswith(b"SERVER_ERROR busy") and not peer.opened
    host.update_endpoints(news, {"s": (LOCAL, peer.port)})
    (await peer.next()).reply(b"VA 1 O2 h1\r\nv\r\n")
    await until(lambda: len(answers) == 2)
    assert answers[1].startswith(b"VA 1 O2")
