"""Since when the input of one connection may have waited to be read."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.diagnostics.hold_up import SETTLING_SECONDS
from ironrail.net.lifecycle.loop_monitor import LoopMonitor


class InputArrival:
    """Estimates when input arrived, so that deadlines count from then. Times are monotonic seconds.

    Attributes:
        arrived_at: Earliest arrival time of the input that is being parsed; None at other times.
        is_current: Whether the input that is being parsed was read as soon as it arrived, apart
            from hold-ups of the process.
    """

    def __init__(self, monitor: LoopMonitor, waiting_since: float) -> None:
        """Expect the first input.

        Args:
            monitor: Knows the hold-ups of the process.
            waiting_since: Since when the connection may have waited to be accepted and set up.
        """
        self.arrived_at: float | None = None
        self.is_current = False
        self._monitor = monitor
        self._waiting_since = waiting_since
        self._opened_at = waiting_since
        self._is_first = True
        self._was_paused = False  # since the socket was last empty
        self._memory_awaited_since: float | None = None

    def opened(self, now: float) -> None:
        """Record that the connection is set up."""
        self._opened_at = now

    def reading_paused(self) -> None:
        """Record that input stays unread from now on."""
        self._was_paused = True

    def memory_awaited(self, now: float) -> None:
        """Record that input waits for memory, which counts towards its deadline.

        The time for which it waits for earlier responses does not.
        """
        if self._memory_awaited_since is None:
            self._memory_awaited_since = now if self.arrived_at is None else self.arrived_at

    def memory_wait_ended(self, has_more: Callable[[], bool]) -> float | None:
        """Record that the wait for memory has ended.

        Args:
            has_more: Returns whether input that waited can still be read.

        Returns:
            When the input may have arrived that was read before the wait.
        """
        since = self._memory_awaited_since
        if not has_more():
            self._was_paused = False
            self._memory_awaited_since = None
        return since

    def begin(self, unread_since: float | None, has_more: Callable[[], bool]) -> bool:
        """Record that input was read.

        Args:
            unread_since: Since when input may have waited because a read failed, or None.
            has_more: Returns whether more input can be read now.

        Returns:
            Whether the input may have waited for memory.
        """
        arrived_at = self._earliest_arrival()
        memory_awaited_since = self._memory_awaited_since
        if unread_since is not None:
            arrived_at = min(arrived_at, unread_since)
        if memory_awaited_since is not None:
            arrived_at = min(arrived_at, memory_awaited_since)
        self.arrived_at = arrived_at
        self.is_current = not self._was_paused
        if self._was_paused and not has_more():
            self._was_paused = False
            self._memory_awaited_since = None
        return memory_awaited_since is not None

    def resume(self, since: float) -> None:
        """Record that input is parsed that was read before.

        Args:
            since: When its turn could have come; before, it waited for earlier commands.
        """
        self.arrived_at = since

    def end(self) -> None:
        """Record that the input is parsed as far as possible now."""
        self.arrived_at = None
        self.is_current = False

    def _earliest_arrival(self) -> float:
        if not self._is_first:
            return self._monitor.earliest_arrival()
        self._is_first = False
        return self._earliest_first_arrival()

    def _earliest_first_arrival(self) -> float:
        """Return the earliest arrival time of the first bytes.

        They may have arrived before the connection was accepted.
        """
        earliest = self._monitor.earliest_event()
        has_waited = self._opened_at - self._waiting_since > SETTLING_SECONDS
        if has_waited and earliest - self._opened_at < SETTLING_SECONDS:
            return min(earliest, self._waiting_since)
        return earliest
