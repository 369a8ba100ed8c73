"""Admission, eviction and timeouts of client sessions, without sockets."""

from __future__ import annotations

from ironrail.connections.downstream.client_session import (
    MAX_CONSECUTIVE_BAD_COMMANDS,
    MAX_PIPELINED_COMMANDS,
    ClientSession,
)
from ironrail.connections.downstream.idle_retention import MIN_RETAINED_SESSIONS
from ironrail.connections.downstream.session_manager import (
    MAX_EVICTION_CHECKS,
    ClientSessionManager,
    NextAction,
)
from ironrail.connections.downstream.session_timeouts import (
    SHUTDOWN_STALL_TIMEOUT_SECONDS,
    TimeoutAction,
    timeout_action,
)


def open_session(sessions: ClientSessionManager, now: float = 0.0) -> ClientSession:
    assert sessions.admit().admitted
    return sessions.add(now)


def receive_command(sessions: ClientSessionManager, session: ClientSession, now: float = 0.0) -> None:
    """Receive a valid command, whose response is still pending."""
    sessions.record_data(now, session)
    sessions.record_command(now, session, True)
    sessions.record_progress(session, 0, False)


def use_once(
    sessions: ClientSessionManager, now: float = 0.0, session: ClientSession | None = None
) -> ClientSession:
    """Receive a valid command, and write its response."""
    session = open_session(sessions, now) if session is None else session
    receive_command(sessions, session, now)
    sessions.record_progress(session, 1, False)
    return session


def test_unused_sessions_are_evicted_before_idle_ones_and_busy_ones_never() -> None:
    sessions = ClientSessionManager(max_sessions=3, max_retained_sessions=9)
    idle, silent, busy = use_once(sessions), open_session(sessions), open_session(sessions)
    receive_command(sessions, busy)
    assert sessions.admit().evicted is silent
    sessions.add(0.0)
    newest = sessions.admit().evicted
    assert newest not in (idle, busy, None)
    sessions.cancel_admission()
    assert use_once(sessions) in sessions
    assert sessions.admit().evicted is idle


def test_a_connection_is_rejected_when_all_sessions_are_busy() -> None:
    sessions = ClientSessionManager(max_sessions=2, max_retained_sessions=9)
    for _ in "12":
        receive_command(sessions, open_session(sessions))
    assert not sessions.admit().admitted


def test_an_admitted_connection_counts_before_its_session_begins() -> None:
    sessions = ClientSessionManager(max_sessions=2, max_retained_sessions=9)
    assert sessions.admit().admitted and sessions.admit().admitted
    assert not sessions.admit().admitted
    sessions.cancel_admission()
    assert sessions.admit().admitted


def test_the_longest_idle_session_is_evicted_and_the_last_used_one_never() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=2)
    first, second = use_once(sessions), use_once(sessions)
    assert sessions.next_idle_to_evict() is None
    third = use_once(sessions)
    assert sessions.next_idle_to_evict() is first
    sessions.remove(first)
    assert sessions.next_idle_to_evict() is None
    use_once(sessions, session=second)
    fourth = use_once(sessions)
    assert sessions.next_idle_to_evict() is third
    sessions.remove(third)
    for session in (second, fourth):
        receive_command(sessions, session)
    last = use_once(sessions)
    assert sessions.next_idle_to_evict() is None and last in sessions


def test_a_session_with_a_partial_command_is_not_evicted() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=1)
    first, second = use_once(sessions), use_once(sessions)
    sessions.record_data(1.0, first)
    sessions.record_progress(first, 0, True)
    third = use_once(sessions)
    assert sessions.next_idle_to_evict() is second
    assert third in sessions


def test_eviction_checks_are_bounded_when_no_session_can_be_closed() -> None:
    sessions = ClientSessionManager(max_sessions=1000, max_retained_sessions=5)
    for _ in range(500):
        use_once(sessions)
    checked = 0
    while (session := sessions.next_idle_to_evict()) is not None:
        sessions.defer_eviction(session)
        checked += 1
    assert checked == MAX_EVICTION_CHECKS


