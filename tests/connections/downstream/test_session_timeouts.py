"""The timeouts of client sessions, by state."""

from __future__ import annotations

import pytest

from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.connections.downstream.session_timeouts import (
    COMMAND_TIMEOUT_SECONDS,
    IDLE_TIMEOUT_SECONDS,
    UNREAD_RESPONSE_TIMEOUT_SECONDS,
    TimeoutAction,
    timeout_action,
)
from ironrail.connections.downstream.transfer_progress import (
    MAX_CREDIT_SECONDS,
    MIN_BYTES_PER_SECOND,
    SLOW_GRACE_SECONDS,
    TransferProgress,
)
from tests.connections.downstream.test_session_manager import open_session, use_once


@pytest.mark.parametrize(
    ("has_been_used", "has_partial_command", "pending", "after", "action"),
    [
        (False, False, 0, COMMAND_TIMEOUT_SECONDS - 0.1, TimeoutAction.KEEP),
        (False, False, 0, COMMAND_TIMEOUT_SECONDS + 0.1, TimeoutAction.REJECT_COMMAND),
        (True, True, 0, COMMAND_TIMEOUT_SECONDS + 0.1, TimeoutAction.REJECT_COMMAND),
        (True, True, 1, COMMAND_TIMEOUT_SECONDS + 0.1, TimeoutAction.REJECT_COMMAND),
        (True, False, 0, COMMAND_TIMEOUT_SECONDS + 0.1, TimeoutAction.KEEP),
        (True, False, 0, IDLE_TIMEOUT_SECONDS + 0.1, TimeoutAction.CLOSE),
        (
            True,
            False,
            1,
            IDLE_TIMEOUT_SECONDS + 0.1,
            TimeoutAction.KEEP,
        ),  # the response is pending, so the router is slow, not the client
    ],
)
def test_each_state_of_a_session_has_its_timeout(
    has_been_used: bool, has_partial_command: bool, pending: int, after: float, action: TimeoutAction
) -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = open_session(sessions, 1.0)
    if has_been_used:
        sessions.record_command(1.0, session, True)
        sessions.record_progress(session, 1 - pending, has_partial_command)
    sessions.record_progress(session, 0, has_partial_command)
    assert timeout_action(session, 1.0 + after) is action


@pytest.mark.parametrize(
    ("after", "action"),
    [
        (UNREAD_RESPONSE_TIMEOUT_SECONDS - 0.1, TimeoutAction.KEEP),
        (UNREAD_RESPONSE_TIMEOUT_SECONDS + 0.1, TimeoutAction.ABORT),
    ],
)
def test_a_session_with_unread_responses_is_aborted_after_its_timeout(
    after: float, action: TimeoutAction
) -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = use_once(sessions)
    session.set_responses_unread(1.0, True)
    assert not session.should_read
    assert timeout_action(session, 1.0 + after) is action
    session.set_responses_unread(1.0, False)
    assert timeout_action(session, 1.0 + after) is TimeoutAction.KEEP


def action_of_writer(bytes_per_second: int, seconds: int, is_contended: bool) -> TimeoutAction:
    """Return the action on a client that has sent a long value at one rate for some seconds."""
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    session.value_started(0.0, is_long=True, is_memory_reserved=True)
    for second in range(1, seconds + 1):
        sessions.record_data(float(second), session)
        session.value_progress.record(float(second), bytes_per_second)
        action = timeout_action(session, second + COMMAND_TIMEOUT_SECONDS / 2, is_contended=is_contended)
        if action is not TimeoutAction.KEEP:
            return action
    return timeout_action(session, seconds + COMMAND_TIMEOUT_SECONDS - 0.1)


# A long value was rejected after 20 s, however steadily its client wrote.
@pytest.mark.parametrize(
    ("bytes_per_second", "is_contended", "action"),
    [
        (60_000, False, TimeoutAction.KEEP),
        (60_000, True, TimeoutAction.KEEP),
        (1, False, TimeoutAction.KEEP),
        (1, True, TimeoutAction.REJECT_SLOW),
    ],
)
def test_a_long_value_may_take_as_long_as_bytes_arrive_fast_enough_for_others(
    bytes_per_second: int, is_contended: bool, action: TimeoutAction
) -> None:
    assert action_of_writer(bytes_per_second, 70, is_contended) is action
    assert action_of_writer(1, int(SLOW_GRACE_SECONDS) - 2, True) is TimeoutAction.KEEP
    assert action_of_writer(1, int(SLOW_GRACE_SECONDS) + 1, True) is TimeoutAction.REJECT_SLOW


