"""The timeouts of client sessions, by state."""

from __future__ import annotations

import pytest

from ironrail.connections.downstream.client_session import CommandProgress
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.connections.downstream.session_timeouts import (
    COMMAND_TIMEOUT_SECONDS,
    IDLE_TIMEOUT_SECONDS,
    LONG_VALUE_TIMEOUT_SECONDS,
    UNREAD_RESPONSE_TIMEOUT_SECONDS,
    TimeoutAction,
    timeout_action,
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


def test_a_long_value_has_a_longer_timeout_while_bytes_arrive() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    session.progress = CommandProgress.RESERVED_VALUE
    session.is_value_long = True
    for second in range(int(LONG_VALUE_TIMEOUT_SECONDS) - 1):
        sessions.record_data(float(second), session)
        assert timeout_action(session, second + COMMAND_TIMEOUT_SECONDS / 2) is TimeoutAction.KEEP
    assert (
        timeout_action(session, LONG_VALUE_TIMEOUT_SECONDS - 2 + COMMAND_TIMEOUT_SECONDS)
        is TimeoutAction.REJECT_COMMAND
    )
    sessions.record_data(LONG_VALUE_TIMEOUT_SECONDS + 0.1, session)
    assert timeout_action(session, LONG_VALUE_TIMEOUT_SECONDS + 0.2) is TimeoutAction.REJECT_COMMAND


def test_a_short_value_has_the_timeout_of_other_commands() -> None:
    sessions = ClientSessionManager(max_sessions=8, max_retained_sessions=2)
    session = open_session(sessions)
    sessions.record_data(0.0, session)
    session.value_started(1.0, is_long=False, is_memory_reserved=True)
    sessions.record_data(2.0, session)
    assert timeout_action(session, COMMAND_TIMEOUT_SECONDS - 0.1) is TimeoutAction.KEEP
    assert timeout_action(session, COMMAND_TIMEOUT_SECONDS) is TimeoutAction.REJECT_COMMAND
