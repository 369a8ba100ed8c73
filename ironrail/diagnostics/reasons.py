"""Reasons why requests, attempts and connections ended, for the metrics and the log.

The values are parts of metric names that operators' tools read. They must not change, even where a
member has a clearer name.
"""

from __future__ import annotations

from enum import StrEnum

from ironrail.policy.events import AttemptStatus


class RejectionReason(StrEnum):
    """Why a request was rejected or failed, as far as the dispatcher knows.

    Derived from the state of the request at its end, in `net/dispatch/request_summary.py`.
    """

    NO_ATTEMPT = "not_sent"  # shed, over its tenant's rate limit, or no server was usable
    DEADLINE_EXCEEDED = "time_up"  # its deadline passed
    ATTEMPT_FAILED = "attempt_failed"  # attempts failed, or the origin had no capacity
    NO_MEMORY = "no_memory"  # a write found none in time, or a slow client's response none
    SHUTDOWN = "shutdown"  # the router exits


class RetryReason(StrEnum):
    """Why a request was retried or hedged."""

    MISS = "miss"  # a cache lacks the key
    OVERDUE = "overdue"  # the previous attempt is unanswered: a hedged request
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
    """Return why an attempt follows a previous one, whose outcome is None while in flight."""
    if previous is None:
        return RetryReason.OVERDUE
    return _RETRY_REASONS.get(previous, RetryReason.OTHER)


class ClientCloseReason(StrEnum):
    """Why the router ended a client's connection."""

    IDLE = "idle"
    UNREAD = "unread"  # the client reads no responses
    TOO_SLOW = "too_slow"  # it reads them slowly, and others wait for memory or descriptors
    BROKEN_VALUE = "broken_value"  # a long value broke off after a part of it was written
    PARTIAL_COMMAND = "partial_command"  # a command stayed incomplete
    BAD_COMMANDS = "bad_commands"
    EVICTED = "evicted"  # another client needed the descriptor
    SHUTDOWN = "shutdown"
    MIGRATED = "migrated"  # its client was steered to another router


class ClientLoss(StrEnum):
    """Why a client's connection ended that the router did not end."""

    CLOSED = "closed"  # by the client
    SOCKET_ERROR = "socket_error"  # a system call on it failed, or the client reset it
    SETUP_FAILED = "setup_failed"  # accepted, but its socket could not be set up


class ConnectFailure(StrEnum):
    """Why a connection to a server could not be opened."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOCAL = "local"  # this machine lacks descriptors, ports or memory
    OTHER = "other"


class InternalError(StrEnum):
    """Where an exception was caught that no code expects."""

    EVENT_LOOP = "event_loop"  # in a callback of the event loop
    POLICY = "policy"  # in a decision of the policy
    ACTION = "action"  # while an action of the policy was carried out


class Violation(StrEnum):
    """An invariant that a prevented step would have broken."""

    STARTED_TWICE = "started_twice"  # a request with the id of one that is in flight
    STARTED_AFTER_END = "started_after_end"  # after shutdown
    SENT_AFTER_END = "sent_after_end"  # the request is answered, or its client disconnected
    SENT_AFTER_DEADLINE = "sent_after_deadline"
    SENT_TO_DRAINED = "sent_to_drained"
    RETRIED_UNSAFE = "repeated_unsafe"  # though an earlier attempt may have run
    RETRIED_AFTER_WINDOW = "repeated_after_window"
    HEDGED_WITHOUT_PERMISSION = (
        "second_copy"  # while the first is in flight, where hedging is not allowed
    )
    REJECTED_UNSAFE = "refused_unsafe"  # answered as without effect, though it may have run
    ANSWERED_TWICE = "answered_twice"
    CLOSED_WITH_PENDING_REQUESTS = (
        "closed_owing"  # a client's connection with an unanswered request
    )
    HELD_AFTER_END = "held_after_end"  # a resource whose owner has ended; found, not prevented


class ListCallResult(StrEnum):
    """How a call to discovery ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    WATCH_TIMED_OUT = "silent"
    MALFORMED = "spoilt"  # broke off, or can't be parsed
