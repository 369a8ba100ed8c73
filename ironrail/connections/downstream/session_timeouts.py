"""Which timeout applies to a client session, and what happens when it expires."""

from __future__ import annotations

from enum import Enum

from ironrail.connections.downstream.client_session import ClientSession

COMMAND_TIMEOUT_SECONDS = 2.2
"""For a complete command: silent clients and partial commands would keep their descriptors."""

LONG_VALUE_TIMEOUT_SECONDS = 20.0
"""For a complete long value: other clients wait for the memory that it occupies."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Between two commands: a client that pauses for longer has more likely gone."""

UNREAD_RESPONSE_TIMEOUT_SECONDS = 10.0
"""Without a response taken: what the client has requested stays in memory."""

SHUTDOWN_STALL_TIMEOUT_SECONDS = 1.0
"""Without a byte of a partial command during a graceful shutdown: the client has stopped."""


class TimeoutAction(Enum):
    """What to do with a session after a look at its timeouts."""

    KEEP = "keep"
    ABORT = "abort"
    """The client takes no responses."""
    REJECT_COMMAND = "reject_command"
    """To be sent an error and closed: its command was not complete in time."""
    CLOSE = "close"
    """It was idle for too long."""


def timeout_action(session: ClientSession, now: float) -> TimeoutAction:
    """Apply the one timeout that is running for a session.

    Limits the descriptors and the memory that clients occupy which stop in the middle of a
    command, never send one, read no responses, or stay without using the connection.
    """
    if session.is_ending:
        return TimeoutAction.KEEP
    if session.responses_unread_since is not None:
        unread_seconds = now - session.responses_unread_since
        if unread_seconds >= UNREAD_RESPONSE_TIMEOUT_SECONDS:
            return TimeoutAction.ABORT
        return TimeoutAction.KEEP
    if session.has_partial_command or not session.has_been_used:
        if _is_command_overdue(session, now):
            return TimeoutAction.REJECT_COMMAND
        return TimeoutAction.KEEP
    idle_seconds = now - session.wait_started_at
    if session.pending_responses == 0 and idle_seconds >= IDLE_TIMEOUT_SECONDS:
        return TimeoutAction.CLOSE
    return TimeoutAction.KEEP


def _is_command_overdue(session: ClientSession, now: float) -> bool:
    """Whether the client is late with a complete command."""
    if session.has_unparsed_input or not session.should_read:
        return False  # the delay is the router's own
    waited_seconds = now - session.wait_started_at
    if session.has_long_value and waited_seconds < LONG_VALUE_TIMEOUT_SECONDS:
        # A long value may take its time as long as bytes arrive.
        waited_seconds = now - max(session.wait_started_at, session.last_received_at)
    return waited_seconds >= COMMAND_TIMEOUT_SECONDS


def may_close_for_shutdown(session: ClientSession, now: float, close_partial: bool) -> bool:
    """Whether a graceful shutdown need not wait for a session any longer.

    Args:
        session: The session in question.
        now: Seconds on the clock of the session.
        close_partial: Whether sessions with a partial command are closed too. No other process
            listens then, so waiting for one client keeps all new ones from being served.
    """
    if session.pending_responses > 0:
        return False
    if close_partial or not session.has_partial_command:
        return True
    return now - session.last_received_at >= SHUTDOWN_STALL_TIMEOUT_SECONDS
