"""Makes the connection pool of one server, by the settings and the operator's file."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.net.caches import CacheConnection
from ironrail.net.config import Config
from ironrail.net.connection import Watch
from ironrail.net.origin import OriginConnection
from ironrail.net.pool import Pool
from ironrail.net.system import Address, System
from ironrail.operator_file import Operator
from ironrail.policy import interface as api

ORIGIN_CONNECTIONS = 32


class PoolFactory:
    """Knows what all pools of a router have in common."""

    def __init__(
        self,
        config: Config,
        operator: Operator,
        system: System,
        wrote: Callable[[], None],
        watch: Callable[[str], Watch | None],
    ) -> None:
        """`wrote` is called for each attempt written; `watch` gives the observer of the way to a zone."""
        self._config = config
        self._operator = operator
        self._system = system
        self._wrote = wrote
        self._watch = watch

    def make(self, entry: api.ServerEntry, address: Address) -> Pool:
        """The pool of a server that discovery has told of."""
        settings = self._config.settings
        connections = self._operator.connections
        is_origin = settings.aside and entry.kind == settings.origin_kind
        if is_origin:
            most, streams = ORIGIN_CONNECTIONS, 1
        else:
            most = connections.each(settings.routers)
            streams = min(self._config.streams, connections.depth or self._config.streams)
        return Pool(
            entry.server,
            address,
            OriginConnection if is_origin else CacheConnection,
            most=most,
            streams=streams,
            connect_timeout=settings.connect_timeout,
            idle=settings.connection_idle,
            cost=connections.cost_ms / 1000,
            copies=settings.second_copies,
            system=self._system,
            wrote=self._wrote,
            watch=self._watch(entry.zone),
        )
