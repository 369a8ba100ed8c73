"""A limit on the memory for values, granted in order of request."""

from __future__ import annotations

from collections.abc import Hashable

MAX_RESPONSE_FRACTION = 0.5
"""Of the budget, for responses that clients have not read; the rest is left for other values."""


class MemoryBudget:
    """The memory for the values of one router. Sizes are bytes.

    Owners decide whether a reservation that does not fit waits or fails. The current owner of a
    reservation releases it. Responses that their client has not read are counted apart.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.free_bytes = total_bytes
        self._reserved: dict[Hashable, int] = {}
        self._waiting: dict[Hashable, int] = {}  # the owner that has waited longest is first
        self._responses: dict[Hashable, int] = {}
        self.response_bytes = 0
        self.shortages = 0
        """How often memory was asked for and not granted at once."""

    @property
    def waiting_count(self) -> int:
        """Number of owners that wait for memory."""
        return len(self._waiting)

    @property
    def owners(self) -> list[Hashable]:
        """The owners of reservations."""
        return [*self._reserved, *self._responses]

    @property
    def waiters(self) -> list[Hashable]:
        """The owners that wait for memory, the one that has waited longest first."""
        return list(self._waiting)

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved by all owners together."""
        return self.total_bytes - self.free_bytes

    def reserve(self, owner: Hashable, size: int) -> bool:
        """Reserve memory, and return whether it was free and no other owner is waiting.

        A value larger than the whole budget is admitted while nothing else is reserved, because it
        would otherwise wait forever.
        """
        if self._waiting or not self._fits(size):
            self.shortages += 1
            return False
        self._grant(owner, size)
        return True

    def grow(self, owner: Hashable, size: int) -> bool:
        """Add to an owner's reservation, or begin it, and return whether the memory was free.

        An owner may exceed the budget while nothing else is reserved.
        """
        if owner not in self._reserved:
            return self.reserve(owner, size)
        if len(self._reserved) > 1 and (self._waiting or size > self.free_bytes):
            self.shortages += 1
            return False
        self._reserved[owner] += size
        self.free_bytes -= size
        return True

    def wait(self, owner: Hashable, size: int) -> None:
        """Queue an owner for memory, which `grant_next_waiter` reserves for it."""
        self._waiting[owner] = size

    def transfer(self, owner: Hashable, new_owner: Hashable) -> None:
        """Hand a reservation, or a position in the queue, to another owner."""
        if owner in self._reserved:
            self._reserved[new_owner] = self._reserved.pop(owner)
        elif owner in self._waiting:
            self._waiting = {
                new_owner if waiter == owner else waiter: size
                for waiter, size in self._waiting.items()
            }

    def release(self, owner: Hashable) -> None:
        """Free an owner's reservation, or remove the owner from the queue."""
        self.free_bytes += self._reserved.pop(owner, 0)
        self._waiting.pop(owner, None)

    def grant_next_waiter(self) -> Hashable | None:
        """Reserve memory for the first owner in the queue; None if there is none or too little."""
        first = next(iter(self._waiting.items()), None)
        if first is None:
            return None
        owner, size = first
        if not self._fits(size):
            return None
        del self._waiting[owner]
        self._grant(owner, size)
        return owner

    def reserve_response(self, owner: Hashable, size: int) -> bool:
        """Add to what an owner holds for unread responses, and return whether it fits.

        It need not wait behind those who wait for memory, because it can't.
        """
        is_too_much = self.response_bytes + size > self.total_bytes * MAX_RESPONSE_FRACTION
        if self.response_bytes and (is_too_much or size > self.free_bytes):
            self.shortages += 1
            return False
        self.set_response(owner, self._responses.get(owner, 0) + size)
        return True

    def set_response(self, owner: Hashable, size: int) -> None:
        """Record how much an owner holds for unread responses; it may exceed the budget."""
        growth = size - self._responses.pop(owner, 0)
        if size:
            self._responses[owner] = size
        self.response_bytes += growth
        self.free_bytes -= growth

    def _fits(self, size: int) -> bool:
        return size <= self.free_bytes or not self._reserved

    def _grant(self, owner: Hashable, size: int) -> None:
        assert owner not in self._reserved, "an owner reserves once"
        self._reserved[owner] = size
        self.free_bytes -= size
