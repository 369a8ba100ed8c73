"""The connection pools of all servers in the endpoint list."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.connections.upstream.socket_budget import (
    MIN_CONNECTIONS_PER_SERVER,
    SocketDemand,
    share_sockets,
)
from ironrail.net.containment import run_contained
from ironrail.net.system import Address
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate


class PoolRegistry:
    """The pools by server name, which share the router's file descriptors.

    Args:
        make_pool: Makes the pool of a server.
        max_connections: Limit on the connections to all servers together.

    Attributes:
        by_name: The pools of the servers in the endpoint list.
        removed: The pools of other servers whose last replies are awaited.
    """

    def __init__(
        self, make_pool: Callable[[Endpoint, Address], ConnectionPool], max_connections: int
    ) -> None:
        self.by_name: dict[str, ConnectionPool] = {}
        self.removed: list[ConnectionPool] = []
        self._make_pool = make_pool
        self._max_connections = max_connections
        self._started_at: dict[str, float] = {}

    def update(self, update: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        """Create, update and stop pools after an update of the endpoint list."""
        listed = {e.name for e in update.endpoints if e.state is not EndpointState.REMOVED}
        removed = {e.name for e in update.endpoints} - listed
        if update.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            removed |= self.by_name.keys() - listed
        # sorted, so that the order does not depend on hashes
        for name in sorted(removed & self.by_name.keys()):
            pool = self.by_name.pop(name)
            pool.stop()
            self.removed.append(pool)
            self._started_at.pop(name)
        for endpoint in update.endpoints:
            if endpoint.name in listed:
                self._update_pool(endpoint, addresses[endpoint.name])
        self._share_sockets()

    def expire(self) -> None:
        """End the connections whose timeouts have expired, also those to removed servers."""
        for pool in [*self.by_name.values(), *self.removed]:
            run_contained("expire idle connections", pool.expire)
        self.removed = [pool for pool in self.removed if len(pool.manager.state)]

    def _update_pool(self, endpoint: Endpoint, address: Address) -> None:
        name = endpoint.name
        pool = self.by_name.get(name)
        if pool is None:
            pool = self._make_pool(endpoint, address)
            self.by_name[name] = pool
        elif endpoint.started_at > self._started_at[name]:
            pool.on_server_restarted(endpoint.started_at)
        self._started_at[name] = endpoint.started_at
        if pool.address != address:
            pool.move_to(address)
        if endpoint.state is EndpointState.READY:
            pool.resume()
        else:
            pool.stop()

    def _share_sockets(self) -> None:
        states = [pool.manager.state for pool in self.by_name.values()]
        demands = []
        for state in states:
            is_single = state.max_streams == 1  # each connection less is a request in flight less
            minimum = state.wanted_connections if is_single else MIN_CONNECTIONS_PER_SERVER
            demands.append(SocketDemand(minimum, state.wanted_connections))
        shares = share_sockets(self._max_connections, demands)
        for state, share in zip(states, shares, strict=True):
            state.max_connections = share
