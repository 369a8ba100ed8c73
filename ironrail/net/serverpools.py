"""The pools of connections to all servers, as the list of servers has them."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.connections.sharing import LEAST_EACH, Demand, share_out
from ironrail.net.pool import Pool
from ironrail.net.system import Address
from ironrail.policy import interface as api


class ServerPools:
    """One pool for each server that is listed."""

    def __init__(self, make: Callable[[api.ServerEntry, Address], Pool], most_connections: int) -> None:
        """`most_connections`: to all servers together."""
        self.by_name: dict[str, Pool] = {}
        self._make_pool = make
        self._most_connections = most_connections
        self._since: dict[str, float] = {}

    def update(self, news: api.ServerList, addresses: dict[str, Address]) -> None:
        """Discovery has told something of the list of servers."""
        listed = {e.server for e in news.entries if e.state is not api.State.GONE}
        removed = {e.server for e in news.entries} - listed
        if news.kind in (api.ListKind.FULL, api.ListKind.SAVED):
            removed |= self.by_name.keys() - listed
        for name in sorted(removed & self.by_name.keys()):  # in one order, whatever the hashes of names
            self.by_name.pop(name).stop()
            self._since.pop(name)
        for entry in news.entries:
            if entry.server in listed:
                self._update_pool(entry, addresses[entry.server])
        # guards the limit on descriptors: all pools share them
        links = [pool.upstream for pool in self.by_name.values()]
        demands = [Demand(link.wanted if link.streams == 1 else LEAST_EACH, link.wanted) for link in links]
        for link, share in zip(links, share_out(self._most_connections, demands), strict=True):
            link.most = share

    def _update_pool(self, entry: api.ServerEntry, address: Address) -> None:
        pool = self.by_name.get(entry.server)
        if pool is None:
            pool = self.by_name[entry.server] = self._make_pool(entry, address)
        elif entry.since > self._since[entry.server]:
            pool.restart(entry.since)
        self._since[entry.server] = entry.since
        if pool.address != address:
            pool.move(address)
        if entry.state is api.State.READY:
            pool.resume()
        else:
            pool.stop()
