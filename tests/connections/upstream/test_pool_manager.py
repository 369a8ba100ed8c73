"""Decisions about the connections to one server, without sockets."""

from __future__ import annotations

import pytest

from ironrail.connections.upstream.pool_manager import STREAM_TIMEOUT_SECONDS
from ironrail.policy.events import AttemptStatus
from tests.connections.upstream.pool_host import PoolHost


def test_the_most_recently_used_connection_is_reused() -> None:
    host = PoolHost(max_connections=3)
    for _ in range(3):
        host.send()
    connections = [host.connect() for _ in range(3)]
    for n, connection in enumerate((connections[1], connections[0], connections[2])):
        host.now = n / 10
        host.read(connection, AttemptStatus.OK)
    assert host.written[host.send()] is connections[2]
    assert host.written[host.send()] is connections[0]


def test_at_the_limit_an_attempt_queues_on_the_least_loaded_connection() -> None:
    host = PoolHost(max_connections=2)
    attempts = [host.send() for _ in range(2)]
    connections = [host.connect(), host.connect()]
    more = [host.send() for _ in range(4)]
    assert [host.written[a] for a in more] == [connections[0], connections[1], connections[0], connections[1]]
    host.read(connections[1], AttemptStatus.OK, AttemptStatus.MISS)
    assert host.status(attempts[1], more[1]) == [AttemptStatus.OK, AttemptStatus.MISS]
    assert host.written[host.send()] is connections[1]


def test_attempts_behind_a_paused_stream_are_cancelled() -> None:
    host = PoolHost(max_connections=1)
    first, second = host.send(), host.send()
    connection = host.connect()
    host.carry_out(host.manager.on_stream_started(host.now, connection, 100_000))
    assert host.status(first, second) == [None, None]
    host.carry_out(host.manager.on_client_paused(host.now, connection, True))
    assert host.status(first, second) == [None, AttemptStatus.CANCELLED]
    host.now += 60.0
    host.carry_out(host.manager.expire(host.now))  # the client is paused, so the server is not at fault
    host.carry_out(host.manager.on_client_paused(host.now, connection, False))
    host.read(connection, AttemptStatus.OK)
    assert host.status(first) == [AttemptStatus.OK]
    host.now += STREAM_TIMEOUT_SECONDS + 1.0
    host.read(connection, is_partial=True)
    assert connection in host.connections


def test_a_stalled_or_abandoned_stream_is_aborted() -> None:
    host = PoolHost(max_connections=1)
    first = host.send()
    connection = host.connect()
    host.carry_out(host.manager.on_stream_started(host.now, connection, 100_000))
    host.now += STREAM_TIMEOUT_SECONDS
    host.carry_out(host.manager.expire(host.now))
    assert host.status(first) == [AttemptStatus.ERROR] and connection not in host.connections
    second = host.send()
    connection = host.connect()
    host.abandon(second, AttemptStatus.CANCELLED)
    host.carry_out(host.manager.on_stream_started(host.now, connection, 100_000))
    assert connection not in host.connections


def test_an_abandoned_attempt_with_unsent_bytes_never_ran_and_is_dropped() -> None:
    host = PoolHost(max_connections=1)
    write = host.send(is_exclusive=True)
    connection = host.connect()
    connection.has_unsent_bytes = True
    host.abandon(write)
    assert host.status(write) == [AttemptStatus.CONNECT_FAILED] and connection not in host.connections


def test_a_pool_without_pipelining_rejects_attempts_over_its_limit() -> None:
    host = PoolHost(max_connections=1, max_streams=1)
    host.send()
    host.connect()
    assert host.status(host.send()) == [AttemptStatus.BUSY]


def test_after_a_broken_reply_only_the_oldest_attempt_has_an_error() -> None:
    host = PoolHost(max_connections=1)
    oldest = host.send()
    connection = host.connect()
    behind = [host.send() for _ in range(5)]
    host.now = 0.01
    host.read(connection, is_partial=True)
    host.read(connection, fault=ValueError("noise"))
    assert host.status(oldest, *behind) == [AttemptStatus.ERROR] + [AttemptStatus.CANCELLED] * 5
    assert connection in host.closing


def test_an_attempt_with_unsent_bytes_never_ran() -> None:
    host = PoolHost(max_connections=1)
    first = host.send()
    connection = host.connect()
    second = host.send()
    connection.has_unsent_bytes = True
    host.close(connection)
    assert host.status(first, second) == [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED]


