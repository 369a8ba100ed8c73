"""Detects hold-ups of the process: paused by the system, short of CPU, or busy with one task.

A heartbeat is due every `HEARTBEAT_INTERVAL_SECONDS`. If it is late, data that is read around then
may have waited in the kernel's buffers since the heartbeat before, and due timers fired late.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_SECONDS = 0.02
# Events that need some turns of the event loop to be noticed may date from a hold-up for so long.
SETTLING_SECONDS = 0.02
TOLERANCE_SECONDS = 0.01  # by which a heartbeat may be late in ordinary operation


@dataclass(frozen=True, slots=True)
class HoldUp:
    """A period in which the process did not run, in seconds on the monotonic clock."""

    since: float  # the last heartbeat before it
    until: float  # the late heartbeat

    @property
    def seconds(self) -> float:
        """Return its maximal length: it may have begun up to a heartbeat later."""
        return self.until - self.since


class HoldUpDetector:
    """Follows the heartbeat of one event loop.

    Attributes:
        count: Hold-ups since the start.
        longest: Length of the longest, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._last_beat = now
        self._unread: HoldUp | None = None  # data of that time may be unread
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
        """Return when data that is read at `now` may have arrived at the earliest."""
        if self._unread is not None:
            return self._unread.since
        return self._last_beat if self._overdue(now) else now

    def earliest_event(self, now: float) -> float:
        """Return the same for events that are noticed some turns of the event loop later.

        These are signals and the first bytes of a connection.
        """
        latest = self._latest
        if latest is not None and now - latest.until < SETTLING_SECONDS:
            return latest.since
        return self.earliest_arrival(now)

    def _overdue(self, now: float) -> bool:
        return now - self._last_beat > HEARTBEAT_INTERVAL_SECONDS + TOLERANCE_SECONDS
