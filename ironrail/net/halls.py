"""The map of latency between halls: what this router sees goes in, what it decides by out."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ironrail.door.calls import Page
from ironrail.peers.latency.room import LatencyRoom

if TYPE_CHECKING:
    from ironrail.net.here import Here


class HallsMap:
    """One router's part in the map."""

    def __init__(self, here: Here, go_on: Callable[[], None]) -> None:
        """`go_on`: sends what the room says."""
        self._system, self._go_on = here.system, go_on
        names, hall_of = here.numbered()
        self.room = LatencyRoom(here.system.now(), here.me, here.start, names, hall_of, here.draws)

    def settled(self) -> None:
        """After each event."""

    def pages(self) -> dict[str, Page]:
        return {}

    def close(self) -> None:
        """Nothing is held."""
