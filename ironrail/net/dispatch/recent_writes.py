"""Remembers requests that may have had an effect, so that none is accepted a second time."""

from __future__ import annotations

from collections import OrderedDict

RETENTION_SECONDS = 10.0
"""Longer than any client waits for a response and sends its request once more."""

MAX_REQUESTS = 8192


class RecentWrites:
    """The ids of requests that have ended and may have had an effect, the oldest first.

    A client whose connection ends without a response can't tell whether its request was read, and
    may send it once more with the same id.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._ended_at = OrderedDict[str, float]()  # seconds on the monotonic clock

    def __len__(self) -> int:
        return len(self._ended_at)

    def add(self, request_id: str, now: float) -> None:
        """Remember a request that has ended."""
        self._ended_at[request_id] = now
        self._ended_at.move_to_end(request_id)
        self._forget(now)

    def has(self, request_id: str, now: float) -> bool:
        """Whether a request with this id has ended recently."""
        ended_at = self._ended_at.get(request_id)
        return ended_at is not None and now - ended_at < RETENTION_SECONDS

    def _forget(self, now: float) -> None:
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            is_recent = now - self._ended_at[oldest] < RETENTION_SECONDS
            if is_recent and len(self._ended_at) <= MAX_REQUESTS:
                return
            self._ended_at.popitem(last=False)
