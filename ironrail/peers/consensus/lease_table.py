"""The leases granted by a voter, or by a head to its members. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ironrail.peers.consensus.lease import are_incompatible
from ironrail.peers.consensus.messages import LeaseRequest, Scope, ScopedStep

# Processes of one router whose leases are remembered; after more restarts within a lease the
# router has to wait.
MAX_INCARNATIONS_PER_ROUTER = 4


@dataclass(slots=True)
class LeaseEntry:
    """The lease of one process."""

    sequence: int = 0
    scoped_steps: tuple[ScopedStep, ...] = ()
    expires_at: float = -math.inf  # on the clock of the granting router
    last_request_at: float = -math.inf
    rejection: tuple[int, int, str] | None = None  # router, version with its epoch, and reason
    lagging_router: int | None = None  # of the members of a head, the router that lags behind


@dataclass(slots=True)
class LeaseTable:
    """Leases by process; a process that was replaced by another one keeps its own entry."""

    # time on this clock after which any lease has expired on its router's
    max_lease_seconds: float
    # by router and incarnation
    entries: dict[tuple[int, int], LeaseEntry] = field(default_factory=dict)
    # router -> incarnations in `entries`
    _incarnations: dict[int, tuple[int, ...]] = field(default_factory=dict)

    def request(
        self,
        now: float,
        process: tuple[int, int],
        lease_request: LeaseRequest,
        min_step: int,
        expires_at: float,
    ) -> bool | None:
        """Handle a request for a lease.

        Args:
            now: Time on this router's clock.
            process: Router and incarnation that ask.
            lease_request: The request.
            min_step: Requests with an older step are refused.
            expires_at: When a lease granted now has expired.

        Returns:
            Whether the lease is granted; None if a later request overtook this one.
        """
        entry = self.entries.get(process)
        if entry is None:
            self._evict_expired(now, process[0])
            incarnations = self._incarnations.get(process[0], ())
            if len(incarnations) >= MAX_INCARNATIONS_PER_ROUTER:
                return False
            self._incarnations[process[0]] = (*incarnations, process[1])
            entry = self.entries[process] = LeaseEntry()
        if lease_request.sequence <= entry.sequence:
            return None
        entry.sequence, entry.last_request_at = lease_request.sequence, now
        entry.rejection, entry.lagging_router = (
            lease_request.rejection,
            lease_request.lagging_router,
        )
        scoped_steps = tuple(
            scoped_step for scoped_step in (lease_request.low, lease_request.high) if scoped_step
        )
        if (
            not scoped_steps
            or min(scoped_step.step for scoped_step in scoped_steps) < min_step
            or expires_at <= now
        ):
            return False
        entry.scoped_steps, entry.expires_at = scoped_steps, expires_at
        return True

    def conflicting_holders(self, now: float, scope: Scope) -> list[int]:
        """Return the routers that may still decide by an incompatible scope."""
        return sorted(
            {
                router if entry.lagging_router is None else entry.lagging_router
                for (router, _), entry in self.entries.items()
                if now < entry.expires_at
                and any(
                    are_incompatible(scope, scoped_step.scope) for scoped_step in entry.scoped_steps
                )
            }
        )

    def last_conflicting_expiry(self, now: float, scope: Scope) -> float:
        """Return when the last incompatible lease expires unless renewed; -inf without one."""
        entries = [entry for entry in self.entries.values() if now < entry.expires_at]
        return max(
            (
                entry.expires_at
                for entry in entries
                if any(
                    are_incompatible(scope, scoped_step.scope) for scoped_step in entry.scoped_steps
                )
            ),
            default=-math.inf,
        )

    def live_processes(self, now: float) -> list[tuple[int, int]]:
        """Return the processes whose leases have not expired."""
        return [process for process, entry in self.entries.items() if now < entry.expires_at]

    def live_scoped_steps(self, now: float) -> list[ScopedStep]:
        """Return what is decided by under leases that have not expired."""
        return [
            scoped_step
            for entry in self.entries.values()
            if now < entry.expires_at
            for scoped_step in entry.scoped_steps
        ]

    def rejection_of(self, now: float, version: int) -> tuple[int, int, str] | None:
        """Return the rejection of this version (with its epoch) by a router, or None.

        Only rejections received within the duration of a lease count.
        """
        for _, entry in sorted(self.entries.items(), key=lambda item: item[0]):
            if (
                entry.rejection
                and entry.rejection[1] == version
                and now < entry.last_request_at + self.max_lease_seconds
            ):
                return entry.rejection
        return None

    def _evict_expired(self, now: float, router: int) -> None:
        """Evict expired entries of one router.

        Not of all routers: a refused process asks again, and a scan of the whole table each time
        is too slow.
        """
        kept = []
        for incarnation in self._incarnations.get(router, ()):
            entry = self.entries.get((router, incarnation))
            if entry and now < max(
                entry.expires_at, entry.last_request_at + self.max_lease_seconds
            ):
                kept.append(incarnation)
            else:
                self.entries.pop((router, incarnation), None)
        self._incarnations[router] = tuple(kept)
