"""Grants memory for values to those who wait for it."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol, cast

from ironrail.connections.downstream.memory_budget import MemoryBudget


class MemoryWaiter(Protocol):
    """Waits for memory for one value."""

    def memory_granted(self) -> None:
        """Resume reading the value."""

    def refuse(self) -> None:
        """Stop waiting, and reject the command."""


def release_memory(budget: MemoryBudget, owner: Hashable) -> None:
    """Release what an owner has reserved, or its place in the queue, and serve those who wait."""
    budget.release(owner)
    grant_memory(budget)


def grant_memory(budget: MemoryBudget) -> None:
    """Grant memory to those who have waited longest, as far as there is enough."""
    while (waiter := budget.grant_next_waiter()) is not None:
        cast(MemoryWaiter, waiter).memory_granted()


def refuse_memory(budget: MemoryBudget) -> None:
    """Reject the commands of all who wait."""
    for waiter in budget.waiters:
        cast(MemoryWaiter, waiter).refuse()
