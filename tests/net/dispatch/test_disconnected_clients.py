"""Attempts of requests that have ended: unsent ones are never sent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from ironrail.connections.downstream import client_session
from ironrail.net.protocol.meta_codec import MAX_BUFFERED_VALUE_BYTES
from ironrail.net.system import REAL
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection_pool import Attempt
from ironrail.policy.actions import Action, FailRequest, SendAttempt
from ironrail.policy.events import AttemptEnded, AttemptStatus, ClientDisconnected, Event
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy, events_of
from tests.peers import LOCAL, Peer, World, scenario, until


@dataclass
class Client:
    """The stream of a client whose disconnect is not reported."""

    client_region: None = None
    arrived_at: float | None = None
    gone: bool = False
    just_read: bool = False  # the end of the connection has arrived, but is unread
    cuts: int = 0

    def has_disconnected(self, waited: bool) -> bool:
        return self.gone and (waited or not self.just_read)

    def reserve(self, size: int) -> bool:
        return True

    def start(self, head: bytes, set_paused: Callable[[bool], None]) -> None:
        raise AssertionError

    def write(self, data: bytes) -> None:
        raise AssertionError

    def finish(self) -> None:
        raise AssertionError

    def break_off(self) -> None:
        raise AssertionError

    def abort(self) -> None:
        self.cuts += 1


class Answering(ScriptedPolicy):
    """Rejects the second request when the third one arrives, and cancels nothing."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [FailRequest("2"), *actions] if getattr(event, "request_id", "") == "3" else actions


@pytest.mark.parametrize("how", ["left", "answered"])
@scenario
async def test_an_attempt_that_waits_for_a_connection_is_withdrawn_when_its_request_ends(how: str) -> None:
    peer, policy = await Peer().start(), Answering()
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", b"v")
    first = await peer.next()
    harness.take("2", b"v")  # a write, which waits for the connection
    if how == "left":
        harness.host.on_client_disconnected("2")
    harness.take("3", b"v")
    first.reply(b"HD O1 cr\r\n")
    assert (await peer.next()).flag == b"O3"
    ends = [e for e in events_of(policy, "2") if isinstance(e, AttemptEnded)]
    assert [(e.status, e.request_ended) for e in ends] == [(AttemptStatus.NOT_SENT, True)]
    assert not [entry for entry in harness.host.attempts if entry.attempt.request_id == "2"]


@scenario
async def test_an_attempt_that_waits_for_a_connect_is_not_sent_after_its_client_disconnected() -> None:
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1")
    harness.host.on_client_disconnected("1")
    await until(lambda: peer.opened)
    harness.take("2")
    assert (await peer.next()).flag == b"O2"
    assert peer.opened == 1  # the connection that came up late is used, and counted once
    assert len(harness.host.pools["s"].manager.state) == 1


@scenario
async def test_a_client_that_disconnected_unnoticed_has_nothing_sent_on_a_released_connection() -> None:
    peer, policy, client = await Peer().start(), ScriptedPolicy(), Client()
    ends: list[Event] = []
    harness = DispatchHarness(policy, peer.port, most=1)
    harness.take("1", b"v")
    first = await peer.next()
    harness.take("2", b"v", stream=client)
    client.gone = True
    first.reply(b"HD O1 cr\r\n")
    while getattr(end := await policy.received.get(), "request_id", "") != "1" or not isinstance(
        end, AttemptEnded
    ):
        ends.append(end)
    assert [type(e) for e in ends].count(ClientDisconnected) == 1
    assert [e.status for e in ends if isinstance(e, AttemptEnded)] == [AttemptStatus.NOT_SENT]
    harness.take("3", b"v")
    assert (await peer.next()).flag == b"O3"
    harness.host.on_client_disconnected("2")  # as at the end of its connection
    assert client.cuts == 1 and not events_of(policy, "2")


@scenario
async def test_a_client_that_disconnected_unnoticed_has_nothing_sent_by_the_policy() -> None:
    peer, policy, client = await Peer().start(), ScriptedPolicy(), Client(gone=True)
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", stream=client)
    events = events_of(policy, "1")
    assert {type(e) for e in events} == {ClientDisconnected, AttemptEnded}
    harness.take("2")
    assert (await peer.next()).flag == b"O2"
    assert client.cuts == 1 and harness.answers["1"] == []


