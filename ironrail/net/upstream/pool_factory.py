"""Makes connection pools from the settings and the operator's file."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.connections.upstream.pool_settings import PoolSettings
from ironrail.diagnostics.counters import ReasonCounter
from ironrail.net.config import Config
from ironrail.net.system import Address, System
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection import LinkObserver
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.operator_file import OperatorSettings
from ironrail.policy.endpoints import Endpoint

MAX_ORIGIN_CONNECTIONS = 32
MILLISECONDS_PER_SECOND = 1000


class PoolFactory:
    """Makes the connection pool of a server, with the settings that all pools share.

    Args:
        config: Configuration of the router.
        operator: Settings of the operator's file.
        system: Provides the clock and the sockets.
        on_written: Called for each attempt that is written.
        link_observer_of: Returns the observer of the link to a zone.
        connect_failures: Counts the connects that failed, by reason.
    """

    def __init__(
        self,
        config: Config,
        operator: OperatorSettings,
        system: System,
        on_written: Callable[[], None],
        link_observer_of: Callable[[str], LinkObserver | None],
        connect_failures: ReasonCounter,
    ) -> None:
        self._config = config
        self._operator = operator
        self._system = system
        self._on_written = on_written
        self._link_observer_of = link_observer_of
        self._connect_failures = connect_failures

    def make(self, endpoint: Endpoint, address: Address) -> ConnectionPool:
        """Make the pool of a server in the endpoint list."""
        settings = self._config.settings
        limits = self._operator.connections
        is_origin = settings.cache_aside and endpoint.kind == settings.origin_kind
        if is_origin:
            max_connections = MAX_ORIGIN_CONNECTIONS
            max_streams = 1
        else:
            max_connections = limits.limit_per_router(settings.router_count)
            max_streams = min(
                self._config.max_streams, limits.max_in_flight or self._config.max_streams
            )
        return ConnectionPool(
            endpoint.name,
            address,
            OriginConnection if is_origin else CacheConnection,
            PoolSettings(
                max_connections,
                max_streams,
                settings.connection_idle_timeout,
                limits.connect_cost_milliseconds / MILLISECONDS_PER_SECOND,
                settings.hedging_allowed,
            ),
            connect_timeout=settings.connect_timeout,
            system=self._system,
            on_written=self._on_written,
            link_observer=self._link_observer_of(endpoint.zone),
            connect_failures=self._connect_failures,
        )
