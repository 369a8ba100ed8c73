"""What the links to other halls bear, as the map of latency has it: a further reason to go on clockwise.

Without the event, or while it knows of no link, nothing here moves a decision. A hall that is not known while
others are is taken to be as far as the farthest of those: unknown is not near.
"""

from __future__ import annotations

import math

from ironrail.policy.events import AttemptEnded, AttemptStatus, LinkState, ZoneLinksChanged
from ironrail.policy.state import SMOOTHING_FACTOR, Attempt, Server

SUSPECTED = (LinkState.SLOW, LinkState.CUT)
SERVED = (AttemptStatus.OK, AttemptStatus.MISS)


class ZoneLatency:
    """The latest word on each hall."""

    def __init__(self) -> None:
        self.known = False  # of any link
        self._states: dict[str, LinkState] = {}  # by zone
        self._trips: dict[str, float] = {}  # seconds there and back; infinite where cut
        self._farthest = 0.0  # of those that are not cut

    def follow(self, event: ZoneLinksChanged) -> None:
        """Decide by this from now on."""
        cut = LinkState.CUT
        told = {z: k for z, k in event.links.items() if k.median < math.inf or k.state is cut}
        self._states = {zone: link.state for zone, link in told.items()}
        self._trips = {zone: link.median for zone, link in told.items()}
        self._farthest = max(
            (trip for trip in self._trips.values() if trip < math.inf), default=0.0
        )
        self.known = bool(told)

    def cut(self, server: Server) -> bool:
        """Whether nothing new goes there while there is another place."""
        return self._states.get(server.endpoint.zone) is LinkState.CUT

    def suspected(self, server: Server) -> bool:
        """Whether no second copy goes there."""
        return self._states.get(server.endpoint.zone) in SUSPECTED

    def trip(self, server: Server) -> float:
        """Seconds of a round trip; 0 while nothing is known of any link."""
        return self._trips.get(server.endpoint.zone, self._farthest)

    def adds(self, server: Server) -> float:
        """Seconds that an answer may be later for the link's sake: none more for one that is suspected."""
        return 0.0 if self.suspected(server) else self.trip(server)

    def too_far(self, server: Server, left: float) -> bool:
        """Whether the link is why an answer can't be back: without it, it would be."""
        return server.service_time <= left < server.service_time + self.trip(server)

    def learn(self, attempt: Attempt, event: AttemptEnded) -> None:
        """How long a server takes, without the way there and back as it was when it was asked."""
        server, took = attempt.server, max(0.0, event.latency - attempt.round_trip)
        if (
            self.known
            and server.is_cache
            and event.status in SERVED
            and attempt.round_trip < math.inf
        ):
            server.service_time += (
                SMOOTHING_FACTOR * (took - server.service_time) if server.service_time else took
            )
