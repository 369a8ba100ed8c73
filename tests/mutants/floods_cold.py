"""Sends everything to a server that has just started."""

from __future__ import annotations

from ironrail.policy.candidate_selection import CandidateSelection
from ironrail.policy.state import PendingRequest, Server

RULE = "rule cold"


def break_it() -> None:
    choose = CandidateSelection.choose

    def eager(self: CandidateSelection, now: float, pending: PendingRequest) -> Server | None:
        servers = [self.servers[i] for i in self.ring.virtual_node_counts]
        cold = [s for s in servers if self.slow_start.capacity_fraction(now, s) < 1.0]
        return cold[0] if cold and not pending.attempts else choose(self, now, pending)

    CandidateSelection.choose = eager  # type: ignore[method-assign]
