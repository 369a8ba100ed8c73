"""Whose turn it is to propose rows. Pure.

Each voter looks a period after the last change that it saw, the first one then, the second one a delay later
and so on: a change by one starts all anew. No clocks are compared; two that see a change at times further
apart than the delay may propose at once, and the accord refuses the second.
"""

from __future__ import annotations

DELAY = 10.0  # seconds between two voters' looks: three times what a change takes to be seen at all


class Turn:
    """One voter's."""

    def __init__(self, now: float, place: int, places: int, every: float) -> None:
        """`place` among so many voters; `every`: seconds between two looks of one voter."""
        self._every = every
        self._behind = place * min(DELAY, every / places)  # apart from all others' also in later periods
        self._at = now + every + self._behind

    def changed(self, now: float) -> None:
        """Something else is in force, whoever proposed it."""
        self._at = now + self._every + self._behind

    def due(self, now: float) -> bool:
        """Whether to look now; told once."""
        if now < self._at:
            return False
        self._at += self._every * (1 + (now - self._at) // self._every)  # what was missed is not made up for
        return True
