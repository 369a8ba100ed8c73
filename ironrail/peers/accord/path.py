"""Whom a router asks for its lease: the voters, or in a large tier a router that asks them for many. Pure.

A voter may send 2,000 bytes a second, which is an answer to 40 routers. So in a larger tier voters hear of
one router in `GROUP`, the head, which holds a lease of theirs and lends parts of it. Any router may be
a head: it becomes one by being asked. Which one is asked doesn't touch the promise, only the traffic.
"""

from __future__ import annotations

import math

from ironrail.peers.accord.conf import Conf

GROUP = 32  # the root of the largest tier: head and voter have as many to answer
HEAD_FOR = 10.0  # seconds after having been asked that a router asks the voters itself
MOST_VAIN = 2  # renewals without a grant until another head is tried
FIRST_AGAIN = 30.0  # seconds until the first of the heads is tried again beside the present one


class Path:
    """One router's."""

    def __init__(self, conf: Conf) -> None:
        self.conf, self.voters = conf, conf.voters
        self.place = self.vain = 0
        self.head_until = self.first_at = -math.inf
        self._divide()

    def follow(self, voters: tuple[int, ...]) -> None:
        """These are the voters now."""
        if voters != self.voters:
            self.voters, self.place, self.vain = voters, 0, 0
            self._divide()

    def _divide(self) -> None:
        conf = self.conf
        members = [router for router in range(conf.routers) if router not in self.voters]
        groups = math.ceil(len(members) / GROUP)
        direct = conf.me in self.voters or conf.routers <= conf.direct
        # every so-manieth, so that neighbours in number, which may share a hall, don't fall together
        self.rota = [] if direct else members[members.index(conf.me) % groups :: groups]

    def speaks(self, now: float) -> bool:
        """Whether this router speaks with the voters itself."""
        return not self.rota or now < self.head_until or self.rota[self.place] == self.conf.me

    def targets(self, now: float) -> tuple[int, ...]:
        """Whom to ask this time; called for each renewal."""
        if not self.rota:
            return self.voters
        self.vain += 1
        if self.vain > MOST_VAIN:
            self.place, self.vain = (self.place + 1) % len(self.rota), 1
        head = self.rota[self.place]
        if self.speaks(now):
            return self.voters
        if self.place and now >= self.first_at:
            self.first_at = now + FIRST_AGAIN
            if self.rota[0] != self.conf.me:
                return head, self.rota[0]
        return (head,)

    def granted(self, by: int) -> None:
        """It was granted."""
        self.vain = 0
        if self.rota and by == self.rota[0]:
            self.place = 0

    def asked(self, now: float) -> bool:
        """Another router has this one answer for it; whether that is new."""
        new, self.head_until = now >= self.head_until, now + HEAD_FOR
        return new
