"""Whether an attempt goes behind others, gets a connection of its own, or waits."""

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

from tests.connections.upstream_host import Host


def test_quick_replies_are_waited_for_until_that_has_cost_as_much_as_a_connection() -> None:
    host = Host(most=8)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)  # with the handshake: tells nothing of what a reply takes
    took = CONNECTION_COST_SECONDS / 2
    host.want()
    host.now += took
    host.read(link, AttemptStatus.OK)
    host.want()
    for behind in (1, 2):  # half a reply's time for each that is ahead: a quarter of the cost, then a half
        assert host.written[host.want()] is link, behind
    assert not host.dialling
    host.want()  # three quarters more would be past the cost
    assert len(host.dialling) == 1


def test_slow_replies_are_not_waited_for_while_a_connection_may_be_opened() -> None:
    host = Host(most=3)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)
    host.want()
    host.now += 0.1
    host.read(link, AttemptStatus.OK)
    for _ in range(3):
        host.want()
    assert len(host.dialling) == 2


def test_after_a_break_nothing_goes_behind_others_while_a_connection_may_be_opened() -> None:
    host = Host(most=4)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)
    host.want()
    host.now += 0.001
    host.read(link, AttemptStatus.OK)
    host.want()
    assert host.written[host.want()] is link  # quick replies: cheaper than a connection
    host.lose(link)
    host.want()
    again = host.up()
    host.read(again, AttemptStatus.OK)
    host.want()
    host.want()
    assert len(host.dialling) == 1
    host.now += BREAK_COOLDOWN_SECONDS
    assert host.written[host.want()] is again


def test_nothing_goes_behind_what_later_attempts_overtook_until_it_is_heard_again() -> None:
    host = Host(most=2)
    slow = host.want(patience=1.0)
    link = host.up()
    host.now += OVERTAKEN_FRACTION + 0.01
    host.want()
    other = host.up()
    host.read(other, AttemptStatus.OK)
    assert host.status(slow) == [None]  # slow, and not lost
    behind = [host.want() for _ in range(3)]
    assert all(host.written[attempt] is other for attempt in behind)
    host.read(link, AttemptStatus.OK)
    assert host.status(slow) == [AttemptStatus.OK]
    assert host.written[host.want()] is link


def test_what_may_not_be_repeated_shares_no_connection() -> None:
    host = Host(most=1)
    read = host.want()
    link = host.up()
    write = host.want(alone=True)
    assert write not in host.written and not host.dialling
    host.read(link, AttemptStatus.OK)
    assert host.written[write] is link
    behind = host.want()
    assert host.status(read, write, behind) == [AttemptStatus.OK, None, AttemptStatus.CANCELLED_BEFORE_SEND]
    host.read(link, AttemptStatus.OK)
    assert host.status(write) == [AttemptStatus.OK]


def test_reads_behind_reads_keep_no_write_waiting_for_good() -> None:
    host = Host(most=2)
    for _ in range(4):
        host.want()
    first, second = host.up(), host.up()
    write = host.want(alone=True)
    kept = min((first, second), key=lambda link: len(link.in_flight))
    for _ in range(4):
        host.want()
    assert all(attempt.connection is not kept for attempt in host.attempts[5:])
    host.read(kept, *[AttemptStatus.OK] * len(kept.in_flight))
    assert host.written[write] is kept


def test_the_end_of_the_last_connection_strands_no_write() -> None:
    host = Host(most=1)
    host.want()
    link = host.up()
    write = host.want(alone=True)
    host.lose(link)
    new = host.up()
    assert host.written[write] is new


def test_a_write_that_never_found_a_free_connection_never_ran() -> None:
    host = Host(most=1)
    host.want()
    host.up()
    write = host.want(alone=True)
    host.abandon(write)
    assert host.status(write) == [AttemptStatus.CANCELLED_BEFORE_SEND]


def test_a_connection_turned_away_at_its_first_word_is_one_too_many() -> None:
    host = Host(most=8)
    host.want()
    link = host.up()
    host.want()
    other = host.up()
    host.read(other, AttemptStatus.BUSY)
    assert other in host.leaving
    assert host.written[host.want()] is link  # behind, for the places are taken
    assert not host.dialling
    host.now += MIN_FULL_BACKOFF_SECONDS
    host.want()
    assert len(host.dialling) == 1


def test_while_places_stay_taken_the_next_connect_is_later_each_time_and_soon_once_one_is_served() -> None:
    host = Host(most=8)
    host.want()
    link = host.up()
    ended = [0.0]
    for _ in range(9):
        while not host.dialling:
            host.now += 0.05
            host.read(link, *[AttemptStatus.OK] * len(link.in_flight))
            host.want()
            host.want()  # behind, or for one of its own
        host.now += 0.05
        host.read(link, *[AttemptStatus.OK] * len(link.in_flight))  # it works
        host.down()
        ended.append(host.now)
    pauses = [after - before for before, after in itertools.pairwise(ended[1:])]
    assert all(later > 1.5 * sooner for sooner, later in itertools.pairwise(pauses[:6]))
    assert MAX_FULL_BACKOFF_SECONDS < pauses[-1] < MAX_FULL_BACKOFF_SECONDS + 0.3


def test_a_first_reply_of_a_full_queue_keeps_the_only_connection() -> None:
    host = Host(most=8)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.BUSY)
    assert link in host.links


def test_a_dial_refused_beside_a_connection_that_works_sends_what_waits_behind_others() -> None:
    host = Host(most=8)
    host.want()
    link = host.up()
    waiting = host.want()
    host.now += 0.05
    host.read(link, AttemptStatus.OK)
    assert host.written[waiting] is link
    late = host.want()
    host.now += 0.05
    host.read(link, part=True)  # it works, though nothing is whole
    link.reply_state = ReplyState.NONE
    host.down()  # of the dial that the first of the two began
    assert host.written[late] is link
    assert host.status(late) == [None]
