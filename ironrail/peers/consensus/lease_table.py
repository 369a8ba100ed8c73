"""The leases that a voter granted, or a router that answers for others. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ironrail.peers.consensus.lease import are_disjoint
from ironrail.peers.consensus.messages import LeaseRequest, Scope, ScopedStep

MOST_LIVES = 4  # processes of one router that leases are remembered of; more starts within a lease wait


@dataclass(slots=True)
class LeaseEntry:
    """What one process may decide by."""

    sequence: int = 0
    scoped_steps: tuple[ScopedStep, ...] = ()
    expires_at: float = -math.inf  # by the clock of who granted it
    last_request_at: float = -math.inf
    rejection: tuple[int, int, str] | None = None  # router, version with its epoch, why
    behind: int | None = None  # the router that holds it back, where it answers for others


@dataclass(slots=True)
class LeaseTable:
    """A process that was replaced by another one keeps its own entry."""

    max_lease_seconds: float  # seconds by this clock in which any lease has run out by its router's
    entries: dict[tuple[int, int], LeaseEntry] = field(default_factory=dict)  # (router, start)
    _lives: dict[int, tuple[int, ...]] = field(default_factory=dict)  # router -> starts, of the same

    def request(
        self, now: float, life: tuple[int, int], ask: LeaseRequest, least: int, until: float
    ) -> bool | None:
        """Whether it is granted; nothing if overtaken by a later one.

        `least`: step, older ones aren't granted; `until`: what is granted now has run out then.
        """
        entry = self.entries.get(life)
        if entry is None:
            self._forget(now, life[0])
            lives = self._lives.get(life[0], ())
            if len(lives) >= MOST_LIVES:
                return False
            self._lives[life[0]] = (*lives, life[1])
            entry = self.entries[life] = LeaseEntry()
        if ask.sequence <= entry.sequence:
            return None
        entry.sequence, entry.last_request_at = ask.sequence, now
        entry.rejection, entry.behind = ask.refuses, ask.behind
        notes = tuple(wish for wish in (ask.low, ask.high) if wish)
        if not notes or min(wish.step for wish in notes) < least or until <= now:
            return False
        entry.scoped_steps, entry.expires_at = notes, until
        return True

    def holders_against(self, now: float, scope: Scope) -> list[int]:
        """Routers that may still decide by what is apart from this scope."""
        return sorted(
            {
                router if entry.behind is None else entry.behind
                for (router, _), entry in self.entries.items()
                if now < entry.expires_at
                and any(are_disjoint(scope, wish.scope) for wish in entry.scoped_steps)
            }
        )

    def last_expiry_against(self, now: float, scope: Scope) -> float:
        """When the last of these leases has run out, if none is renewed; no time if there are none."""
        entries = [e for e in self.entries.values() if now < e.expires_at]
        return max(
            (
                e.expires_at
                for e in entries
                if any(are_disjoint(scope, wish.scope) for wish in e.scoped_steps)
            ),
            default=-math.inf,
        )

    def live_processes(self, now: float) -> list[tuple[int, int]]:
        """Processes whose leases last."""
        return [life for life, entry in self.entries.items() if now < entry.expires_at]

    def live_scoped_steps(self, now: float) -> list[ScopedStep]:
        """What is decided by under leases that last."""
        return [
            wish for entry in self.entries.values() if now < entry.expires_at for wish in entry.scoped_steps
        ]

    def rejection_of(self, now: float, version: int) -> tuple[int, int, str] | None:
        """A router heard within a lease's time that can't work by this version (with its epoch), and why."""
        for _, entry in sorted(self.entries.items(), key=lambda item: item[0]):
            if (
                entry.rejection
                and entry.rejection[1] == version
                and now < entry.last_request_at + self.max_lease_seconds
            ):
                return entry.rejection
        return None

    def _forget(self, now: float, router: int) -> None:
        """Of this router alone: a process that is refused asks again, and must not cost a look at all."""
        kept = []
        for start in self._lives.get(router, ()):
            entry = self.entries.get((router, start))
            if entry and now < max(entry.expires_at, entry.last_request_at + self.max_lease_seconds):
                kept.append(start)
            else:
                self.entries.pop((router, start), None)
        self._lives[router] = tuple(kept)
