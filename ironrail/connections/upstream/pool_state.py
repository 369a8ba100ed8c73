"""The connections to one server, the attempts that wait for one, and their limits."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from ironrail.connections.upstream.connection import Attempt, ConnectionState, UpstreamConnection
from ironrail.connections.upstream.pool_settings import PoolSettings


class PoolState:
    """The existing connections, and the attempts that are not written yet.

    Args:
        address: The address for new connections.
        settings: Limits and costs.
    """

    def __init__(self, address: Hashable, settings: PoolSettings) -> None:
        self.address = address
        self.wanted_connections = settings.max_connections
        self.max_connections = settings.max_connections  # as far as descriptors allow
        self.max_streams = settings.max_streams
        self.hedging_allowed = settings.hedging_allowed
        self.is_ready = True  # attempts may be sent; False for a draining or removed server
        self.connecting: dict[UpstreamConnection, None] = {}
        self.connected: dict[UpstreamConnection, None] = {}
        self.idle: list[UpstreamConnection] = []  # the most recently used is last
        self.waiting: deque[Attempt] = deque()  # not written yet, the oldest first

    def __len__(self) -> int:
        return len(self.connected) + len(self.connecting)

    def add_connecting(self, connection: UpstreamConnection) -> None:
        """Add a connection that is being opened."""
        self.connecting[connection] = None

    def mark_connected(self, connection: UpstreamConnection) -> None:
        """Make a connection available that was opened."""
        del self.connecting[connection]
        self.connected[connection] = None
        connection.state = ConnectionState.OPEN

    def remove_failed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that could not be opened."""
        del self.connecting[connection]
        connection.state = ConnectionState.CLOSED

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is ending; it may have been removed before."""
        self.connected.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        connection.state = ConnectionState.CLOSED

    @property
    def unserved_count(self) -> int:
        """Waiting attempts minus connections being opened; negative if there are more of these."""
        return len(self.waiting) - len(self.connecting)

    def has_capacity(self) -> bool:
        """Whether the limit allows one more connection."""
        return len(self) < self.max_connections
