"""Latency of the links to other zones, as an additional criterion for choosing a server.

While no link is known, no decision depends on it. A zone without data, while others have some, is
taken to be as far as the farthest zone that is reachable.
"""

from __future__ import annotations

import math

from ironrail.policy.events import AttemptEnded, LinkState, ZoneLinksChanged
from ironrail.policy.state import SERVED_STATUSES, SMOOTHING_FACTOR, Attempt, Server

SUSPECTED_STATES = (LinkState.SLOW, LinkState.CUT)


class ZoneLatency:
    """The latest state and round trip of the link to each zone."""

    def __init__(self) -> None:
        self.has_links = False
        self._states: dict[str, LinkState] = {}  # by zone
        self._round_trips: dict[str, float] = {}  # seconds, by zone; infinite where cut
        self._longest_round_trip = 0.0  # of links that are not cut

    def update(self, event: ZoneLinksChanged) -> None:
        """Replace all links by those of the event."""
        known = {
            zone: link
            for zone, link in event.links.items()
            if link.median < math.inf or link.state is LinkState.CUT
        }
        self._states = {zone: link.state for zone, link in known.items()}
        self._round_trips = {zone: link.median for zone, link in known.items()}
        finite = [seconds for seconds in self._round_trips.values() if seconds < math.inf]
        self._longest_round_trip = max(finite, default=0.0)
        self.has_links = bool(known)

    def is_cut(self, server: Server) -> bool:
        """Return whether the link is cut: new attempts go there only as a last resort."""
        return self._states.get(server.endpoint.zone) is LinkState.CUT

    def is_suspected(self, server: Server) -> bool:
        """Return whether the link is slow or cut: no hedged request goes there."""
        return self._states.get(server.endpoint.zone) in SUSPECTED_STATES

    def round_trip(self, server: Server) -> float:
        """Return the seconds of a round trip; 0 while no link is known."""
        return self._round_trips.get(server.endpoint.zone, self._longest_round_trip)

    def expected_delay(self, server: Server) -> float:
        """Return the seconds by which the link may delay an answer; 0 for a suspected link."""
        return 0.0 if self.is_suspected(server) else self.round_trip(server)

    def is_too_far(self, server: Server, time_left: float) -> bool:
        """Return whether only the round trip makes an answer too late."""
        service_time = server.service_time
        return service_time <= time_left < service_time + self.round_trip(server)

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn a server's service time, without the round trip at the time of the attempt."""
        server = attempt.server
        if not self.has_links or not server.is_cache or event.status not in SERVED_STATUSES:
            return
        if attempt.round_trip == math.inf:
            return
        service_time = max(0.0, event.latency - attempt.round_trip)
        if server.service_time:
            server.service_time += SMOOTHING_FACTOR * (service_time - server.service_time)
        else:
            server.service_time = service_time
