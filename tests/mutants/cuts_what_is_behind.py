"""Once told to end it closes each connection behind the next answer, whatever else has come on it."""

from __future__ import annotations

from ironrail.connections.downstream import Downstream, Next, Place

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    settled = Downstream.settled

    def hasty(self: Downstream, place: Place, written: int, begun: bool, closing: bool = False) -> Next:
        due = settled(self, place, written, begun, closing)
        return Next.CLOSE if self.draining and written and not closing else due

    Downstream.settled = hasty  # type: ignore[method-assign]
