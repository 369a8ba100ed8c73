"""What a receiver keeps of one sender: incarnation, replay window, limits of failed checks.

A challenge that only a running process can answer tells which of two incarnations is the current
one: see `docs/peers/wire.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Datagrams. At 2000 bytes per second of the shortest datagrams, 23 bytes, one that arrives up to
# 5.9 s after a later one is still accepted.
REPLAY_WINDOW = 512
# Earlier incarnations that are refused without a challenge; any other would have to answer one,
# which a process that has ended can't.
MAX_REPLACED_INCARNATIONS = 4
# After a restart 999 others send a challenge at once, and are answered within 40 s.
MAX_NONCE_AGE_SECONDS = 60.0
NEVER: Final = float("-inf")
ROUNDING_SECONDS = 1e-9  # a timer set for when the next event is due must find it due
_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


@dataclass(slots=True, eq=False)
class RateLimiter:
    """A token bucket, stored as the one time at which it will be full again.

    Attributes:
        full_at: When all of the burst is available again, in seconds.
    """

    full_at: float = NEVER

    def permits(self, now: float, interval: float, burst: float) -> bool:
        """Return whether one more event is permitted.

        Args:
            now: The time, in seconds.
            interval: Seconds per event in the long run.
            burst: Events permitted at once.
        """
        return self.full_at - now <= (burst - 1) * interval + ROUNDING_SECONDS

    def consume(self, now: float, interval: float) -> None:
        """Count an event, even if none was permitted."""
        self.full_at = max(self.full_at, now) + interval


@dataclass(slots=True, eq=False)
class SenderState:
    """The state that a receiver keeps of one router.

    Attributes:
        incarnation: The incarnation that was proven, None before the first.
        highest_sequence: The highest sequence number received from it.
        seen_mask: Bit i is set if `highest_sequence - i` was received, or must not be accepted.
        replaced_incarnations: Earlier incarnations that were proven, the latest last.
        nonce: The nonce of the challenge that waits for a response; empty without one.
        nonce_created_at: When that nonce was drawn.
        challenged_at: When the latest challenge was sent.
        proven_failures: Limits failed MAC checks of datagrams that bear the proven incarnation or
            the nonce.
        unproven_failures: Limits failed MAC checks of all others.
    """

    incarnation: int | None = None
    highest_sequence: int = -1
    seen_mask: int = 0
    replaced_incarnations: tuple[int, ...] = ()
    nonce: bytes = b""
    nonce_created_at: float = NEVER
    challenged_at: float = NEVER
    proven_failures: RateLimiter | None = None
    unproven_failures: RateLimiter | None = None

    def is_fresh(self, sequence: int) -> bool:
        """Return whether a datagram of the proven incarnation is neither repeated nor too old."""
        behind = self.highest_sequence - sequence
        return behind < 0 or (behind < REPLAY_WINDOW and not self.seen_mask >> behind & 1)

    def mark_seen(self, sequence: int) -> None:
        """Record a sequence number that is fresh, of a datagram whose MAC is valid."""
        ahead = sequence - self.highest_sequence
        if ahead > 0:
            self.seen_mask = (
                (self.seen_mask << ahead | 1) & _WINDOW_MASK if ahead < REPLAY_WINDOW else 1
            )
            self.highest_sequence = sequence
        else:
            self.seen_mask |= 1 << -ahead

    def accept_incarnation(self, incarnation: int, sequence: int) -> None:
        """Make an incarnation that has answered a challenge with this datagram the proven one.

        Its earlier datagrams count as seen: an earlier incarnation of this router may have
        received them, and anyone may replay them.
        """
        if self.incarnation is not None:
            self.replaced_incarnations = (*self.replaced_incarnations, self.incarnation)[
                -MAX_REPLACED_INCARNATIONS:
            ]
        self.incarnation, self.highest_sequence, self.seen_mask = (
            incarnation,
            sequence,
            _WINDOW_MASK,
        )

    def is_valid_response(self, nonce: bytes, now: float) -> bool:
        """Return whether this nonce answers the pending challenge in time."""
        return (
            bool(self.nonce)
            and nonce == self.nonce
            and now - self.nonce_created_at <= MAX_NONCE_AGE_SECONDS
        )
