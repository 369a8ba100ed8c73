"""Selects idle client connections to close, so that clients reconnect to their assigned zone.

A client's zone follows from its address by weighted rendezvous hashing (Schindelhauer, Schomaker,
SPAA 2005): when shares change, only clients of zones that lost share move, and all routers assign
alike. No I/O.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ironrail.peers.steering.proposal import SteeringRows

MIGRATIONS_PER_SECOND = 2.0  # by one router: 100 routers move 10,000 clients in a minute
MAX_MIGRATION_BURST = 10.0
# A client that came back after its migration does not follow the rows; it is left alone for this
# time.
RETURNED_CLIENT_SECONDS = 600.0
MAX_MIGRATED_CLIENTS = 4096  # remembered for that: half a megabyte


class MigrationCandidate(NamedTuple):
    """A client connection.

    Attributes:
        number: Identifies the connection to the caller.
        region: Name of the client's region.
        client: The client's address without port.
        is_busy: Whether a response is due, or a request was received or a response sent in part.
        idle: Seconds since the last response was sent.
        opened_at: When the connection was opened.
    """

    number: int
    region: str
    client: str
    is_busy: bool
    idle: float
    opened_at: float = -math.inf


def assign_zone(row: Mapping[str, float], client: str) -> str | None:
    """Return the zone of a client; None for the share that the row leaves unassigned."""
    best, lowest = None, math.inf
    rest = 1.0 - sum(row.values())
    shares = sorted(row.items()) + ([("", rest)] if rest > 1e-9 else [])
    for zone, share in shares:
        if share > 0.0:
            digest = hashlib.blake2b(f"{zone}\n{client}".encode(), digest_size=8).digest()
            score = -math.log((int.from_bytes(digest, "big") + 1) / 2.0**64) / share
            if score < lowest:
                best, lowest = zone, score
    return best or None


class MigrationSelector:
    """Selects connections to close at a limited rate."""

    def __init__(
        self,
        own_zone: str,
        now: float,
        rate: float = MIGRATIONS_PER_SECOND,
        burst: float = MAX_MIGRATION_BURST,
    ) -> None:
        """Begin without a burst.

        Args:
            own_zone: This router's zone.
            now: Time on this router's clock.
            rate: Connections/s.
            burst: Connections that may be selected at once.
        """
        self._own_zone, self._rate, self._burst = own_zone, rate, burst
        self._tokens, self._refilled_at = 0.0, now  # no burst after a restart
        self._migrated_at: dict[str, float] = {}  # first migration of each client, the oldest first

    def select(
        self,
        now: float,
        rows: SteeringRows,
        candidates: Iterable[MigrationCandidate],
        accepts: Mapping[str, bool],
    ) -> list[int]:
        """Return the numbers of the connections to close, the longest idle first.

        Args:
            now: Time on this router's clock.
            rows: The rows in force.
            candidates: Connections of this router.
            accepts: Whether each zone accepts more clients.
        """
        self._tokens = min(
            self._burst, self._tokens + self._rate * max(0.0, now - self._refilled_at)
        )
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1.0:
            return []
        found = []
        for candidate in sorted(candidates, key=lambda c: (-c.idle, c.number)):
            row = rows.get(candidate.region)
            if row is None or candidate.is_busy:
                continue
            target = assign_zone(row, candidate.client)
            if (
                target is None
                or target == self._own_zone
                or not accepts.get(target, False)
                or self._has_returned(now, candidate)
            ):
                continue
            self._migrated_at.setdefault(candidate.client, now)
            found.append(candidate.number)
            self._tokens -= 1.0
            if self._tokens < 1.0:
                break
        while len(self._migrated_at) > MAX_MIGRATED_CLIENTS:
            del self._migrated_at[next(iter(self._migrated_at))]
        return found

    def _has_returned(self, now: float, candidate: MigrationCandidate) -> bool:
        migrated_at = self._migrated_at.get(candidate.client)
        if migrated_at is not None and now - migrated_at > RETURNED_CLIENT_SECONDS:
            del self._migrated_at[candidate.client]
            return False
        return migrated_at is not None and candidate.opened_at > migrated_at
