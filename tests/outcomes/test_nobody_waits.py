"""Attempts of requests that are over: what is unsent never is sent."""

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

from tests.outcomes.bench import Bench, Script, told
from tests.peers import LOCAL, Peer, World, scenario, until


@dataclass
class Client:
    """The passage of a client that nobody is told of."""

    reader: None = None
    arrived_at: float | None = None
    gone: bool = False
    just_read: bool = False  # its end is there, and not read yet
    cuts: int = 0

    def left(self, waited: bool) -> bool:
        return self.gone and (waited or not self.just_read)

    def begin(self, head: bytes, hold: Callable[[bool], None]) -> None:
        raise AssertionError

    def more(self, data: bytes) -> None:
        raise AssertionError

    def finish(self) -> None:
        raise AssertionError

    def cut(self) -> None:
        self.cuts += 1


class Answering(Script):
    """Answers the second request as the third one comes, as another copy might, and cancels nothing."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        return [FailRequest("2"), *actions] if getattr(event, "request_id", "") == "3" else actions


@pytest.mark.parametrize("how", ["left", "answered"])
@scenario
async def test_what_waits_for_a_connection_when_its_request_ends_is_taken_back(how: str) -> None:
    peer, script = await Peer().start(), Answering()
    bench = Bench(script, peer.port, most=1)
    bench.take("1", b"v")
    first = await peer.next()
    bench.take("2", b"v")  # a write: it waits for the connection
    if how == "left":
        bench.host.gone("2")
    bench.take("3", b"v")
    first.reply(b"HD O1 cr\r\n")
    assert (await peer.next()).flag == b"O3"
    ends = [e for e in told(script, "2") if isinstance(e, AttemptEnded)]
    assert [(e.status, e.request_ended) for e in ends] == [(AttemptStatus.NOT_SENT, True)]
    assert not [key for key in bench.host._open if key[0] == "2"]


@scenario
async def test_what_waits_for_a_dial_when_its_client_leaves_is_not_sent_on_it() -> None:
    peer, script = await Peer().start(), Script()
    bench = Bench(script, peer.port)
    bench.take("1")
    bench.host.gone("1")
    await until(lambda: peer.opened)
    bench.take("2")
    assert (await peer.next()).flag == b"O2"
    assert peer.opened == 1  # the connection that came up late is used, and counted once
    assert len(bench.host._pools["s"].upstream) == 1


@scenario
async def test_a_client_that_left_untold_has_nothing_begun_by_a_connection_that_falls_free() -> None:
    peer, script, client = await Peer().start(), Script(), Client()
    ends: list[Event] = []
    bench = Bench(script, peer.port, most=1)
    bench.take("1", b"v")
    first = await peer.next()
    bench.take("2", b"v", passage=client)
    client.gone = True
    first.reply(b"HD O1 cr\r\n")
    while getattr(end := await script.told.get(), "request_id", "") != "1" or not isinstance(
        end, AttemptEnded
    ):
        ends.append(end)
    assert [type(e) for e in ends].count(ClientDisconnected) == 1
    assert [e.status for e in ends if isinstance(e, AttemptEnded)] == [AttemptStatus.NOT_SENT]
    bench.take("3", b"v")
    assert (await peer.next()).flag == b"O3"
    bench.host.gone("2")  # as its connection ends
    assert client.cuts == 1 and not told(script, "2")


@scenario
async def test_a_client_that_left_untold_has_nothing_begun_by_a_decision() -> None:
    peer, script, client = await Peer().start(), Script(), Client(gone=True)
    bench = Bench(script, peer.port)
    bench.take("1", passage=client)
    events = told(script, "1")
    assert {type(e) for e in events} == {ClientDisconnected, AttemptEnded}
    bench.take("2")
    assert (await peer.next()).flag == b"O2"
    assert client.cuts == 1 and bench.answers["1"] == []


@scenario
async def test_a_further_attempt_asks_whether_the_end_of_its_client_is_there_unread() -> None:
    """A busy loop reads a reply before the close that came first."""
    client = Client(just_read=True)
    peer, script = await Peer().start(), Script(SendAttempt("1", "s", attempt_number=1))
    bench = Bench(script, peer.port)
    bench.take("1", passage=client)
    got = await peer.next()
    client.gone = True
    got.reply(b"EN O1\r\n")
    await until(lambda: client.cuts)
    assert not bench.host._held and not bench.host._open
    bench.take("2")
    assert (await peer.next()).flag == b"O2" and peer.messages.empty()


@scenario
async def test_a_client_that_ends_while_nothing_is_read_from_it_has_no_more_sent_on() -> None:
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    many = client_session.MAX_PIPELINED_COMMANDS + 8
    client.send(b"".join(b"ms k 1 O%d Pc=once,t=x,d=5000\r\nv\r\n" % n for n in range(many)))
    await until(lambda: len(world.node._clients.sessions))
    (session,) = world.node._clients.sessions
    await until(lambda: not session.is_reading)
    sent = [await world.origin.next()]
    origin = world.node._host._router.servers["o"]
    await until(lambda: len(sent) + world.origin.messages.qsize() == origin.in_flight)
    out = origin.in_flight
    assert len(world.node._host._held) == client_session.MAX_PIPELINED_COMMANDS > out
    (connection,) = world.node._clients.open_connections()
    client.writer.write_eof()
    await until(connection.has_left, False)
    for _ in range(out):
        (sent.pop() if sent else await world.origin.next()).respond(b"r")
    await until(lambda: not world.node._host._held and not origin.in_flight)
    assert world.origin.messages.empty()
    assert not world.node._host._open and not world.node._host._router.attempts_in_flight
    assert origin.consecutive_losses == 0


class Padded(CacheConnection):
    """Writes more than fits into the system's buffers."""

    def encode(self, attempt: Attempt) -> list[bytes]:
        return [*super().encode(attempt), b"x" * 8 * 1024**2]


