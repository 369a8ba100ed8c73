"""Decides when one more connection to a server pays off. Times are seconds on one clock.

Queueing behind other attempts costs time on each use; opening a connection costs the server once.
As in the ski rental problem, attempts queue until the time lost equals the cost of a connection,
then one is opened: at most twice the cost of the best choice, for any load that follows.
"""

from __future__ import annotations

import math

# For this time after a connection broke, attempts share one only if no other may be opened.
BREAK_COOLDOWN_SECONDS = 10.0
# Backoff before the next connection to a server whose capacity for connections is in use; doubles.
MIN_FULL_BACKOFF_SECONDS = 0.1
MAX_FULL_BACKOFF_SECONDS = 10.0  # limited, as connects also fail for other reasons
# Default cost of a new connection to the server; the operator's file can set another.
CONNECTION_COST_SECONDS = 0.03
LATEST_REPLY_FRACTION = 0.1  # weight of the latest reply in the mean reply time
# Expected delay for each attempt ahead, as a fraction of the mean reply time; below 1, because
# servers process several requests at a time.
QUEUE_DELAY_FRACTION = 0.5


class ConnectionOpener:
    """Compares the cost of queueing with that of a new connection.

    Args:
        cost: Seconds that a new connection costs.
    """

    def __init__(self, cost: float) -> None:
        self._cost = cost
        self._reply_time = 0.0  # mean, of attempts alone on their connection; 0: unknown
        self._queueing_time = 0.0  # expected total since the latest connection was opened
        self._full_until = -math.inf
        self._full_backoff = MIN_FULL_BACKOFF_SECONDS
        self._cooldown_until = -math.inf

    def prefers_queueing(self, now: float, ahead: int) -> bool:
        """Whether queueing behind `ahead` attempts is cheaper than one more connection."""
        if now < self._cooldown_until or not self._reply_time:
            return False
        self._queueing_time += QUEUE_DELAY_FRACTION * self._reply_time * ahead
        return self._queueing_time < self._cost

    def note_opened(self) -> None:
        """Record that a connection is being opened."""
        self._queueing_time = 0.0

    def record_reply_time(self, seconds: float) -> None:
        """Record the reply time of an attempt that had its connection to itself."""
        weight = LATEST_REPLY_FRACTION if self._reply_time else 1.0
        self._reply_time += weight * (seconds - self._reply_time)

    def note_broken(self, now: float) -> None:
        """Record that a connection broke with attempts in flight."""
        self._cooldown_until = now + BREAK_COOLDOWN_SECONDS

    def is_server_full(self, now: float) -> bool:
        """Whether the server's capacity for connections seems to be in use."""
        return now < self._full_until

    def note_server_full(self, now: float) -> None:
        """Open no connection for a backoff, which doubles until a new connection is served."""
        self._full_until = now + self._full_backoff
        self._full_backoff = min(MAX_FULL_BACKOFF_SECONDS, 2 * self._full_backoff)

    def note_served(self) -> None:
        """Record that a new connection is served."""
        self._full_backoff = MIN_FULL_BACKOFF_SECONDS
