"""Limits on connections that are shut down for writing and not yet closed.

Closing a socket with unread input resets the connection, which discards responses that are still
in transit. Such connections linger until the client has closed its end.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
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

    def add(
        self, connection: Connection, is_done: Callable[[Connection], bool] = lambda _: False
    ) -> Connection | None:
        """Add a connection, and return the one to be closed at once if there are too many.

        That is the oldest one whose client's system has all responses (`is_done`), or the oldest.
        """
        others = list(self._connections)
        self._connections[connection] = None
        if len(self._connections) <= self.max_connections:
            return None
        oldest = next(iter(self._connections))
        surplus = next(filter(is_done, others), oldest)
        del self._connections[surplus]
        return surplus

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        self._connections.pop(connection, None)
