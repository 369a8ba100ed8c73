"""Limits on the number and duration of admin connections. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_SECONDS = 3.0  # for a complete request
RESPONSE_TIMEOUT_SECONDS = 1.0  # for the client to read its response and close


@dataclass(slots=True, eq=False)
class AdminConnection:
    """One connection to the admin endpoint."""

    waiting_since: float  # when it was accepted or, if `answered`, when it was answered
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """A connection that was admitted, and the one to close in exchange, if any."""

    connection: AdminConnection
    evicted: AdminConnection | None


class ConnectionLimit:
    """Tracks open connections, oldest first, and evicts one when there are too many."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._connections: dict[AdminConnection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, connection: AdminConnection) -> bool:
        return connection in self._connections

    def admit(self, now: float) -> Admission:
        """Add a connection; at the limit, evict an answered one, otherwise the oldest.

        This keeps idle connections from blocking the endpoint for others.
        """
        evicted = None
        if len(self._connections) >= self._max_connections:
            evicted = self._eviction_candidate()
            del self._connections[evicted]
        connection = AdminConnection(now)
        self._connections[connection] = None
        return Admission(connection, evicted)

    def _eviction_candidate(self) -> AdminConnection:
        for connection in self._connections:
            if connection.answered:
                return connection
        return next(iter(self._connections))

    def answered(self, now: float, connection: AdminConnection) -> None:
        """Record that the response was sent, which starts `RESPONSE_TIMEOUT_SECONDS`."""
        connection.answered = True
        connection.waiting_since = now

    def remove(self, connection: AdminConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.pop(connection, None)

    def expired(self, now: float) -> list[AdminConnection]:
        """Return the connections past their timeout, to be sent 408 or, if answered, closed."""
        return [
            connection
            for connection in self._connections
            if now - connection.waiting_since >= _timeout_of(connection)
        ]


def _timeout_of(connection: AdminConnection) -> float:
    return RESPONSE_TIMEOUT_SECONDS if connection.answered else REQUEST_TIMEOUT_SECONDS
