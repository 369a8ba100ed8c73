"""Whom a router asks for its lease: the voters, or in a large peer group a head. Pure.

A voter may send 2,000 bytes/s, which is enough to reply to 40 routers. So in a larger peer group
only one router of each group asks the voters: the head, which holds a lease from them and grants
parts of it to its members. Any router becomes a head by being asked. Which head is asked affects
only the traffic, not the correctness.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.peers.consensus.configuration import ConsensusConfig

# A router that was asked for a lease asks the voters itself for this long.
HEAD_ROLE_SECONDS = 10.0
# Requests without a reply until another head is tried: 0.9 s of a lease of 3 s. If a tenth of the
# requests or replies is lost, this many in a row fail once in 27 times.
MAX_UNANSWERED_REQUESTS = 2
MAX_PARALLEL_HEADS = 4  # asked at once, after several in a row did not reply
# A head that replies but cannot grant a lease is kept for this long, and up to as long again.
# Voters that restart grant nothing for one lease: if all routers changed heads then, all would
# become heads.
REFUSING_HEAD_SECONDS = 10.0
FIRST_HEAD_RETRY_SECONDS = 30.0  # until the first head is tried again beside the current one


class LeaseRouting:
    """Chooses whom one router asks."""

    def __init__(self, conf: ConsensusConfig, draw: Callable[[], float] = lambda: 0.5) -> None:
        """Choose the group of this router.

        Args:
            conf: Configuration of this router.
            draw: Returns a random number from 0 to 1.
        """
        self.conf, self.voters, self._draw = conf, conf.voters, draw
        self.head_role_until = self.first_head_retry_at = -math.inf
        self._assign_groups()

    def set_voters(self, voters: tuple[int, ...]) -> None:
        """Set the current voters."""
        if voters != self.voters:
            self.voters = voters
            self._assign_groups()

    def _assign_groups(self) -> None:
        conf = self.conf
        members = [router for router in range(conf.routers) if router not in self.voters]
        # a head and a voter then have equally many routers to reply to
        groups = math.isqrt(len(members)) + 1
        direct = conf.own_index in self.voters or conf.routers <= conf.max_direct_routers
        # every n-th router: neighbours may share a zone, and a group should not fail as a whole
        self.head_candidates = (
            [] if direct else members[members.index(conf.own_index) % groups :: groups]
        )
        # `unresponsive_heads`: heads in a row that did not reply
        self.head_index = self.unanswered = self.unresponsive_heads = 0
        self.switch_head_at = math.inf

    def asks_voters_directly(self, now: float) -> bool:
        """Return whether this router asks the voters itself."""
        return (
            not self.head_candidates
            or now < self.head_role_until
            or self.head_candidates[self.head_index] == self.conf.own_index
        )

    def current_heads(self) -> list[int]:
        """Return the heads to ask now, without this router.

        One; more after several in a row did not reply.
        """
        count = min(
            len(self.head_candidates), MAX_PARALLEL_HEADS, 1 << max(0, self.unresponsive_heads - 1)
        )
        candidates = [
            self.head_candidates[(self.head_index + n) % len(self.head_candidates)]
            for n in range(count)
        ]
        return [head for head in candidates if head != self.conf.own_index]

    def request_targets(self, now: float) -> tuple[int, ...]:
        """Return whom to ask; called for each renewal."""
        if not self.head_candidates:
            return self.voters
        self.unanswered += 1
        if self.unanswered > MAX_UNANSWERED_REQUESTS or now >= self.switch_head_at:
            self.unresponsive_heads = (
                self.unresponsive_heads + 1 if self.unanswered > MAX_UNANSWERED_REQUESTS else 0
            )
            self.head_index = (self.head_index + max(1, len(self.current_heads()))) % len(
                self.head_candidates
            )
            self.unanswered, self.switch_head_at = 1, math.inf
        if self.asks_voters_directly(now):
            return self.voters
        heads = self.current_heads()
        if self.head_index and now >= self.first_head_retry_at:
            self.first_head_retry_at = now + FIRST_HEAD_RETRY_SECONDS
            if self.head_candidates[0] not in (self.conf.own_index, *heads):
                heads.append(self.head_candidates[0])
        return tuple(heads)

    def on_reply(self, now: float, replier: int, granted: bool) -> None:
        """Note a reply, and whether it grants the lease."""
        if replier not in self.head_candidates and replier not in self.voters:
            return
        self.unanswered = 0
        if granted:
            self.unresponsive_heads, self.switch_head_at = 0, math.inf
            if replier in self.head_candidates:
                self.head_index = self.head_candidates.index(replier)
        elif self.switch_head_at == math.inf:
            self.switch_head_at = now + REFUSING_HEAD_SECONDS * (1 + self._draw())

    def document_sources(self, now: float) -> tuple[int, ...]:
        """Return which other routers have the documents of states that this one learns of."""
        if not self.asks_voters_directly(now):
            return tuple(self.current_heads())
        return tuple(voter for voter in self.voters if voter != self.conf.own_index)

    def on_member_request(self, now: float) -> bool:
        """Make this router a head for some time.

        Returns:
            Whether it was none before.
        """
        is_new, self.head_role_until = now >= self.head_role_until, now + HEAD_ROLE_SECONDS
        return is_new
