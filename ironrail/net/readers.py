"""Regions of readers: what this router sees of them goes in, rows of steering come out; decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ironrail.door.calls import Page
from ironrail.net.here import Here
from ironrail.peers.regions.regions import Regions
from ironrail.peers.regions.room import RegionsRoom


class Readers:
    """One router's part in what is known of regions."""

    def __init__(
        self,
        here: Here,
        named: Mapping[str, Sequence[str]],
        classes: Sequence[str],
        go_on: Callable[[], None],
    ) -> None:
        """`named`: address ranges of each region; `go_on`: sends what the room says."""
        self._system, self._go_on = here.system, go_on
        names, hall_of = here.numbered()
        self.regions = Regions(named)
        self.room = RegionsRoom(
            here.system.now(), here.me, here.start, self.regions, names, hall_of, classes, here.draws
        )

    def settled(self) -> None:
        """After each event."""

    def pages(self) -> dict[str, Page]:
        return {}

    def close(self) -> None:
        """Nothing is held."""
