"""Learns how many used sessions to retain, from how often idle ones are used again."""

from __future__ import annotations

MIN_RETAINED_SESSIONS = 4
"""Retained even if none is used again; with none, a rise of the reuse ratio would go unnoticed."""

FULL_RETENTION_REUSE_RATIO = 0.5
"""Reuse ratio from which the full limit of sessions is retained."""

REUSE_SMOOTHING_FACTOR = 1 / 32
"""Weight of the latest reuse or eviction in the reuse ratio."""


class IdleRetention:
    """The number of used sessions beyond which idle ones are evicted.

    Clients without a free connection open one, up to the clients' quota of descriptors. If idle
    sessions use up the quota, new clients are rejected although the router has capacity.
    """

    def __init__(self, max_sessions: int) -> None:
        """`max_sessions`: Upper limit, however often sessions are used again."""
        self.max_sessions = max_sessions
        self.reuse_ratio = 1.0

    def session_reused(self) -> None:
        """Record that an idle session was used again."""
        self.reuse_ratio += REUSE_SMOOTHING_FACTOR * (1 - self.reuse_ratio)

    def session_evicted(self) -> None:
        """Record that an idle session is evicted unused."""
        self.reuse_ratio += REUSE_SMOOTHING_FACTOR * (0 - self.reuse_ratio)

    def session_limit(self) -> int:
        """Number of used sessions to retain, in proportion to the reuse ratio."""
        least = min(MIN_RETAINED_SESSIONS, self.max_sessions)
        retained_fraction = min(1.0, self.reuse_ratio / FULL_RETENTION_REUSE_RATIO)
        return max(least, round(self.max_sessions * retained_fraction))
