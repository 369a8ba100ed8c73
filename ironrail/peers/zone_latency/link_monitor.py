"""Monitors all links from this router's zone, and separates its own delays from those of links.

Round trips that are late to all zones at once were delayed in this router: the least excess among
the zones that answered within a second is subtracted from every sample. Losses count only while
some zone answers. Does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.peers.zone_latency.link_tracker import LinkTracker, MeasuredLinkState

LOCAL_DELAY_SECONDS = 1.0  # samples of several zones within it share this router's delay
MIN_OTHER_ZONES = 2  # with the same fault, for it to be this router's; its own zone alone suffices
RECENT_REPLY_SECONDS = 0.25  # a reply of any zone within this time shows that a loss is the link's
# beyond the round trip; most servers answer sooner, or answer another request meanwhile
MIN_SILENCE_SECONDS = 0.4


class LinkMonitor:
    """Trackers of the links from this router's zone, by the number of the other zone.

    Attributes:
        trackers: By zone number.
        invalid_durations: Number of durations that were not positive and finite.
    """

    def __init__(
        self, own_zone: int, is_suspected: Callable[[float, int], bool] = lambda now, zone: False
    ) -> None:
        """Initialize a monitor without any samples.

        Args:
            own_zone: Number of this router's zone.
            is_suspected: Called with the time and a zone. Returns whether another router of this
                zone lately reported the link to that zone slow or cut.
        """
        self._own_zone, self._is_suspected = own_zone, is_suspected
        self.trackers: dict[int, LinkTracker] = {}
        self.invalid_durations = 0

    def record_round_trip(self, now: float, zone: int, seconds: float) -> int | None:
        """Record a measured round trip. Returns the zone if one of its windows has ended."""
        if not 0.0 < seconds < math.inf:
            self.invalid_durations += 1
            return None
        closed = self._close_window_if_due(now, zone)
        self.trackers[zone].record_round_trip(now, seconds)
        return closed

    def record_loss(self, now: float, zone: int) -> int | None:
        """Record a missing answer. Returns the zone if one of its windows has ended."""
        closed = self._close_window_if_due(now, zone)
        self.trackers[zone].record_loss(now)
        return closed

    def record_reply(self, now: float, zone: int) -> int | None:
        """Record an untimed reply. Returns the zone if one of its windows has ended."""
        closed = self._close_window_if_due(now, zone)
        self.trackers[zone].record_reply(now)
        return closed

    def record_silence(self, now: float, zone: int, seconds: float) -> int | None:
        """Record that nothing arrived for some seconds: a loss if round trip and work take less.

        Returns the zone if one of its windows has ended.
        """
        baseline = self.trackers[zone].baseline if zone in self.trackers else math.inf
        return (
            self.record_loss(now, zone)
            if seconds >= MIN_SILENCE_SECONDS + (baseline if baseline < math.inf else 0.0)
            else None
        )

    def close_due_windows(self, now: float) -> list[int]:
        """End the windows that are over, and return their zones."""
        due = [zone for zone, tracker in self.trackers.items() if tracker.window_ends_at <= now]
        return [zone for zone in due if self._close_window_if_due(now, zone) is not None]

    def next_window_end(self) -> float:
        """Return when the next window ends, infinite if none is open."""
        return min((tracker.window_ends_at for tracker in self.trackers.values()), default=math.inf)

    def state(self, zone: int) -> MeasuredLinkState:
        """Return the state of the link to a zone."""
        return self.trackers[zone].state if zone in self.trackers else MeasuredLinkState.UNKNOWN

    def _close_window_if_due(self, now: float, zone: int) -> int | None:
        tracker = self.trackers.get(zone)
        if tracker is None:
            tracker = self.trackers[zone] = LinkTracker()
        if now < tracker.window_ends_at:
            return None
        is_suspected = tracker.is_near_fault and self._is_suspected(now, zone)
        tracker.close_window(
            now, self._local_delay(now, zone), self._is_isolated(now, zone), is_suspected
        )
        return zone

    def _local_delay(self, now: float, zone: int) -> float:
        """Return the seconds of delay on all other links, 0 if too few of them are known."""
        excesses = {
            z: t.excess_seconds
            for z, t in self.trackers.items()
            if z != zone and now - t.round_trip_at <= LOCAL_DELAY_SECONDS
        }
        if len(excesses) >= MIN_OTHER_ZONES or self._own_zone in excesses:
            return max(0.0, min(excesses.values()))
        return 0.0

    def _is_isolated(self, now: float, zone: int) -> bool:
        """Return whether no other zone answers either, as if this router itself is cut off."""
        others = [(z, t) for z, t in self.trackers.items() if z != zone]
        replied_at = max((t.reply_at for _, t in others), default=-math.inf)
        if now - replied_at <= RECENT_REPLY_SECONDS:
            return False
        silent = [z for z, t in others if t.lost_at > replied_at]
        return len(silent) >= MIN_OTHER_ZONES or self._own_zone in silent
