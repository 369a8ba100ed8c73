"""The list of servers: what is known of each, and what its news change."""

from __future__ import annotations

import random

from ironrail.policy.actions import Action, FetchEndpointList, LogMessage, SetTimer
from ironrail.policy.discovery_freshness import NO_LIST, UNTOLD_MOVED, DiscoveryFreshness
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate
from ironrail.policy.settings import Settings
from ironrail.policy.state import Server
from ironrail.policy.timers import EndpointListPollDue


class Membership:
    """The servers that were told of."""

    def __init__(
        self, settings: Settings, draws: random.Random, asking: DiscoveryFreshness
    ) -> None:
        self._settings, self._draws, self._asking = settings, draws, asking
        self.servers: dict[str, Server] = {}  # the same one for good

    def server_counts(self, now: float) -> tuple[int, int]:
        """Servers in the list, and those that nothing is sent to now: drained, or lost not long ago."""
        ready = EndpointState.READY
        avoided = sum(
            s.endpoint.state is not ready or now < s.ejected_until for s in self.servers.values()
        )
        return len(self.servers), avoided

    def take(self, now: float, event: EndpointListUpdate, out: list[Action]) -> bool:
        """Whether there is a list, and not only word that none came or that it is told elsewhere."""
        if (
            event.kind is EndpointListKind.RELOCATED
        ):  # guards whoever tells it: all routers hear of that at once
            self._asking.missed(now, UNTOLD_MOVED)
            self._ask_first(out)
            return False
        if event.kind in NO_LIST:
            if self._settings.polls_endpoint_list:
                pause = self._asking.failed(now, event.kind, self._draws, event.uncertain_for)
                out.append(SetTimer(pause, EndpointListPollDue()) if pause else FetchEndpointList())
                out.append(LogMessage(f"list out of reach, {self._asking.failures} in a row"))
            return False
        if event.kind is not EndpointListKind.DELTA:
            names = {e.name for e in event.endpoints}
            for name in [name for name in self.servers if name not in names]:
                del self.servers[name]
        for entry in event.endpoints:
            self._learn(entry)
        if event.kind is not EndpointListKind.CACHED:
            self._asking.told()
        elif self._settings.polls_endpoint_list:
            self._ask_first(out)
        return True

    def _learn(self, entry: Endpoint) -> None:
        known = self.servers.get(entry.name)
        if entry.state is EndpointState.REMOVED:
            self.servers.pop(entry.name, None)
        elif (
            known is None or entry.started_at > known.endpoint.started_at
        ):  # a new process: nothing learned holds
            origin = self._settings.cache_aside and entry.kind == self._settings.origin_kind
            self.servers[entry.name] = Server(entry, not origin)
        else:
            known.endpoint = entry

    def _ask_first(self, out: list[Action]) -> None:
        pause = self._asking.first(self._draws)
        out.append(SetTimer(pause, EndpointListPollDue()) if pause else FetchEndpointList())