def test_no_attempt_queues_behind_a_cancelled_one() -> None:
    host = PoolHost(max_connections=1)
    gone = host.send()
    connection = host.connect()
    host.abandon(gone, AttemptStatus.CANCELLED)
    kept = host.send()
    assert (
        kept not in host.written or host.written[kept] is not connection
    )  # never behind an abandoned attempt
    assert host.status(gone) == [AttemptStatus.CANCELLED]
    host.connect()
    host.read(host.written[kept], AttemptStatus.OK)
    assert host.status(kept) == [AttemptStatus.OK]


def test_draining_leaves_attempts_in_flight_and_fails_waiting_ones() -> None:
    host = PoolHost(max_connections=1)
    written = host.send()
    connection = host.connect()
    behind = host.send()
    host.carry_out(host.manager.stop(host.now))
    late = host.send()
    assert host.status(late) == [AttemptStatus.CONNECT_FAILED]
    host.read(connection, AttemptStatus.OK, AttemptStatus.OK)
    assert host.status(written, behind) == [AttemptStatus.OK, AttemptStatus.OK]
    assert connection in host.closing


def test_draining_during_a_connect_sends_nothing() -> None:
    host = PoolHost(max_connections=1)
    waiting = host.send()
    host.carry_out(host.manager.stop(host.now))
    assert host.status(waiting) == [AttemptStatus.CONNECT_FAILED]
    connection = host.connect()
    assert connection in host.closing


def test_a_hanging_connect_delays_no_attempt_while_another_succeeds() -> None:
    host = PoolHost(max_connections=2)
    first, second = host.send(), host.send()
    host.connecting.reverse()
    connection = host.connect()  # the second connect; the first one hangs
    assert host.written[first] is connection and second not in host.written
    host.read(connection, AttemptStatus.OK)
    assert host.written[second] is connection
    host.fail_connect()
    assert host.status(first, second) == [AttemptStatus.OK, None]


@pytest.mark.parametrize(("idle_for", "reused"), [(5.9, True), (6.1, False)])  # three quarters of 8 s
def test_a_connection_near_its_idle_timeout_is_not_reused(idle_for: float, reused: bool) -> None:
    host = PoolHost(max_connections=1)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)
    host.now += idle_for
    attempt = host.send()
    assert (attempt in host.written) is reused
    assert (connection in host.closing) is not reused


def test_the_idle_timeout_shortens_after_a_break_and_recovers() -> None:
    host = PoolHost(max_connections=1)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)
    host.now += 4.0
    host.send()
    host.close(connection)
    assert host.manager.idle_timeout.seconds == 2.0
    for _ in range(60):
        host.carry_out(host.manager.expire(host.now))
    assert host.manager.idle_timeout.seconds == 6.0


def test_a_duplicate_reply_closes_the_connection_and_does_not_answer_the_next_request() -> None:
    host = PoolHost(max_connections=2)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)
    host.with_unread_bytes.add(connection)
    attempt = host.send()
    assert connection in host.closing
    assert (
        host.written[attempt] is host.connect()
        if attempt in host.written
        else host.connect() is not connection
    )
    assert host.written[attempt] is not connection


def test_an_attempt_abandoned_while_waiting_never_ran() -> None:
    host = PoolHost()
    dialling = host.send()
    host.abandon(dialling, AttemptStatus.CANCELLED)
    assert host.status(dialling) == [AttemptStatus.CONNECT_FAILED]
    connection = host.connect()
    write = host.send(is_exclusive=True)
    assert host.written == {write: connection}  # the connection is used when it is established


def test_a_withdrawn_attempt_leaves_earlier_ones_and_its_connection() -> None:
    host = PoolHost(max_connections=1)
    first = host.send(is_exclusive=True)
    host.connect()
    second, third = host.send(is_exclusive=True), host.send(is_exclusive=True)
    for _ in "12":  # a written attempt can't be withdrawn, nor one a second time
        host.carry_out(host.manager.withdraw(host.now, second))
        host.carry_out(host.manager.withdraw(host.now, first))
    assert host.status(first, second, third) == [
        None,
        AttemptStatus.NOT_SENT,
        AttemptStatus.CANCELLED_BEFORE_SEND,
    ]
    host.read(host.connections[0], AttemptStatus.OK)
    assert host.status(first) == [AttemptStatus.OK] and list(host.written) == [first]
