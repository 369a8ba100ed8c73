"""Quorums: which replies form a majority of each set of voters. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import combinations, permutations, product

from ironrail.peers.consensus import messages as m


@dataclass(frozen=True, slots=True)
class QuorumReply:
    """A voter's reply, the process that sent it, and the processes that this one had seen."""

    incarnation: int
    seen_incarnations: m.SeenIncarnations
    message: m.Promise | m.Accepted | m.RecoveryReport


def majority_size(voters: m.Voters) -> int:
    """Return how many voters form a majority."""
    return len(voters) // 2 + 1


def find_quorum(replies: Mapping[int, QuorumReply], sets: Iterable[m.Voters]) -> list[int]:
    """Find majorities of all sets whose replies are consistent with each other.

    Replies are inconsistent if one of the voters has seen a different, newer process of another
    voter than the one that sent the reply.

    Returns:
        The voters of these majorities, or an empty list.
    """
    parts = [
        list(combinations(sorted(replies.keys() & set(s)), majority_size(s)))
        for s in dict.fromkeys(sets)
    ]
    seen = {voter: dict(reply.seen_incarnations) for voter, reply in replies.items()}
    for choice in product(*parts) if parts else ():
        group = sorted({voter for part in choice for voter in part})
        if all(seen[a].get(b) == replies[b].incarnation for a, b in permutations(group, 2)):
            return group
    return []
