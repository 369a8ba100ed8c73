"""The connections to one server, decided without a socket."""

from __future__ import annotations

import pytest
from ironrail.connections.upstream.pool_manager import STREAM_TIMEOUT_SECONDS
from ironrail.policy.events import AttemptStatus

from tests.connections.upstream_host import Host


def test_the_latest_used_connection_is_used_again() -> None:
    host = Host(most=3)
    for _ in range(3):
        host.want()
    links = [host.up() for _ in range(3)]
    for n, link in enumerate((links[1], links[0], links[2])):
        host.now = n / 10
        host.read(link, AttemptStatus.OK)
    assert host.written[host.want()] is links[2]
    assert host.written[host.want()] is links[0]


def test_at_the_most_connections_an_attempt_goes_behind_the_fewest() -> None:
    host = Host(most=2)
    attempts = [host.want() for _ in range(2)]
    links = [host.up(), host.up()]
    more = [host.want() for _ in range(4)]
    assert [host.written[a] for a in more] == [links[0], links[1], links[0], links[1]]
    host.read(links[1], AttemptStatus.OK, AttemptStatus.MISS)
    assert host.status(attempts[1], more[1]) == [AttemptStatus.OK, AttemptStatus.MISS]
    assert host.written[host.want()] is links[1]


def test_those_behind_a_long_value_that_nobody_takes_are_sent_elsewhere() -> None:
    host = Host(most=1)
    first, second = host.want(), host.want()
    link = host.up()
    host.do(host.upstream.on_stream_started(host.now, link, 100_000))
    assert host.status(first, second) == [None, None]
    host.do(host.upstream.on_client_paused(host.now, link, True))
    assert host.status(first, second) == [None, AttemptStatus.CANCELLED]
    host.now += 60.0
    host.do(host.upstream.expire(host.now))  # it is not the server that stands still
    host.do(host.upstream.on_client_paused(host.now, link, False))
    host.read(link, AttemptStatus.OK)
    assert host.status(first) == [AttemptStatus.OK]
    host.now += STREAM_TIMEOUT_SECONDS + 1.0
    host.read(link, part=True)
    assert link in host.links


def test_a_long_value_that_stands_still_is_given_up_and_so_is_one_that_nobody_waits_for() -> None:
    host = Host(most=1)
    first = host.want()
    link = host.up()
    host.do(host.upstream.on_stream_started(host.now, link, 100_000))
    host.now += STREAM_TIMEOUT_SECONDS
    host.do(host.upstream.expire(host.now))
    assert host.status(first) == [AttemptStatus.ERROR] and link not in host.links
    second = host.want()
    link = host.up()
    host.abandon(second, AttemptStatus.CANCELLED)
    host.do(host.upstream.on_stream_started(host.now, link, 100_000))
    assert link not in host.links


def test_what_was_never_whole_never_ran_and_does_not_stay_in_memory() -> None:
    host = Host(most=1)
    write = host.want(alone=True)
    link = host.up()
    link.has_unsent_bytes = True
    host.abandon(write)
    assert host.status(write) == [AttemptStatus.CONNECT_FAILED] and link not in host.links


def test_where_one_connection_bears_one_request_the_next_is_turned_away() -> None:
    host = Host(most=1, streams=1)
    host.want()
    host.up()
    assert host.status(host.want()) == [AttemptStatus.BUSY]


def test_behind_a_broken_reply_all_are_lost_but_only_the_oldest_may_be_to_blame() -> None:
    host = Host(most=1)
    oldest = host.want()
    link = host.up()
    behind = [host.want() for _ in range(5)]
    host.now = 0.01
    host.read(link, part=True)
    host.read(link, fault="noise")
    assert host.status(oldest, *behind) == [AttemptStatus.ERROR] + [AttemptStatus.CANCELLED] * 5
    assert link in host.leaving


def test_what_was_not_written_whole_never_ran() -> None:
    host = Host(most=1)
    first = host.want()
    link = host.up()
    second = host.want()
    link.has_unsent_bytes = True
    host.lose(link)
    assert host.status(first, second) == [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED]


