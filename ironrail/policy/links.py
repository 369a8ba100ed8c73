"""What the links to other halls bear, as the map of latency has it: a further reason to go on clockwise.

Without the event, or while it knows of no link, nothing here moves a decision. A hall that is not known while
others are is taken to be as far as the farthest of those: unknown is not near.
"""

from __future__ import annotations

import math

from ironrail.policy import interface as api
from ironrail.policy.state import SMOOTHING, Attempt, Server

SUSPECTED = (api.LinkState.SLOW, api.LinkState.CUT)
SERVED = (api.Status.OK, api.Status.MISS)


class Links:
    """The latest word on each hall."""

    def __init__(self) -> None:
        self.known = False  # of any link
        self._links: dict[str, api.HallLink] = {}
        self._farthest = 0.0  # seconds of a round trip, of those that are known

    def follow(self, event: api.Halls) -> None:
        """Decide by this from now on."""
        told = event.links.items()
        self._links = {z: k for z, k in told if k.typical < math.inf or k.state is api.LinkState.CUT}
        self.known = bool(self._links)
        there = [link.typical for link in self._links.values() if link.typical < math.inf]
        self._farthest = max(there, default=0.0)

    def cut(self, server: Server) -> bool:
        """Whether nothing new goes there while there is another place."""
        link = self._links.get(server.entry.zone)
        return link is not None and link.state is api.LinkState.CUT

    def suspected(self, server: Server) -> bool:
        """Whether no second copy goes there."""
        link = self._links.get(server.entry.zone)
        return link is not None and link.state in SUSPECTED

    def trip(self, server: Server) -> float:
        """Seconds of a round trip; 0 while nothing is known of any link."""
        link = self._links.get(server.entry.zone)
        return self._farthest if link is None else link.typical

    def adds(self, server: Server) -> float:
        """Seconds that an answer may be later for the link's sake: none more for one that is suspected."""
        return 0.0 if self.suspected(server) else self.trip(server)

    def too_far(self, server: Server, left: float) -> bool:
        """Whether the link is why an answer can't be back: without it, it would be."""
        return server.takes <= left < server.takes + self.trip(server)

    def learn(self, attempt: Attempt, event: api.Outcome) -> None:
        """How long a server takes, without the way there and back as it was when it was asked."""
        server, took = attempt.server, max(0.0, event.latency - attempt.trip)
        if self.known and server.cache and event.status in SERVED and attempt.trip < math.inf:
            server.takes += SMOOTHING * (took - server.takes) if server.takes else took
