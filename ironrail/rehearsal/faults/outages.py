"""Records when a router could not answer because of a planned fault. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Outage:
    """A period in which one router could not answer."""

    router: str
    began: float
    reason: str
    ended: float | None = None


class OutageLog:
    """All outages of a run."""

    def __init__(self) -> None:
        self._outages: list[Outage] = []

    def begin(self, router: str, now: float, reason: str) -> None:
        self._outages.append(Outage(router, now, reason))

    def end(self, router: str, now: float) -> None:
        """Close the open outages of a router, which can answer again."""
        for outage in self._outages:
            if outage.router == router and outage.ended is None:
                outage.ended = now

    def reason(self, router: str, began: float, ended: float) -> str:
        """Return why a router could not answer during an interval, empty if no outage overlaps it."""
        for outage in self._outages:
            not_over = outage.ended is None or outage.ended >= began
            if outage.router == router and outage.began <= ended and not_over:
                return outage.reason
        return ""
