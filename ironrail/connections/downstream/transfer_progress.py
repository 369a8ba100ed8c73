"""Whether a slow client still makes progress, and whether that is too slow to hold memory.

Without I/O. The sender sees only in steps what a client has read: the client's system tells of
free space in its receive buffer once a good part of it is free.
"""

from __future__ import annotations

MIN_BYTES_PER_SECOND = 16 * 1024
"""A client that is slower may lose its connection where others wait for memory or descriptors."""

SLOW_GRACE_SECONDS = 5.0
"""In which no client counts as too slow."""

MAX_CREDIT_SECONDS = 20.0
"""Limit on the time that transferred bytes allow for; the largest steps come seconds apart."""


class Contention:
    """The clients that wait for memory or a descriptor, or were refused it since the last check.

    Each slow client that gives way stands for one of them, so that one shortage does not end all.

    Attributes:
        unserved: How many of them none has given way to.
    """

    __slots__ = ("unserved",)

    def __init__(self, unserved: int = 0) -> None:
        """Start with so many clients."""
        self.unserved = unserved

    def give_way(self) -> None:
        """Record that a slow client loses what it holds."""
        self.unserved -= 1


class TransferProgress:
    """The bytes that a client takes or sends. Times are seconds on a monotonic clock.

    Attributes:
        progressed_at: When bytes were last seen to be transferred.
    """

    __slots__ = ("_credit_until", "_started_at", "progressed_at")

    def __init__(self, now: float) -> None:
        """Expect bytes from now on."""
        self.progressed_at = now
        self._started_at = now
        self._credit_until = now

    def restart(self, now: float) -> None:
        """Expect bytes from now on, after a time in which there was nothing to transfer."""
        self.progressed_at = now
        self._started_at = now

    def skip(self, seconds: float) -> None:
        """Leave out a time in which the client could not transfer anything."""
        self.progressed_at += seconds
        self._started_at += seconds
        self._credit_until += seconds

    def record(self, now: float, num_bytes: int) -> None:
        """Record that bytes were transferred since the last call; each allows for some time."""
        if num_bytes <= 0:
            return
        self.progressed_at = now
        credit_until = max(self._credit_until, now) + num_bytes / MIN_BYTES_PER_SECOND
        self._credit_until = min(credit_until, now + MAX_CREDIT_SECONDS)

    def is_slow(self, now: float) -> bool:
        """Whether the client is slower than the minimum, with some allowance for pauses."""
        return now >= max(self._credit_until, self._started_at + SLOW_GRACE_SECONDS)

    def has_stopped(self, now: float, timeout: float) -> bool:
        """Whether no bytes came for `timeout` seconds, nor for as long as the last steps allow."""
        return now >= max(self._credit_until, self.progressed_at + timeout)
