"""Membership: the servers of the endpoint list, and how its updates change them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ironrail.policy.actions import Action, FetchEndpointList, LogMessage, SetTimer
from ironrail.policy.discovery_freshness import (
    FAILED_UPDATES,
    RELOCATION_STALENESS_SECONDS,
    DiscoveryFreshness,
)
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate
from ironrail.policy.settings import Settings
from ironrail.policy.state import Server
from ironrail.policy.timers import EndpointListPollDue


@dataclass(slots=True, frozen=True)
class ServerCounts:
    """Counts of the servers in the endpoint list."""

    listed: int
    unavailable: int  # of these, draining or ejected


class Membership:
    """The listed servers; fetches the list again after failures."""

    def __init__(
        self, settings: Settings, draws: random.Random, freshness: DiscoveryFreshness
    ) -> None:
        self._settings = settings
        self._draws = draws
        self._freshness = freshness
        self.servers: dict[str, Server] = {}  # by name; shared, so never replaced

    def count_servers(self, now: float) -> ServerCounts:
        """Count the listed servers, and those of them that are draining or ejected."""
        unavailable = sum(
            server.endpoint.state is not EndpointState.READY or now < server.ejected_until
            for server in self.servers.values()
        )
        return ServerCounts(len(self.servers), unavailable)

    def update(self, now: float, event: EndpointListUpdate, actions: list[Action]) -> bool:
        """Apply an update; return whether it brought endpoints."""
        if event.kind is EndpointListKind.RELOCATED:
            self._freshness.mark_uncertain(now, RELOCATION_STALENESS_SECONDS)
            self._schedule_initial_fetch(actions)
            return False
        if event.kind in FAILED_UPDATES:
            if self._settings.polls_endpoint_list:
                self._retry_fetch(now, event, actions)
            return False
        if event.kind is not EndpointListKind.DELTA:
            self._remove_unlisted({endpoint.name for endpoint in event.endpoints})
        for endpoint in event.endpoints:
            self._apply(endpoint)
        if event.kind is not EndpointListKind.CACHED:
            self._freshness.on_update()
        elif self._settings.polls_endpoint_list:
            self._schedule_initial_fetch(actions)
        return True

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Remove the servers that a full list no longer has."""
        for name in [name for name in self.servers if name not in listed]:
            del self.servers[name]

    def _apply(self, endpoint: Endpoint) -> None:
        """Add, replace or remove one server."""
        known = self.servers.get(endpoint.name)
        if endpoint.state is EndpointState.REMOVED:
            self.servers.pop(endpoint.name, None)
        elif known is None or endpoint.started_at > known.endpoint.started_at:
            # nothing that was learned about the previous process applies to the new one
            is_origin = self._settings.cache_aside and endpoint.kind == self._settings.origin_kind
            self.servers[endpoint.name] = Server(endpoint, is_cache=not is_origin)
        else:
            known.endpoint = endpoint

    def _schedule_initial_fetch(self, actions: list[Action]) -> None:
        """Fetch the list after a random delay, as all routers start or relocate together."""
        self._schedule_fetch(self._freshness.initial_delay(self._draws), actions)

    def _retry_fetch(self, now: float, event: EndpointListUpdate, actions: list[Action]) -> None:
        """Fetch the list again, after the backoff of a failed fetch."""
        delay = self._freshness.on_failure(now, event.kind, self._draws, event.uncertain_for)
        self._schedule_fetch(delay, actions)
        failures = self._freshness.failures
        actions.append(LogMessage(f"list out of reach, {failures} in a row"))

    def _schedule_fetch(self, delay: float, actions: list[Action]) -> None:
        """Fetch the list after a delay in seconds, or now if that is 0."""
        actions.append(SetTimer(delay, EndpointListPollDue()) if delay else FetchEndpointList())
