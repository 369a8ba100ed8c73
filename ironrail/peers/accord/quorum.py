"""Which replies make a majority of the voters. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import combinations, permutations

from ironrail.peers.accord import messages as m


@dataclass(frozen=True, slots=True)
class Reply:
    """A voter's word, the process that gave it, and which processes that one had heard last."""

    start: int
    seen: m.Seen
    message: m.Promise | m.Accepted | m.Report


def sound(replies: Mapping[int, Reply], voters: tuple[int, ...], need: int) -> list[int]:
    """So many voters of which none knows another one's process as replaced; empty if there aren't."""
    place = {voter: i for i, voter in enumerate(voters)}
    for group in combinations(sorted(replies), need):
        if all(
            len(replies[a].seen) == len(voters) and replies[a].seen[place[b]] == replies[b].start
            for a, b in permutations(group, 2)
        ):
            return list(group)
    return []
