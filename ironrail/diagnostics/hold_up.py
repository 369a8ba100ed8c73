"""Detects hold-ups of the process: paused by the system, short of CPU, or busy with one task.

A heartbeat is due every `HEARTBEAT_INTERVAL_SECONDS`. If it is late, data that is read around that
time may have been in the kernel's buffers since the previous heartbeat, and due timers fired late.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_SECONDS = 0.02
# Events that need several iterations of the event loop to be noticed may date from a hold-up that
# ended up to this long ago.
SETTLING_SECONDS = 0.02
TOLERANCE_SECONDS = 0.01  # how late a heartbeat may be in normal operation


@dataclass(frozen=True, slots=True)
class HoldUp:
    """A period in which the process did not run, in seconds on the monotonic clock."""

    since: float  # time of the last heartbeat before it
    until: float  # time of the late heartbeat

    @property
    def seconds(self) -> float:
        """Maximum duration; the actual start may be up to one heartbeat interval later."""
        return self.until - self.since


class HoldUpDetector:
    """Tracks the heartbeat of one event loop.

    Attributes:
        count: Number of hold-ups since the start.
        longest: Duration of the longest hold-up in seconds.
    """

    def __init__(self, now: float) -> None:
        self._last_beat = now
        self._unread: HoldUp | None = None  # data that arrived during it may be unread
        self._latest: HoldUp | None = None
        self.count = 0
        self.longest = 0.0

    def beat(self, now: float) -> HoldUp | None:
        """Record a heartbeat; return the hold-up that it ends, if it is late."""
        hold_up = None
        if self._overdue(now):
            hold_up = HoldUp(self._last_beat, now)
            self._unread = hold_up
            self._latest = hold_up
            self.count += 1
            self.longest = max(self.longest, hold_up.seconds)
        self._last_beat = now
        return hold_up

    def caught_up(self, hold_up: HoldUp) -> None:
        """Record that all data that arrived during a hold-up has been read."""
        if self._unread is hold_up:
            self._unread = None

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest arrival time of data that is read at `now`."""
        if self._unread is not None:
            return self._unread.since
        return self._last_beat if self._overdue(now) else now

    def earliest_event(self, now: float) -> float:
        """Return the earliest time of an event that is noticed several event loop iterations later.

        Such events are signals and the first bytes of a connection.
        """
        latest = self._latest
        if latest is not None and now - latest.until < SETTLING_SECONDS:
            return latest.since
        return self.earliest_arrival(now)

    def _overdue(self, now: float) -> bool:
        return now - self._last_beat > HEARTBEAT_INTERVAL_SECONDS + TOLERANCE_SECONDS
