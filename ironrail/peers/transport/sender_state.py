"""What a receiver keeps of one sender: its proven life, what was seen of it, what checks it may cost.

Which of two lives is the present one is told by a question that only the living can answer: see
`docs/peers/wire.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# datagrams: at 2000 B/s and the least of 23 bytes, what comes up to 5.9 s after a later one is taken
WINDOW = 512
REPLACED = 4  # earlier lives that stay refused unasked; any other would have to answer, and the dead can't
NONCE_AGE = 60.0  # seconds for an answer: after a restart 999 others ask at once, and are answered in 40
NEVER: Final = float("-inf")
ROUNDING = 1e-9  # seconds: who wakes when one more is due finds it due
_MASK = (1 << WINDOW) - 1


@dataclass(slots=True, eq=False)
class Allowance:
    """So many a second, and so many at once; kept as the one time at which all will be there again."""

    full_at: float = NEVER

    def permits(self, now: float, interval: float, burst: float) -> bool:
        """Whether one more may be taken."""
        return self.full_at - now <= (burst - 1) * interval + ROUNDING

    def take(self, now: float, interval: float) -> None:
        """One is taken, even if none was there."""
        self.full_at = max(self.full_at, now) + interval


@dataclass(slots=True, eq=False)
class Sender:
    """One router as another hears it."""

    start: int | None = None  # of the life that was proven
    top: int = -1  # the highest sequence of it
    seen: int = 0  # bit i: `top - i` was seen, or is too old to be believed
    replaced: tuple[int, ...] = ()
    nonce: bytes = b""  # asked, and not yet answered
    nonce_at: float = NEVER
    asked_at: float = NEVER
    known: Allowance | None = None  # failed checks of what bears the proven start, or the nonce
    strange: Allowance | None = None  # failed checks of the rest

    def is_fresh(self, sequence: int) -> bool:
        """Whether the proven life's datagram of this number is neither seen nor too old."""
        behind = self.top - sequence
        return behind < 0 or (behind < WINDOW and not self.seen >> behind & 1)

    def note(self, sequence: int) -> None:
        """This one is seen. Only for what was fresh and unforged."""
        ahead = sequence - self.top
        if ahead > 0:
            self.seen = (self.seen << ahead | 1) & _MASK if ahead < WINDOW else 1
            self.top = sequence
        else:
            self.seen |= 1 << -ahead

    def believe(self, start: int, sequence: int) -> None:
        """It answered, with this datagram. What its life had sent before it may have been heard by an earlier
        life of this router, and may be repeated by anyone: it counts as seen."""
        if self.start is not None:
            self.replaced = (*self.replaced, self.start)[-REPLACED:]
        self.start, self.top, self.seen = start, sequence, _MASK

    def answers(self, nonce: bytes, now: float) -> bool:
        """Whether this is what it was asked, in time."""
        return bool(self.nonce) and nonce == self.nonce and now - self.nonce_at <= NONCE_AGE
