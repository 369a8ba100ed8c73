"""Makes the connection pool of one server, by the settings and the operator's file."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.net.config import Config
from ironrail.net.system import Address, System
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection import LinkObserver
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.net.upstream.origin_connection import OriginConnection
from ironrail.operator_file import OperatorSettings
from ironrail.policy.endpoints import Endpoint

ORIGIN_CONNECTIONS = 32


class PoolFactory:
    """Knows what all pools of a router have in common."""

    def __init__(
        self,
        config: Config,
        operator: OperatorSettings,
        system: System,
        wrote: Callable[[], None],
        watch: Callable[[str], LinkObserver | None],
    ) -> None:
        """`wrote` is called for each attempt written; `watch` gives the observer of the way to a zone."""
        self._config = config
        self._operator = operator
        self._system = system
        self._wrote = wrote
        self._watch = watch

    def make(self, entry: Endpoint, address: Address) -> ConnectionPool:
        """The pool of a server that discovery has told of."""
        settings = self._config.settings
        connections = self._operator.connections
        is_origin = settings.cache_aside and entry.kind == settings.origin_kind
        if is_origin:
            most, streams = ORIGIN_CONNECTIONS, 1
        else:
            most = connections.limit_per_router(settings.router_count)
            streams = min(
                self._config.max_streams, connections.max_in_flight or self._config.max_streams
            )
        return ConnectionPool(
            entry.name,
            address,
            OriginConnection if is_origin else CacheConnection,
            most=most,
            streams=streams,
            connect_timeout=settings.connect_timeout,
            idle=settings.connection_idle_timeout,
            cost=connections.connect_cost_milliseconds / 1000,
            copies=settings.hedging_allowed,
            system=self._system,
            wrote=self._wrote,
            watch=self._watch(entry.zone),
        )
