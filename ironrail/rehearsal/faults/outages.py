"""Times in which a router could not answer, by the plan. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Spell:
    """One such time of one router."""

    router: str
    began: float
    why: str
    ended: float | None = None


class Spells:
    """All of a run."""

    def __init__(self) -> None:
        self._all: list[Spell] = []

    def begin(self, router: str, now: float, why: str) -> None:
        self._all.append(Spell(router, now, why))

    def end(self, router: str, now: float) -> None:
        """It can answer again."""
        for spell in self._all:
            if spell.router == router and spell.ended is None:
                spell.ended = now

    def why(self, router: str, began: float, ended: float) -> str:
        """Why it could not answer what it was sent then, or nothing."""
        for spell in self._all:
            there = spell.ended is None or spell.ended >= began
            if spell.router == router and spell.began <= ended and there:
                return spell.why
        return ""
