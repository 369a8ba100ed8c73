"""How long a connection may be idle before it is closed; learned from connections that broke."""

from __future__ import annotations

IDLE_TIMEOUT_FRACTION = 0.75  # of the server's, which may close as the next request is written
MIN_IDLE_TIMEOUT_SECONDS = 0.5  # a break after a shorter pause says nothing of idle connections
RECOVERY_FACTOR = 1.03  # for each check of the connections: doubles in half a minute


class IdleTimeout:
    """The idle timeout of one server, for those that close idle connections early."""

    def __init__(self, server_timeout: float) -> None:
        """Start below the server's own idle timeout, in seconds."""
        self._limit = server_timeout * IDLE_TIMEOUT_FRACTION
        self.seconds = self._limit

    def record_break(self, idle_seconds: float) -> None:
        """Shorten the timeout after a connection broke on its first use in `idle_seconds`."""
        if idle_seconds > MIN_IDLE_TIMEOUT_SECONDS:
            shorter = min(self.seconds, idle_seconds / 2)
            self.seconds = max(MIN_IDLE_TIMEOUT_SECONDS, shorter)

    def recover(self) -> None:
        """Lengthen the timeout, up to where it started."""
        self.seconds = min(self._limit, self.seconds * RECOVERY_FACTOR)
