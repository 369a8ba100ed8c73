"""Sends everything to a server that has just started."""

from __future__ import annotations

from ironrail.policy.balance import Held, Router, Server

RULE = "rule cold"


def break_it() -> None:
    choose = Router._choose

    def eager(self: Router, held: Held) -> Server | None:
        cold = [self.servers[i] for i in self.points if self._warm_share(self.servers[i]) < 1.0]
        return cold[0] if cold and not held.attempts else choose(self, held)

    Router._choose = eager  # type: ignore[method-assign]
