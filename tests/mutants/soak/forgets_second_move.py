"""Goes by the first of two new configurations, if the second comes before discovery is called again."""

from __future__ import annotations

from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.system import Address

FOUND = "drains"
SEED = 5


def break_it() -> None:
    relocate = EndpointWatcher.relocate

    def hasty(self: EndpointWatcher, address: Address) -> None:
        if self._relist_timer is None:
            relocate(self, address)

    EndpointWatcher.relocate = hasty  # type: ignore[method-assign]