@scenario
async def test_what_is_half_written_when_its_client_leaves_never_becomes_whole() -> None:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((LOCAL, 0))
        listener.listen()
        listener.setblocking(False)
        script = Script()
        bench = Bench(script, listener.getsockname()[1], Padded, most=1)
        loop = asyncio.get_running_loop()
        bench.take("1", b"v")
        connection, _ = await loop.sock_accept(listener)
        with connection:
            connection.setblocking(False)
            got = len(await loop.sock_recv(connection, 1024))
            bench.host.gone("1")
            outcome = await script.outcome()
            assert (outcome.status, outcome.request_ended) == (AttemptStatus.NOT_SENT, True)
            try:
                while data := await loop.sock_recv(connection, 1024**2):
                    got += len(data)
            except ConnectionError:
                pass
            assert got < 8 * 1024**2
        assert not len(bench.host._pools["s"].upstream)


@scenario
async def test_nothing_else_is_sent_once_a_long_value_has_begun() -> None:
    """The further copy that waits for a connection is taken back, though it may not be cancelled."""
    world = await World(cancellation_allowed=False).start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    host = world.node._host
    held = host._held["1"]
    pool = host._pools["o"]
    late = Attempt("1", 1, REAL.now(), held.deadline, held.command, host._on_outcome)
    held.attempts.append(late)
    host._open["1", 1] = late, pool
    pool.send(late)  # dials
    value = b"x" * (MAX_BUFFERED_VALUE_BYTES + 1)
    got.reply(b"VA %d O1 h1\r\n" % len(value))
    await until(lambda: held.streaming)
    assert not late.open and late.link is None
    got.reply(value + b"\r\n")
    assert await client.value("1") == value
    await until(lambda: world.origin.opened)
    client.get("2")
    assert (await world.cache.next()).flag == b"O2"
    assert world.origin.messages.empty()
