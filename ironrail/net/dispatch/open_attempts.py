"""The attempts that have no outcome yet, and the connection pool of each."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.upstream.connection import Attempt
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.policy.events import AttemptStatus


class AttemptId(NamedTuple):
    """Identifies an attempt; the attempts of a request are numbered from 0 in the order sent."""

    request_id: str
    attempt_number: int


class OpenAttempt(NamedTuple):
    """An attempt without an outcome, and the connection pool that it was handed to."""

    attempt: Attempt
    pool: ConnectionPool


class OpenAttempts:
    """All attempts without an outcome. An attempt may outlive its request."""

    def __init__(self) -> None:
        self._by_id: dict[AttemptId, OpenAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[OpenAttempt]:
        return iter(self._by_id.values())

    def __contains__(self, attempt_id: AttemptId) -> bool:
        return attempt_id in self._by_id

    def add(self, attempt: Attempt, pool: ConnectionPool) -> AttemptId:
        """Add an attempt that is about to be handed to its pool."""
        attempt_id = id_of(attempt)
        self._by_id[attempt_id] = OpenAttempt(attempt, pool)
        return attempt_id

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has its outcome."""
        del self._by_id[id_of(attempt)]

    def has_request(self, request_id: str, max_attempts: int) -> bool:
        """Whether any of the first `max_attempts` attempts of a request is open."""
        return any(AttemptId(request_id, number) in self._by_id for number in range(max_attempts))

    def abandon(self, attempt_id: AttemptId, status: AttemptStatus) -> None:
        """Stop waiting for an attempt, if it is still open."""
        entry = self._by_id.get(attempt_id)
        if entry is not None:
            entry.pool.abandon(entry.attempt, status)

    def revoke(self, attempt_id: AttemptId) -> None:
        """Stop waiting for an open attempt, and close its connection so that it can't run."""
        entry = self._by_id[attempt_id]
        entry.pool.revoke(entry.attempt)

    def withdraw_unsent(self, request: InFlightRequest) -> None:
        """Withdraw the unsent attempts of a request whose response is decided."""
        for attempt in request.attempts:
            if attempt is request.streamed_attempt:
                continue
            entry = self._by_id.get(id_of(attempt))
            if entry is not None:
                entry.pool.withdraw(attempt)


def id_of(attempt: Attempt) -> AttemptId:
    """Return the id of an attempt."""
    return AttemptId(attempt.request_id, attempt.number)
