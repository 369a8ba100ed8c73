"""Counts of events by reason, and a bound on how often one kind of event is logged."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum

LOGGED_PER_SECOND = 4  # lines of one event; what is beyond is only counted


class ReasonCounter:
    """Counts since the start, one for each member of a reason; bounded by the enum."""

    def __init__(self, name: str, reasons: type[StrEnum]) -> None:
        """`name` is the prefix in the metrics."""
        self.name = name
        self._counts = dict.fromkeys(reasons, 0)

    def add(self, reason: StrEnum) -> None:
        """Count one event."""
        self._counts[reason] += 1

    def __getitem__(self, reason: StrEnum) -> int:
        return self._counts[reason]

    def total(self) -> int:
        """All events, whatever their reason."""
        return sum(self._counts.values())

    def items(self) -> Iterator[tuple[str, int]]:
        """Names and values for the metrics."""
        for reason, count in self._counts.items():
            yield f"{self.name}.{reason.value}", count


class LogSampler:
    """Bounds the log: a few lines of an event each second, with the number that was left out before."""

    def __init__(self, per_second: int = LOGGED_PER_SECOND) -> None:
        self._per_second = per_second
        self._second = -1
        self._logged = 0
        self.suppressed = 0

    def admits(self, now: float) -> bool:
        """Whether one more line may be logged at `now` (seconds, a clock that only advances)."""
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
        """The number of lines left out since the last call."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
