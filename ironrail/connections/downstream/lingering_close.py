"""Limits on connections that are shut down for writing and not yet closed.

Closing a socket with unread input resets the connection, which discards responses that are still
in transit. Such connections linger until the client has closed its end.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)

LINGER_SECONDS = 1.0
"""Time for the client to close first; by then it has read the response or never will."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes read and dropped on one lingering connection; more would only cost CPU."""


class LingeringCloseRegistry(Generic[Connection]):
    """Lingering connections, limited in number as each holds a descriptor."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connections: dict[Connection, None] = {}  # the oldest is first

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, connection: object) -> bool:
        return connection in self._connections

    def add(self, connection: Connection) -> Connection | None:
        """Add a connection, and return the one to be closed at once if there are too many."""
        self._connections[connection] = None
        if len(self._connections) <= self.max_connections:
            return None
        oldest = next(iter(self._connections))
        del self._connections[oldest]
        return oldest

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        self._connections.pop(connection, None)