def test_a_cancelled_attempt_s_reply_is_read_before_the_next_one_s() -> None:
    host = Host(most=1)
    gone = host.want()
    link = host.up()
    host.abandon(gone, AttemptStatus.CANCELLED)
    kept = host.want()
    assert kept not in host.written or host.written[kept] is not link  # never behind what nobody waits for
    assert host.status(gone) == [AttemptStatus.CANCELLED]
    host.up()
    host.read(host.written[kept], AttemptStatus.OK)
    assert host.status(kept) == [AttemptStatus.OK]


def test_a_drain_midway_leaves_what_is_written_and_fails_what_is_not() -> None:
    host = Host(most=1)
    written = host.want()
    link = host.up()
    behind = host.want()
    host.do(host.upstream.stop(host.now))
    late = host.want()
    assert host.status(late) == [AttemptStatus.CONNECT_FAILED]
    host.read(link, AttemptStatus.OK, AttemptStatus.OK)
    assert host.status(written, behind) == [AttemptStatus.OK, AttemptStatus.OK]
    assert link in host.leaving


def test_a_drain_before_the_dial_has_ended_sends_nothing() -> None:
    host = Host(most=1)
    waiting = host.want()
    host.do(host.upstream.stop(host.now))
    assert host.status(waiting) == [AttemptStatus.CONNECT_FAILED]
    link = host.up()
    assert link in host.leaving


def test_a_dial_that_hangs_beside_one_that_succeeds() -> None:
    host = Host(most=2)
    first, second = host.want(), host.want()
    host.dialling.reverse()
    link = host.up()  # the second dial; the first hangs
    assert host.written[first] is link and second not in host.written
    host.read(link, AttemptStatus.OK)
    assert host.written[second] is link
    host.down()
    assert host.status(first, second) == [AttemptStatus.OK, None]


@pytest.mark.parametrize(("idle_for", "reused"), [(5.9, True), (6.1, False)])  # three quarters of 8 s
def test_a_connection_near_its_idle_limit_is_not_used(idle_for: float, reused: bool) -> None:
    host = Host(most=1)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)
    host.now += idle_for
    attempt = host.want()
    assert (attempt in host.written) is reused
    assert (link in host.leaving) is not reused


def test_a_pause_after_which_a_connection_broke_is_learned_and_forgotten_by_and_by() -> None:
    host = Host(most=1)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)
    host.now += 4.0
    host.want()
    host.lose(link)
    assert host.upstream.idle_timeout.seconds == 2.0
    for _ in range(60):
        host.do(host.upstream.expire(host.now))
    assert host.upstream.idle_timeout.seconds == 6.0


def test_a_second_copy_that_came_unasked_costs_the_connection_not_the_next_request() -> None:
    host = Host(most=2)
    host.want()
    link = host.up()
    host.read(link, AttemptStatus.OK)
    host.noisy.add(link)
    attempt = host.want()
    assert link in host.leaving
    assert host.written[attempt] is host.up() if attempt in host.written else host.up() is not link
    assert host.written[attempt] is not link


def test_what_is_given_up_before_it_has_a_connection_never_ran_whoever_gave_it_up() -> None:
    host = Host()
    dialling = host.want()
    host.abandon(dialling, AttemptStatus.CANCELLED)
    assert host.status(dialling) == [AttemptStatus.CONNECT_FAILED]
    link = host.up()
    write = host.want(alone=True)
    assert host.written == {write: link}  # the connection that came up late is used


def test_what_is_taken_back_leaves_its_predecessors_and_the_connection_that_came_up_for_it() -> None:
    host = Host(most=1)
    first = host.want(alone=True)
    host.up()
    second, third = host.want(alone=True), host.want(alone=True)
    for _ in "12":  # of one that is written, or taken back already, nothing is taken back
        host.do(host.upstream.withdraw(host.now, second))
        host.do(host.upstream.withdraw(host.now, first))
    assert host.status(first, second, third) == [
        None,
        AttemptStatus.NOT_SENT,
        AttemptStatus.CANCELLED_BEFORE_SEND,
    ]
    host.read(host.links[0], AttemptStatus.OK)
    assert host.status(first) == [AttemptStatus.OK] and list(host.written) == [first]
