"""Settings of the connections to one server."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.connections.upstream.connection_opener import CONNECTION_COST_SECONDS


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits and costs of the connections to one server."""

    max_connections: int  # at once
    max_streams: int  # attempts in flight on one connection
    server_idle_timeout: float  # seconds after which the server closes an idle connection
    connection_cost: float = CONNECTION_COST_SECONDS  # of a new connection to the server
    hedging_allowed: bool = True  # a request may have several attempts in flight
