"""Whom a router asks for its lease: the voters, or in a large tier a router that asks them for many. Pure.

A voter may send 2,000 bytes a second, which is an answer to 40 routers. So in a larger tier voters hear of
one router in each group, the head, which holds a lease of theirs and lends parts of it. Any router may be
a head: it becomes one by being asked. Which one is asked doesn't touch the promise, only the traffic.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.peers.consensus.configuration import ConsensusConfig

HEAD_FOR = 10.0  # seconds after having been asked that a router asks the voters itself
# asks without any answer until another head is tried: 0.9 s of a lease's 3; one in 27 for a tenth lost
MOST_VAIN = 2
MOST_AT_ONCE = 4  # heads that are asked at once, after several in a row that are not there
# seconds, and up to as many more, that a head is kept which answers and has nothing to grant: voters that
# begin anew grant nothing for one lease, and if all went on to other heads then, all would be heads
PATIENT = 10.0
FIRST_AGAIN = 30.0  # seconds until the first of the heads is tried again beside the present one


class LeaseRouting:
    """One router's."""

    def __init__(self, conf: ConsensusConfig, draw: Callable[[], float] = lambda: 0.5) -> None:
        """`draw`: from 0 to 1."""
        self.conf, self.voters, self._draw = conf, conf.voters, draw
        self.head_until = self.first_at = -math.inf
        self._divide()

    def follow(self, voters: tuple[int, ...]) -> None:
        """These are the voters now."""
        if voters != self.voters:
            self.voters = voters
            self._divide()

    def _divide(self) -> None:
        conf = self.conf
        members = [router for router in range(conf.routers) if router not in self.voters]
        groups = math.isqrt(len(members)) + 1  # head and voter have as many to answer
        direct = conf.router in self.voters or conf.routers <= conf.max_direct_routers
        # every so-manieth, so that neighbours in number, which may share a hall, don't fall together
        self.rota = [] if direct else members[members.index(conf.router) % groups :: groups]
        self.place = self.vain = self.gone = 0  # gone: heads in a row that did not answer
        self.move_on_at = math.inf

    def speaks(self, now: float) -> bool:
        """Whether this router speaks with the voters itself."""
        return not self.rota or now < self.head_until or self.rota[self.place] == self.conf.router

    def heads(self) -> list[int]:
        """Those that are asked now, itself left out: one, or more after some that were not there."""
        count = min(len(self.rota), MOST_AT_ONCE, 1 << max(0, self.gone - 1))
        found = [self.rota[(self.place + n) % len(self.rota)] for n in range(count)]
        return [head for head in found if head != self.conf.router]

    def targets(self, now: float) -> tuple[int, ...]:
        """Whom to ask this time; called for each renewal."""
        if not self.rota:
            return self.voters
        self.vain += 1
        if self.vain > MOST_VAIN or now >= self.move_on_at:
            self.gone = self.gone + 1 if self.vain > MOST_VAIN else 0
            self.place = (self.place + max(1, len(self.heads()))) % len(self.rota)
            self.vain, self.move_on_at = 1, math.inf
        if self.speaks(now):
            return self.voters
        heads = self.heads()
        if self.place and now >= self.first_at:
            self.first_at = now + FIRST_AGAIN
            if self.rota[0] not in (self.conf.router, *heads):
                heads.append(self.rota[0])
        return tuple(heads)

    def answered(self, now: float, by: int, granted: bool) -> None:
        """It lives; whether it granted what was asked for."""
        if by not in self.rota and by not in self.voters:
            return
        self.vain = 0
        if granted:
            self.gone, self.move_on_at = 0, math.inf
            if by in self.rota:
                self.place = self.rota.index(by)
        elif self.move_on_at == math.inf:
            self.move_on_at = now + PATIENT * (1 + self._draw())

    def sources(self, now: float) -> tuple[int, ...]:
        """Which others have the documents of what this router learns."""
        if not self.speaks(now):
            return tuple(self.heads())
        return tuple(voter for voter in self.voters if voter != self.conf.router)

    def asked(self, now: float) -> bool:
        """Another router has this one answer for it; whether that is new."""
        new, self.head_until = now >= self.head_until, now + HEAD_FOR
        return new