def test_a_long_value_that_stops_is_rejected() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    session.value_started(0.0, is_long=True, is_memory_reserved=True)
    sessions.record_data(30.0, session)
    session.value_progress.record(30.0, 2**20)
    assert timeout_action(session, 30.0 + COMMAND_TIMEOUT_SECONDS - 0.1) is TimeoutAction.KEEP
    assert timeout_action(session, 30.0 + COMMAND_TIMEOUT_SECONDS) is TimeoutAction.REJECT_COMMAND


@pytest.mark.parametrize(
    ("is_contended", "has_unsent", "action"),
    [
        (False, True, TimeoutAction.KEEP),
        (True, False, TimeoutAction.KEEP),
        (True, True, TimeoutAction.ABORT_SLOW),
    ],
)
def test_a_slow_reader_is_aborted_only_while_others_wait(
    is_contended: bool, has_unsent: bool, action: TimeoutAction
) -> None:
    sessions = ClientSessionManager(max_sessions=9, max_retained_sessions=9)
    session = use_once(sessions)
    session.set_responses_unread(1.0, True)
    for second in range(2, 10):
        session.responses_taken.record(float(second), 1)
    got = timeout_action(session, 9.5, is_contended=is_contended, has_unsent=has_unsent)
    assert got is action


def test_large_steps_allow_for_longer_pauses_up_to_a_limit() -> None:
    progress = TransferProgress(0.0)
    progress.record(1.0, 12 * MIN_BYTES_PER_SECOND)
    assert not progress.has_stopped(12.9, UNREAD_RESPONSE_TIMEOUT_SECONDS)
    assert progress.has_stopped(13.0, UNREAD_RESPONSE_TIMEOUT_SECONDS)
    progress.record(13.0, 2**30)
    assert not progress.is_slow(12.9 + MAX_CREDIT_SECONDS)
    assert progress.is_slow(13.0 + MAX_CREDIT_SECONDS)


def test_a_short_value_has_the_timeout_of_other_commands() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    sessions.record_data(0.0, session)
    session.value_started(1.0, is_long=False, is_memory_reserved=True)
    sessions.record_data(2.0, session)
    assert timeout_action(session, COMMAND_TIMEOUT_SECONDS - 0.1) is TimeoutAction.KEEP
    assert timeout_action(session, COMMAND_TIMEOUT_SECONDS) is TimeoutAction.REJECT_COMMAND


# A command that a client wrote in pieces was rejected, as the time in which nothing was read counted.
def test_the_time_in_which_nothing_is_read_is_no_delay_of_the_client() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    sessions.record_command(1.0, session, True)
    sessions.record_progress(session, 0, True)  # a part of the next command
    session.set_responses_unread(2.0, True)
    session.set_reading(2.0, session.should_read)
    session.set_responses_unread(9.0, False)
    session.set_reading(9.0, session.should_read)
    left_seconds = COMMAND_TIMEOUT_SECONDS - 1.0  # of which 1 s had passed before the pause
    assert timeout_action(session, 9.0 + left_seconds - 0.1) is TimeoutAction.KEEP
    assert timeout_action(session, 9.0 + left_seconds + 0.1) is TimeoutAction.REJECT_COMMAND


# The same within a long value, whose silence counted while the router waited for an earlier response.
@pytest.mark.parametrize("is_contended", [False, True])
def test_a_long_value_is_not_silent_or_slow_while_it_is_not_read(is_contended: bool) -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    session.value_started(0.0, is_long=True, is_memory_reserved=True)
    sessions.record_data(4.0, session)
    session.set_reading(4.0, False)
    session.set_reading(9.0, True)
    later = 9.0 + SLOW_GRACE_SECONDS - 4.0 - 0.1
    assert timeout_action(session, later, is_contended=is_contended) is TimeoutAction.KEEP
    assert timeout_action(session, 9.1 + COMMAND_TIMEOUT_SECONDS) is TimeoutAction.REJECT_COMMAND