@scenario
async def test_a_retry_checks_for_an_unread_disconnect_of_its_client() -> None:
    """A busy event loop reads a reply before the close that arrived earlier."""
    client = Client(just_read=True)
    peer, policy = await Peer().start(), ScriptedPolicy(SendAttempt("1", "s", attempt_number=1))
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", stream=client)
    got = await peer.next()
    client.gone = True
    got.reply(b"EN O1\r\n")
    await until(lambda: client.cuts)
    assert not harness.host.requests.by_id and not harness.host.attempts
    harness.take("2")
    assert (await peer.next()).flag == b"O2" and peer.messages.empty()


@scenario
async def test_a_client_that_disconnects_while_it_is_not_read_has_no_more_forwarded() -> None:
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    many = client_session.MAX_PIPELINED_COMMANDS + 8
    client.send(b"".join(b"ms k 1 O%d Pc=once,t=x,d=5000\r\nv\r\n" % n for n in range(many)))
    await until(lambda: len(world.node._client_listener.sessions))
    (session,) = world.node._client_listener.sessions
    requests = world.node._dispatcher.requests.by_id
    await until(lambda: len(requests) == client_session.MAX_PIPELINED_COMMANDS and not session.is_reading)
    sent = [await world.origin.next()]
    origin = world.node._dispatcher.driver.router.servers["o"]
    await until(lambda: len(sent) + world.origin.messages.qsize() == origin.in_flight)
    out = origin.in_flight
    assert len(world.node._dispatcher.requests.by_id) == client_session.MAX_PIPELINED_COMMANDS > out
    (connection,) = world.node._client_listener.open_connections()
    client.writer.write_eof()
    await until(connection.has_left, False)
    for _ in range(out):
        (sent.pop() if sent else await world.origin.next()).respond(b"r")
    await until(lambda: not world.node._dispatcher.requests.by_id and not origin.in_flight)
    assert world.origin.messages.empty()
    assert not world.node._dispatcher.attempts and not world.node._dispatcher.driver.router.attempts_in_flight
    assert origin.consecutive_losses == 0


class Padded(CacheConnection):
    """Writes more than fits into the kernel's buffers."""

    def encode(self, attempt: Attempt) -> list[bytes]:
        return [*super().encode(attempt), b"x" * 8 * 1024**2]


@scenario
async def test_an_attempt_written_in_part_is_not_completed_after_its_client_disconnected() -> None:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((LOCAL, 0))
        listener.listen()
        listener.setblocking(False)
        policy = ScriptedPolicy()
        harness = DispatchHarness(policy, listener.getsockname()[1], Padded, most=1)
        loop = asyncio.get_running_loop()
        harness.take("1", b"v")
        connection, _ = await loop.sock_accept(listener)
        with connection:
            connection.setblocking(False)
            got = len(await loop.sock_recv(connection, 1024))
            harness.host.on_client_disconnected("1")
            outcome = await policy.outcome()
            assert (outcome.status, outcome.request_ended) == (AttemptStatus.NOT_SENT, True)
            try:
                while data := await loop.sock_recv(connection, 1024**2):
                    got += len(data)
            except ConnectionError:
                pass
            assert got < 8 * 1024**2
        assert not len(harness.host.pools["s"].manager.state)


@scenario
async def test_no_other_attempt_is_sent_once_a_long_value_is_streamed() -> None:
    """A hedged attempt that waits for a connection is withdrawn, even if cancelling is not allowed."""
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    host = world.node._dispatcher
    held = host.requests.by_id["1"]
    pool = host.pools["o"]
    late = Attempt("1", 1, REAL.now(), held.deadline, held.command, host.sender._on_outcome)
    held.attempts.append(late)
    host.attempts.add(late, pool)
    pool.send(late)  # opens a connection
    value = b"x" * (MAX_BUFFERED_VALUE_BYTES + 1)
    got.reply(b"VA %d O1 h1\r\n" % len(value))
    await until(lambda: held.streamed_attempt)
    assert not late.is_open and late.connection is None
    got.reply(value + b"\r\n")
    assert await client.value("1") == value
    await until(lambda: world.origin.opened)
    client.get("2")
    assert (await world.cache.next()).flag == b"O2"
    assert world.origin.messages.empty()
