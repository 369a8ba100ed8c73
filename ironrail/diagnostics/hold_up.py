"""Tells when the process was held up: paused by the system, short of CPU, or busy for long with one thing.

A heartbeat is due every `HEARTBEAT_INTERVAL_SECONDS`. Where it comes late, whatever is read around then may
have been waiting in the system's buffers since the heartbeat before, and timers that were due fired late.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_SECONDS = 0.02
SETTLING_SECONDS = 0.02  # after a hold-up, in which what takes some turns of the loop is noticed
TOLERANCE_SECONDS = 0.01  # by which a heartbeat may be late in ordinary service


@dataclass(frozen=True, slots=True)
class HoldUp:
    """A time in which the process did not run. Seconds on the monotonic clock."""

    since: float  # the last sign of life before it
    until: float  # when it was noticed

    @property
    def seconds(self) -> float:
        """Its length at most: it may have begun up to a heartbeat later."""
        return self.until - self.since


class HoldUpDetector:
    """Follows the heartbeat of one event loop."""

    def __init__(self, now: float) -> None:
        self._last_beat = now
        self._unread: HoldUp | None = None  # what came in it may not be read yet
        self._latest: HoldUp | None = None
        self.count = 0
        self.longest = 0.0  # seconds

    def beat(self, now: float) -> HoldUp | None:
        """A heartbeat has come; answers with the hold-up that it ends, if it is late."""
        hold_up = None
        if self._overdue(now):
            hold_up = HoldUp(self._last_beat, now)
            self._unread = self._latest = hold_up
            self.count += 1
            self.longest = max(self.longest, hold_up.seconds)
        self._last_beat = now
        return hold_up

    def caught_up(self, hold_up: HoldUp) -> None:
        """All that came during a hold-up has been read."""
        if self._unread is hold_up:
            self._unread = None

    def earliest_arrival(self, now: float) -> float:
        """The earliest moment at which something that is read at `now` may have come."""
        if self._unread is not None:
            return self._unread.since
        return self._last_beat if self._overdue(now) else now

    def earliest_event(self, now: float) -> float:
        """The same of what is noticed some turns later: a signal, the first bytes of a connection."""
        latest = self._latest
        if latest is not None and now - latest.until < SETTLING_SECONDS:
            return latest.since
        return self.earliest_arrival(now)

    def _overdue(self, now: float) -> bool:
        return now - self._last_beat > HEARTBEAT_INTERVAL_SECONDS + TOLERANCE_SECONDS
