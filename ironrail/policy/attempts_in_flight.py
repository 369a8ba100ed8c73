"""Attempts in flight at each server, and what the status of an ended attempt means."""

from __future__ import annotations

from collections.abc import Iterator

from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.state import Attempt, AttemptId

# no answer arrived, though the connection stayed open
SILENT_STATUSES = (
    AttemptStatus.TIMEOUT,
    AttemptStatus.CANCELLED,
    AttemptStatus.CANCELLED_BEFORE_SEND,
)
# before the attempt is overdue these mean a fault of the connection; the server may be healthy
BROKEN_CONNECTION_STATUSES = (
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
    AttemptStatus.CANCELLED,
)
# the server did not execute the attempt
NEVER_RAN_STATUSES = (
    AttemptStatus.BUSY,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED_BEFORE_SEND,
    AttemptStatus.MISS,
    AttemptStatus.NOT_SENT,
)


class AttemptsInFlight:
    """All attempts of this router that have not ended; keeps the servers' load counters."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, Attempt] = {}
        self.cache_count = 0  # attempts in flight at caches

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[AttemptId]:
        return iter(self._attempts)

    def get(self, attempt_id: AttemptId) -> Attempt | None:
        """Return the attempt, or None once it has ended."""
        return self._attempts.get(attempt_id)

    def add(self, attempt_id: AttemptId, attempt: Attempt) -> None:
        """Count an attempt that is being sent."""
        self._attempts[attempt_id] = attempt
        server = attempt.server
        server.in_flight += 1
        server.in_flight_work += attempt.cost
        self.cache_count += server.is_cache

    def finish(self, event: AttemptEnded) -> Attempt | None:
        """Remove the attempt and set the fields that describe its end; None if it is unknown."""
        attempt = self._attempts.pop(AttemptId(event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        server = attempt.server
        server.in_flight -= 1
        server.in_flight_work -= attempt.cost
        self.cache_count -= server.is_cache
        overdue = event.latency >= attempt.hedge_delay
        attempt.is_open = False
        attempt.may_have_run = event.status not in NEVER_RAN_STATUSES
        attempt.connection_broke = event.status in BROKEN_CONNECTION_STATUSES and not overdue
        attempt.unanswered = event.status in SILENT_STATUSES and overdue
        return attempt
