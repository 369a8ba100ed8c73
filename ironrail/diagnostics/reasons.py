"""Why requests, attempts and connections came to their end: for the metrics and the log."""

from __future__ import annotations

from enum import StrEnum

from ironrail.policy.interface import Status


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
    Status.MISS: RetryReason.MISS,
    Status.FULL: RetryReason.BUSY,
    Status.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    Status.TIMEOUT: RetryReason.TIMEOUT,
    Status.RESET: RetryReason.RESET,
    Status.ERROR: RetryReason.ERROR,
}


def retry_reason(previous: Status | None) -> RetryReason:
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


class ListCallResult(StrEnum):
    """How a call to discovery ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SILENT = "silent"  # a watch that said nothing when its wait was over
    SPOILT = "spoilt"  # an answer that broke off or can't be read
