"""Which resting client connections to let go, so that clients come to the hall that rows give them. Pure.

A client's place among the shares follows from its address by weighted rendezvous (Schindelhauer, Schomaker,
SPAA 2005): when shares change, only those move whose hall lost share, and each router gives the same answer.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ironrail.peers.steering.proposal import Rows

PACE = 2.0  # connections let go a second by one router: 100 routers bring 10,000 clients over in a minute
BURST = 10.0
# seconds in which a client that came back after it was let go is left alone: it follows no rows
AGAIN = 600.0
MOST_GONE = 4096  # clients that are remembered for it: half a megabyte


class Resting(NamedTuple):
    """A client's connection. `owed`: an answer, or bytes of a request that has begun, either way."""

    number: int
    region: str
    client: str  # address without port
    owed: bool
    idle: float  # seconds since its last answer went out
    opened: float = -math.inf  # when it came


def place(row: Mapping[str, float], client: str) -> str | None:
    """The hall that the row gives this client, None where it falls to those who found no room."""
    best, least = None, math.inf
    rest = 1.0 - sum(row.values())
    shares = sorted(row.items()) + ([("", rest)] if rest > 1e-9 else [])
    for hall, share in shares:
        if share > 0.0:
            drawn = hashlib.blake2b(f"{hall}\n{client}".encode(), digest_size=8).digest()
            score = -math.log((int.from_bytes(drawn, "big") + 1) / 2.0**64) / share
            if score < least:
                best, least = hall, score
    return best or None


class Carrier:
    """Lets go at a bounded pace."""

    def __init__(self, here: str, now: float, pace: float = PACE, burst: float = BURST) -> None:
        """`pace` in connections/s."""
        self._here, self._pace, self._burst = here, pace, burst
        self._tokens, self._at = 0.0, now  # a start is no reason for a burst
        self._gone: dict[str, float] = {}  # when a client was first let go; the oldest first

    def let_go(
        self, now: float, rows: Rows, resting: Iterable[Resting], takes: Mapping[str, bool]
    ) -> list[int]:
        """Numbers of connections to close, the longest idle first. `takes`: halls below their limit."""
        self._tokens = min(self._burst, self._tokens + self._pace * max(0.0, now - self._at))
        self._at = max(now, self._at)
        if self._tokens < 1.0:
            return []
        found = []
        for one in sorted(resting, key=lambda c: (-c.idle, c.number)):
            row = rows.get(one.region)
            if row is None or one.owed:
                continue
            to = place(row, one.client)
            if to is None or to == self._here or not takes.get(to, False) or self._is_back(now, one):
                continue
            self._gone.setdefault(one.client, now)
            found.append(one.number)
            self._tokens -= 1.0
            if self._tokens < 1.0:
                break
        while len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]
        return found

    def _is_back(self, now: float, one: Resting) -> bool:
        gone = self._gone.get(one.client)
        if gone is not None and now - gone > AGAIN:
            del self._gone[one.client]
            return False
        return gone is not None and one.opened > gone
