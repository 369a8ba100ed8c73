"""Sends everything to a server that has just started."""

from __future__ import annotations

from ironrail.policy.state import Held, Server
from ironrail.policy.walk import Walk

RULE = "rule cold"


def break_it() -> None:
    choose = Walk.choose

    def eager(self: Walk, now: float, held: Held) -> Server | None:
        servers = [self.servers[i] for i in self.ring.points]
        cold = [s for s in servers if self.cold.share(now, s) < 1.0]
        return cold[0] if cold and not held.attempts else choose(self, now, held)

    Walk.choose = eager  # type: ignore[method-assign]
