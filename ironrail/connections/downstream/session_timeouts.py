"""The timeouts of a client session, and the action when one expires."""

from __future__ import annotations

from enum import Enum

from ironrail.connections.downstream.client_session import ClientSession

COMMAND_TIMEOUT_SECONDS = 2.2
"""To receive a complete command; frees descriptors of silent clients and partial commands."""

RESUMED_VALUE_TIMEOUT_SECONDS = 0.5
"""At least this time is left for the next byte of a value that waited for memory."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Between two commands; a client that is idle for longer has most likely disconnected."""

UNREAD_RESPONSE_TIMEOUT_SECONDS = 10.0
"""For a client to take more of its responses; those that it does not read stay in memory."""

SHUTDOWN_STALL_TIMEOUT_SECONDS = 1.0
"""Without another byte of a partial command during a graceful shutdown: it has stalled."""


class TimeoutAction(Enum):
    """What to do with a session after its timeouts were checked."""

    KEEP = "keep"
    ABORT = "abort"
    """The client reads no responses."""
    ABORT_SLOW = "abort_slow"
    """It reads them so slowly that others wait for what the session holds."""
    REJECT_COMMAND = "reject_command"
    """Send an error and close the session: its command was not complete in time."""
    REJECT_SLOW = "reject_slow"
    """The same for a value that is sent so slowly that others wait for its memory."""
    CLOSE = "close"
    """It was idle for too long."""


def timeout_action(
    session: ClientSession,
    now: float,
    *,
    is_contended: bool = False,
    has_unsent: bool = False,
) -> TimeoutAction:
    """Check the one timeout that applies to a session in its state.

    Limits the descriptors and the memory used by clients that stop in the middle of a command,
    never send one, read no responses, or leave the connection unused.

    Args:
        session: The session in question.
        now: Seconds on the clock of the session.
        is_contended: Whether others wait for memory or descriptors; slow clients then lose theirs.
        has_unsent: Whether responses wait to be taken by the client.
    """
    if session.is_ending:
        return TimeoutAction.KEEP
    if is_contended and has_unsent and session.responses_taken.is_slow(now):
        return TimeoutAction.ABORT_SLOW
    if session.responses_unread_since is not None:
        if session.responses_taken.has_stopped(now, UNREAD_RESPONSE_TIMEOUT_SECONDS):
            return TimeoutAction.ABORT
        return TimeoutAction.KEEP
    if session.has_partial_command or not session.has_been_used:
        return _partial_command_action(session, now, is_contended)
    idle_seconds = now - session.wait_started_at
    if session.pending_responses == 0 and idle_seconds >= IDLE_TIMEOUT_SECONDS:
        return TimeoutAction.CLOSE
    return TimeoutAction.KEEP


def _partial_command_action(
    session: ClientSession, now: float, is_contended: bool
) -> TimeoutAction:
    """Return what to do with a session whose next command is not complete.

    A long value may take longer, as long as bytes arrive, and fast enough if others wait.
    """
    if session.has_unparsed_input or not session.should_read:
        return TimeoutAction.KEEP  # the delay is the router's own
    waiting_since = session.wait_started_at
    has_value = session.has_reserved_value or session.is_skipping_value
    if has_value and session.is_value_long:
        if is_contended and session.value_progress.is_slow(now):
            return TimeoutAction.REJECT_SLOW
        waiting_since = max(waiting_since, session.last_received_at)
    if now - waiting_since >= COMMAND_TIMEOUT_SECONDS:
        return TimeoutAction.REJECT_COMMAND
    return TimeoutAction.KEEP


def resumed_wait_start(session: ClientSession, now: float) -> float:
    """Return since when a client is silent whose value is read on after a wait for memory.

    The wait for memory counts, so that a client that stopped before it gets its error in time; one
    that goes on sending is heard in the time that is left at least.
    """
    latest = now + RESUMED_VALUE_TIMEOUT_SECONDS - COMMAND_TIMEOUT_SECONDS
    return max(session.wait_started_at, latest)


def may_close_for_shutdown(session: ClientSession, now: float, close_partial: bool) -> bool:
    """Whether a graceful shutdown need not wait for a session any longer.

    Args:
        session: The session in question.
        now: Seconds on the clock of the session.
        close_partial: Whether sessions with a partial command are closed too. This is for the time
            when no other process listens, as new clients are not served while the process waits.
    """
    if session.pending_responses > 0:
        return False
    if close_partial or not session.has_partial_command:
        return True
    return now - session.last_received_at >= SHUTDOWN_STALL_TIMEOUT_SECONDS
