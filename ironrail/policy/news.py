"""The list of servers: what is known of each, and what its news change."""

from __future__ import annotations

import random

from ironrail.policy import interface as api
from ironrail.policy.asking import NO_LIST, UNTOLD_MOVED, Asking
from ironrail.policy.state import Server


class News:
    """The servers that were told of."""

    def __init__(self, settings: api.Settings, draws: random.Random, asking: Asking) -> None:
        self._settings, self._draws, self._asking = settings, draws, asking
        self.servers: dict[str, Server] = {}  # the same one for good

    def listed(self, now: float) -> tuple[int, int]:
        """Servers in the list, and those that nothing is sent to now: drained, or lost not long ago."""
        ready = api.State.READY
        avoided = sum(s.entry.state is not ready or now < s.trial_at for s in self.servers.values())
        return len(self.servers), avoided

    def take(self, now: float, event: api.ServerList, out: list[api.Action]) -> bool:
        """Whether there is a list, and not only word that none came or that it is told elsewhere."""
        if event.kind is api.ListKind.MOVED:  # guards whoever tells it: all routers hear of that at once
            self._asking.missed(now, UNTOLD_MOVED)
            self._ask_first(out)
            return False
        if event.kind in NO_LIST:
            if self._settings.subscribe:
                pause = self._asking.failed(now, event.kind, self._draws, event.unsure)
                out.append(api.SetTimer(pause, "list") if pause else api.Subscribe())
                out.append(api.Log(f"list out of reach, {self._asking.failures} in a row"))
            return False
        if event.kind is not api.ListKind.DELTA:
            names = {e.server for e in event.entries}
            for name in [name for name in self.servers if name not in names]:
                del self.servers[name]
        for entry in event.entries:
            self._learn(entry)
        if event.kind is not api.ListKind.SAVED:
            self._asking.told()
        elif self._settings.subscribe:
            self._ask_first(out)
        return True

    def _learn(self, entry: api.ServerEntry) -> None:
        known = self.servers.get(entry.server)
        if entry.state is api.State.GONE:
            self.servers.pop(entry.server, None)
        elif known is None or entry.since > known.entry.since:  # a new process: nothing learned holds
            origin = self._settings.aside and entry.kind == self._settings.origin_kind
            self.servers[entry.server] = Server(entry, not origin)
        else:
            known.entry = entry

    def _ask_first(self, out: list[api.Action]) -> None:
        pause = self._asking.first(self._draws)
        out.append(api.SetTimer(pause, "list") if pause else api.Subscribe())
