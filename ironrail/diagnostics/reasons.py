"""Why requests, attempts and connections came to their end: for the metrics and the log."""

from __future__ import annotations

from enum import StrEnum

from ironrail.policy.events import AttemptStatus


class RefusalReason(StrEnum):
    """Why a request got an answer other than a value or a receipt."""

    NOT_SENT = "not_sent"  # no server was chosen: shed, over its limit, or no server usable
    TIME_UP = "time_up"  # its deadline came first
    ATTEMPT_FAILED = "attempt_failed"  # an attempt failed, and no further one was allowed
    SHUTDOWN = "shutdown"  # the router ends


class RetryReason(StrEnum):
    """Why a further attempt of a request was sent."""

    MISS = "miss"  # a cache lacks the key
    OVERDUE = "overdue"  # the previous attempt is still unanswered (hedged request)
    BUSY = "busy"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    RESET = "reset"
    ERROR = "error"
    OTHER = "other"


_RETRY_REASONS = {
    AttemptStatus.MISS: RetryReason.MISS,
    AttemptStatus.BUSY: RetryReason.BUSY,
    AttemptStatus.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    AttemptStatus.TIMEOUT: RetryReason.TIMEOUT,
    AttemptStatus.RESET: RetryReason.RESET,
    AttemptStatus.ERROR: RetryReason.ERROR,
}


def retry_reason(previous: AttemptStatus | None) -> RetryReason:
    """Why an attempt follows one with this outcome; None where that is still out."""
    if previous is None:
        return RetryReason.OVERDUE
    return _RETRY_REASONS.get(previous, RetryReason.OTHER)


class ClientCloseReason(StrEnum):
    """Why the router ended a client's connection."""

    IDLE = "idle"
    UNREAD = "unread"  # the client takes no answers
    PARTIAL_COMMAND = "partial_command"  # a command never came whole
    BAD_COMMANDS = "bad_commands"
    EVICTED = "evicted"  # another client needed the descriptor
    SHUTDOWN = "shutdown"
    MIGRATED = "migrated"  # its client belongs to another router


class Violation(StrEnum):
    """An invariant that would have been broken."""

    STARTED_TWICE = "started_twice"  # a request with the id of one that is in flight
    STARTED_AFTER_END = "started_after_end"  # once the router has given its last answers
    SENT_AFTER_END = "sent_after_end"  # the request has its answer, or its client has gone
    SENT_AFTER_DEADLINE = "sent_after_deadline"
    SENT_TO_DRAINED = "sent_to_drained"
    REPEATED_UNSAFE = "repeated_unsafe"  # though an earlier attempt may have run
    REPEATED_AFTER_WINDOW = "repeated_after_window"
    SECOND_COPY = "second_copy"  # while the first is out, where the settings forbid it
    REFUSED_UNSAFE = "refused_unsafe"  # promised to have had no effect, though it may have run
    ANSWERED_TWICE = "answered_twice"
    CLOSED_OWING = "closed_owing"  # a client's connection, with an answer still owed


class ListCallResult(StrEnum):
    """How a call to discovery ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    WATCH_TIMED_OUT = "silent"
    MALFORMED = "spoilt"  # broke off, or can't be read
