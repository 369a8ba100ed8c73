"""Heartbeat of the event loop: detects hold-ups, and how long input may have been unread."""

from __future__ import annotations

import asyncio
import logging

from ironrail.diagnostics.counters import LogSampler
from ironrail.diagnostics.hold_up import HEARTBEAT_INTERVAL_SECONDS, HoldUp, HoldUpDetector
from ironrail.net.system import System

log = logging.getLogger(__name__)


class LoopMonitor:
    """Runs the heartbeat on the current event loop and logs hold-ups.

    Attributes:
        detector: Counts the hold-ups and keeps the latest.
    """

    def __init__(self, system: System) -> None:
        self._system = system
        self._loop = asyncio.get_running_loop()
        self._log_sampler = LogSampler(per_second=1)
        self.detector = HoldUpDetector(system.now())
        self._schedule()

    def earliest_arrival(self) -> float:
        """Return the earliest arrival time of data that is read now, on the monotonic clock."""
        return self.detector.earliest_arrival(self._system.now())

    def earliest_event(self) -> float:
        """Return the earliest time of a signal, or of the first bytes on a new connection."""
        return self.detector.earliest_event(self._system.now())

    def _schedule(self) -> None:
        self._loop.call_later(HEARTBEAT_INTERVAL_SECONDS, self._beat)

    def _beat(self) -> None:
        self._schedule()  # first, so that no exception below ends the heartbeat
        self._system.run_pending_signals()
        now = self._system.now()
        hold_up = self.detector.beat(now)
        if hold_up is not None:
            self._log_hold_up(hold_up)
            # Timers and the callbacks that they schedule run before sockets are read: everything
            # has been read only in the iteration after the next.
            self._loop.call_soon(self._loop.call_soon, self.detector.caught_up, hold_up)

    def _log_hold_up(self, hold_up: HoldUp) -> None:
        if self._log_sampler.admits(hold_up.until):
            fields = {
                "seconds": round(hold_up.seconds, 3),
                "suppressed": self._log_sampler.take_suppressed(),
            }
            log.warning("event_loop_held_up", extra=fields)
