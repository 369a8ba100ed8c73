"""Learns from broken connections how long a connection may be idle before it is closed."""

from __future__ import annotations

# of the server's idle timeout: near its end the server may close while a request is being written
IDLE_TIMEOUT_FRACTION = 0.75
MIN_IDLE_TIMEOUT_SECONDS = 0.5  # breaks after shorter idle times have other causes
RECOVERY_FACTOR = 1.03  # for each check of the connections; doubles the timeout in 30 s


class IdleTimeout:
    """The idle timeout for one server, shortened if it closes idle connections early."""

    def __init__(self, server_timeout: float) -> None:
        """Start with a fraction of the server's own idle timeout, in seconds."""
        self._limit = server_timeout * IDLE_TIMEOUT_FRACTION
        self.seconds = self._limit

    def record_break(self, idle_seconds: float) -> None:
        """Shorten the timeout after a connection broke on its first use in `idle_seconds`."""
        if idle_seconds > MIN_IDLE_TIMEOUT_SECONDS:
            shorter = min(self.seconds, idle_seconds / 2)
            self.seconds = max(MIN_IDLE_TIMEOUT_SECONDS, shorter)

    def recover(self) -> None:
        """Lengthen the timeout, up to its initial value."""
        self.seconds = min(self._limit, self.seconds * RECOVERY_FACTOR)
