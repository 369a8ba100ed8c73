"""Whether an attempt queues on a busy connection, gets a new one, or waits for one."""

from __future__ import annotations

import itertools

from ironrail.connections.upstream.connection import ReplyState
from ironrail.connections.upstream.connection_opener import (
    BREAK_COOLDOWN_SECONDS,
    CONNECTION_COST_SECONDS,
    MAX_FULL_BACKOFF_SECONDS,
    MIN_FULL_BACKOFF_SECONDS,
)
from ironrail.connections.upstream.stream_scheduler import OVERTAKEN_FRACTION
from ironrail.policy.events import AttemptStatus
from tests.connections.upstream.pool_host import PoolHost


def test_attempts_queue_until_the_time_lost_equals_the_cost_of_a_connection() -> None:
    host = PoolHost(max_connections=8)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)  # includes the handshake, so it is no sample of the reply time
    took = CONNECTION_COST_SECONDS / 2
    host.send()
    host.now += took
    host.read(connection, AttemptStatus.OK)
    host.send()
    for behind in (1, 2):  # half a reply time for each attempt ahead: a quarter of the cost, then a half
        assert host.written[host.send()] is connection, behind
    assert not host.connecting
    host.send()  # three quarters more would exceed the cost
    assert len(host.connecting) == 1


def test_attempts_do_not_queue_behind_slow_replies_below_the_limit() -> None:
    host = PoolHost(max_connections=3)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)
    host.send()
    host.now += 0.1
    host.read(connection, AttemptStatus.OK)
    for _ in range(3):
        host.send()
    assert len(host.connecting) == 2


def test_after_a_break_attempts_do_not_queue_below_the_limit() -> None:
    host = PoolHost(max_connections=4)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.OK)
    host.send()
    host.now += 0.001
    host.read(connection, AttemptStatus.OK)
    host.send()
    assert host.written[host.send()] is connection  # quick replies: cheaper than a connection
    host.close(connection)
    host.send()
    again = host.connect()
    host.read(again, AttemptStatus.OK)
    host.send()
    host.send()
    assert len(host.connecting) == 1
    host.now += BREAK_COOLDOWN_SECONDS
    assert host.written[host.send()] is again


def test_no_attempt_queues_on_an_overtaken_connection_until_it_is_read_again() -> None:
    host = PoolHost(max_connections=2)
    slow = host.send(timeout=1.0)
    connection = host.connect()
    host.now += OVERTAKEN_FRACTION + 0.01
    host.send()
    other = host.connect()
    host.read(other, AttemptStatus.OK)
    assert host.status(slow) == [None]  # slow, but not lost
    behind = [host.send() for _ in range(3)]
    assert all(host.written[attempt] is other for attempt in behind)
    host.read(connection, AttemptStatus.OK)
    assert host.status(slow) == [AttemptStatus.OK]
    assert host.written[host.send()] is connection


def test_an_exclusive_attempt_shares_no_connection() -> None:
    host = PoolHost(max_connections=1)
    read = host.send()
    connection = host.connect()
    write = host.send(is_exclusive=True)
    assert write not in host.written and not host.connecting
    host.read(connection, AttemptStatus.OK)
    assert host.written[write] is connection
    behind = host.send()
    assert host.status(read, write, behind) == [AttemptStatus.OK, None, AttemptStatus.CANCELLED_BEFORE_SEND]
    host.read(connection, AttemptStatus.OK)
    assert host.status(write) == [AttemptStatus.OK]


def test_queued_reads_do_not_starve_a_write() -> None:
    host = PoolHost(max_connections=2)
    for _ in range(4):
        host.send()
    first, second = host.connect(), host.connect()
    write = host.send(is_exclusive=True)
    kept = min((first, second), key=lambda connection: len(connection.in_flight))
    for _ in range(4):
        host.send()
    assert all(attempt.connection is not kept for attempt in host.attempts[5:])
    host.read(kept, *[AttemptStatus.OK] * len(kept.in_flight))
    assert host.written[write] is kept


def test_a_waiting_write_survives_the_end_of_the_last_connection() -> None:
    host = PoolHost(max_connections=1)
    host.send()
    connection = host.connect()
    write = host.send(is_exclusive=True)
    host.close(connection)
    new = host.connect()
    assert host.written[write] is new


def test_a_write_that_got_no_connection_never_ran() -> None:
    host = PoolHost(max_connections=1)
    host.send()
    host.connect()
    write = host.send(is_exclusive=True)
    host.abandon(write)
    assert host.status(write) == [AttemptStatus.CANCELLED_BEFORE_SEND]


def test_a_connection_rejected_at_its_first_reply_is_over_the_server_s_limit() -> None:
    host = PoolHost(max_connections=8)
    host.send()
    connection = host.connect()
    host.send()
    other = host.connect()
    host.read(other, AttemptStatus.BUSY)
    assert other in host.closing
    assert host.written[host.send()] is connection  # it queues, because the server's capacity is used up
    assert not host.connecting
    host.now += MIN_FULL_BACKOFF_SECONDS
    host.send()
    assert len(host.connecting) == 1


def test_the_backoff_of_a_full_server_grows_until_a_connection_is_served() -> None:
    host = PoolHost(max_connections=8)
    host.send()
    connection = host.connect()
    ended = [0.0]
    for _ in range(9):
        while not host.connecting:
            host.now += 0.05
            host.read(connection, *[AttemptStatus.OK] * len(connection.in_flight))
            host.send()
            host.send()  # queues, or needs a connection of its own
        host.now += 0.05
        host.read(connection, *[AttemptStatus.OK] * len(connection.in_flight))  # it works
        host.fail_connect()
        ended.append(host.now)
    pauses = [after - before for before, after in itertools.pairwise(ended[1:])]
    assert all(later > 1.5 * sooner for sooner, later in itertools.pairwise(pauses[:6]))
    assert MAX_FULL_BACKOFF_SECONDS < pauses[-1] < MAX_FULL_BACKOFF_SECONDS + 0.3


def test_a_busy_first_reply_keeps_the_only_connection() -> None:
    host = PoolHost(max_connections=8)
    host.send()
    connection = host.connect()
    host.read(connection, AttemptStatus.BUSY)
    assert connection in host.connections


def test_a_refused_connect_beside_a_working_connection_queues_the_waiting_attempts() -> None:
    host = PoolHost(max_connections=8)
    host.send()
    connection = host.connect()
    waiting = host.send()
    host.now += 0.05
    host.read(connection, AttemptStatus.OK)
    assert host.written[waiting] is connection
    late = host.send()
    host.now += 0.05
    host.read(connection, is_partial=True)  # it works, although no reply is complete
    connection.reply_state = ReplyState.NONE
    host.fail_connect()  # the connect that was started for the first attempt
    assert host.written[late] is connection
    assert host.status(late) == [None]