def test_pipelined_commands_beyond_the_limit_wait_for_responses() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = open_session(sessions)
    for _ in range(MAX_PIPELINED_COMMANDS):
        assert session.accepts_commands and session.should_read
        sessions.record_command(0.0, session, True)
    assert not session.accepts_commands and not session.should_read
    session.has_unparsed_input = True
    assert sessions.record_progress(session, 0, True) is NextAction.NOTHING
    assert sessions.record_progress(session, 1, True) is NextAction.PARSE


def test_consecutive_bad_commands_end_a_session_and_valid_ones_reset_the_count() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = open_session(sessions)
    for _ in range(3 * MAX_CONSECUTIVE_BAD_COMMANDS):
        sessions.record_command(0.0, session, False)
        sessions.record_command(0.0, session, True)
    assert not session.is_ending
    for _ in range(MAX_CONSECUTIVE_BAD_COMMANDS):
        assert not session.is_ending
        sessions.record_command(0.0, session, False)
    assert session.is_ending
    assert sessions.record_progress(session, session.pending_responses, False) is NextAction.FINISH


def test_a_rejected_partial_command_is_answered_behind_earlier_responses() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = open_session(sessions)
    receive_command(sessions, session)
    sessions.record_progress(session, 0, True)
    session.reject_partial_command()
    assert sessions.record_progress(session, 0, True) is NextAction.NOTHING
    assert sessions.record_progress(session, 2, True) is NextAction.FINISH
    assert timeout_action(session, 100.0) is TimeoutAction.KEEP


def test_an_idle_session_is_closed_while_draining() -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = open_session(sessions)
    receive_command(sessions, session)
    sessions.is_draining = True
    assert sessions.record_progress(session, 0, False) is NextAction.NOTHING
    assert sessions.record_progress(session, 1, False) is NextAction.CLOSE


def test_a_slow_command_is_not_evicted_before_a_silent_session() -> None:
    sessions = ClientSessionManager(max_sessions=3, max_retained_sessions=2)
    slow, silent, partial = (open_session(sessions, float(n)) for n in range(3))
    sessions.record_data(2.1, partial)
    sessions.record_data(2.2, slow)  # the oldest, and still sending
    assert sessions.admit().evicted is silent
    assert sessions.admit().evicted is partial


def test_idle_sessions_are_retained_by_the_learned_reuse_ratio() -> None:
    """Idle sessions are evicted while none is used again, and retained once they are."""
    sessions = ClientSessionManager(max_sessions=200, max_retained_sessions=40)

    def open_and_use_once(now: float) -> ClientSession:
        session = open_session(sessions, now)
        sessions.record_data(now, session)
        sessions.record_command(now, session, True)
        sessions.record_progress(session, 1, False)
        while (longest := sessions.next_idle_to_evict()) is not None:
            sessions.remove(longest)
        return session

    for n in range(300):
        open_and_use_once(n / 100)
    assert len(sessions) == MIN_RETAINED_SESSIONS
    for n in range(60):  # the idle ones are used again
        for session in list(sessions):
            sessions.record_data(3.0 + n, session)
            sessions.record_command(3.0 + n, session, True)
            sessions.record_progress(session, 1, False)
    for n in range(40):
        open_and_use_once(100.0 + n)
    assert len(sessions) > 20


def test_graceful_shutdown_does_not_wait_for_a_stalled_command() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    silent, stalled, slow = (open_session(sessions) for _ in range(3))
    busy = open_session(sessions)
    receive_command(sessions, busy)
    for session in (stalled, slow):
        sessions.record_data(0.5, session)
        sessions.record_progress(session, 0, has_partial_command=True)
    sessions.record_data(1.0, slow)
    assert sessions.sessions_to_close(1.4, close_partial=False) == [silent]
    assert set(sessions.sessions_to_close(0.5 + SHUTDOWN_STALL_TIMEOUT_SECONDS, close_partial=False)) == {
        silent,
        stalled,
    }
    assert set(sessions.sessions_to_close(1.5, close_partial=True)) == {silent, stalled, slow}
