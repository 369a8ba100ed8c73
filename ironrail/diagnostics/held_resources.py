"""Finds bounded resources that are still held after their owner has ended.

Such a resource is never released: the limit that it counts towards shrinks for as long as the
process runs, until nothing is left for others.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Mapping
from enum import StrEnum
from typing import Protocol, runtime_checkable

from ironrail.diagnostics.invariants import InvariantGuard

CHECK_INTERVAL_SECONDS = 1.0
"""An owner that has ended releases what it holds well within one interval."""


class HeldResource(StrEnum):
    """A resource with a limit."""

    VALUE_MEMORY = "value_memory"
    """Memory reserved for a long value."""
    VALUE_MEMORY_QUEUE = "value_memory_queue"
    """A position in the queue for that memory."""
    CLIENT_SESSION = "client_session"
    """One of the sessions that are admitted at a time."""
    ATTEMPT = "attempt"
    """An attempt without an outcome, which counts as load on its server."""


@runtime_checkable
class ResourceOwner(Protocol):
    """An object that holds resources for as long as it lives."""

    @property
    def has_ended(self) -> bool:
        """Whether the owner no longer uses any resource."""


def ended_owners(owners: Iterable[Hashable]) -> Iterable[Hashable]:
    """Return those of the owners that have ended."""
    return [owner for owner in owners if isinstance(owner, ResourceOwner) and owner.has_ended]


class HeldResourceCheck:
    """Counts each owner that still holds a resource one check after it was found to have ended."""

    def __init__(
        self,
        guard: InvariantGuard,
        find_ended: Mapping[HeldResource, Callable[[], Iterable[Hashable]]],
    ) -> None:
        """Report to `guard`; `find_ended` returns the holders of each resource that have ended."""
        self._guard = guard
        self._find_ended = find_ended
        self._ended: dict[HeldResource, set[Hashable]] = {}
        self._reported: dict[HeldResource, set[Hashable]] = {}

    def run(self, now: float) -> None:
        """Check all resources; called once in each `CHECK_INTERVAL_SECONDS`."""
        for resource, find in self._find_ended.items():
            ended = set(find())
            overdue = ended & self._ended.get(resource, set())
            for _ in overdue - self._reported.get(resource, set()):
                self._guard.held_after_end(now, resource.value)
            self._ended[resource] = ended
            self._reported[resource] = overdue
