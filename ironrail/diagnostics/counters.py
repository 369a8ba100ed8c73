"""Counters of events by reason, and rate limits for log events."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum

MAX_LOGGED_PER_SECOND = 4  # lines per sampler


class ReasonCounter:
    """Counts events since the start by reason, a member of an enum."""

    def __init__(self, name: str, reasons: type[StrEnum]) -> None:
        """Count from 0; `name` is the prefix in the metrics."""
        self.name = name
        self._counts = dict.fromkeys(reasons, 0)

    def add(self, reason: StrEnum) -> None:
        """Count one event."""
        self._counts[reason] += 1

    def __getitem__(self, reason: StrEnum) -> int:
        return self._counts[reason]

    def total(self) -> int:
        """Return the number of events for all reasons together."""
        return sum(self._counts.values())

    def items(self) -> Iterator[tuple[str, int]]:
        """Yield names and values for the metrics."""
        for reason, count in self._counts.items():
            yield f"{self.name}.{reason.value}", count


class LogSampler:
    """Limits the events that share it to a few log lines per second, and counts suppressed ones.

    Attributes:
        suppressed: Number of lines that were not logged since the last `take_suppressed`.
    """

    def __init__(self, per_second: int = MAX_LOGGED_PER_SECOND) -> None:
        self._per_second = per_second
        self._second = -1
        self._logged = 0
        self.suppressed = 0

    def admits(self, now: float) -> bool:
        """Return whether a line may be logged at `now` (seconds, monotonic clock)."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._logged = 0
        if self._logged >= self._per_second:
            self.suppressed += 1
            return False
        self._logged += 1
        return True

    def take_suppressed(self) -> int:
        """Return the number of lines suppressed since the last call, and reset it."""
        suppressed = self.suppressed
        self.suppressed = 0
        return suppressed
