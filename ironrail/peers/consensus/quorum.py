"""Which replies make a majority of each set of voters. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import combinations, permutations, product

from ironrail.peers.consensus import messages as m


@dataclass(frozen=True, slots=True)
class QuorumReply:
    """A voter's word, the process that gave it, and which processes that one had heard last."""

    start: int
    seen: m.Seen
    message: m.Promise | m.Accepted | m.RecoveryReport


def majority_size(voters: m.Voters) -> int:
    """How many of them."""
    return len(voters) // 2 + 1


def find_quorum(replies: Mapping[int, QuorumReply], sets: Iterable[m.Voters]) -> list[int]:
    """Majorities of all these sets in which none knows another one's process as replaced; else empty."""
    parts = [
        list(combinations(sorted(replies.keys() & set(s)), majority_size(s))) for s in dict.fromkeys(sets)
    ]
    seen = {voter: dict(reply.seen) for voter, reply in replies.items()}
    for choice in product(*parts) if parts else ():
        group = sorted({voter for part in choice for voter in part})
        if all(seen[a].get(b) == replies[b].start for a, b in permutations(group, 2)):
            return group
    return []
