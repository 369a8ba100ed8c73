"""Which key is asked for: Zipf's law over the keys of a scenario. Pure."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate


class Popularity:
    """Keys 0, 1, 2 and so on, each with a weight of 1 / (rank + 1) ** exponent."""

    def __init__(self, keys: int, exponent: float) -> None:
        self._sums: list[float] = list(accumulate((rank + 1) ** -exponent for rank in range(keys)))

    def key(self, draw: float) -> int:
        """The key of a draw from [0, 1)."""
        return min(bisect_left(self._sums, draw * self._sums[-1]), len(self._sums) - 1)

    def share(self, rank: int) -> float:
        """Of all requests, the share that asks for the key of this rank."""
        below = self._sums[rank - 1] if rank else 0.0
        return (self._sums[rank] - below) / self._sums[-1]
