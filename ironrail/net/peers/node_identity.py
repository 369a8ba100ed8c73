"""The identity of this router within its peer group, passed to each peer component."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ironrail.net.system import System


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """This router's index, process incarnation and zone table.

    Attributes:
        own_index: This router's index among all routers.
        incarnation: Identifier of this process.
        system: Clocks and sockets.
        zones: The zone of each router, by router index.
        rng: Source of randomness for the protocols.
    """

    own_index: int
    incarnation: int
    system: System
    zones: tuple[str, ...]
    rng: random.Random

    def zone_indices(self) -> tuple[list[str], list[int]]:
        """Return the distinct zones, sorted, and the index of each router's zone in them.

        The order is the same on every router.
        """
        names = sorted(set(self.zones))
        return names, [names.index(zone) for zone in self.zones]
