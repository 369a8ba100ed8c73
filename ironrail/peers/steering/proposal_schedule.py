"""The schedule by which voters take turns at proposing steering rows.

Each voter looks for better rows one interval after the last change that it saw, staggered by voter:
the first one then, the second one a delay later, and so on. Any change restarts the schedule. No
clocks are compared between voters; two that see a change at times further apart than the delay may
propose at once, and consensus rejects the second proposal. No I/O.
"""

from __future__ import annotations

# Between the proposals of two voters: three times what it takes until a change is seen by all.
STAGGER_SECONDS = 10.0


class ProposalSchedule:
    """The schedule of one voter."""

    def __init__(self, now: float, voter_index: int, num_voters: int, interval: float) -> None:
        """Start the schedule.

        Args:
            now: Time on this router's clock.
            voter_index: This voter's index among the voters.
            num_voters: Number of voters.
            interval: Time between this voter's proposals in seconds.
        """
        self._interval = interval
        # Stays distinct from the offsets of the other voters in later intervals, too.
        self._offset = voter_index * min(STAGGER_SECONDS, interval / num_voters)
        self._due_at = now + interval + self._offset

    def restart(self, now: float) -> None:
        """Restart the interval: other rows are in force, proposed by any voter."""
        self._due_at = now + self._interval + self._offset

    def poll(self, now: float) -> bool:
        """Return whether a proposal is due, and advance to the next one if so."""
        if now < self._due_at:
            return False
        # Intervals that were missed are skipped.
        self._due_at += self._interval * (1 + (now - self._due_at) // self._interval)
        return True
