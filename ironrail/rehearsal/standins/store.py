"""The store of a cache: bounded in bytes, with least-recently-used eviction. No I/O."""

from __future__ import annotations

from collections import OrderedDict

ITEM_OVERHEAD_BYTES = 60  # of an item beyond its value


class Store:
    """Keys and the sizes of their values."""

    def __init__(self, memory: int) -> None:
        self._memory = memory  # bytes
        self._sizes = OrderedDict[str, int]()
        self.used = 0  # bytes

    def __len__(self) -> int:
        return len(self._sizes)

    def get(self, key: str) -> int | None:
        """Returns the size of a value and marks it as used; None for a miss."""
        size = self._sizes.get(key)
        if size is not None:
            self._sizes.move_to_end(key)
        return size

    def put(self, key: str, size: int) -> None:
        """Stores a value, unless it is larger than the whole memory."""
        self.drop(key)
        if size + ITEM_OVERHEAD_BYTES > self._memory:
            return
        self._sizes[key] = size
        self.used += size + ITEM_OVERHEAD_BYTES
        while self.used > self._memory:
            _, oldest = self._sizes.popitem(last=False)
            self.used -= oldest + ITEM_OVERHEAD_BYTES

    def drop(self, key: str) -> None:
        """Removes a value, if it is stored."""
        size = self._sizes.pop(key, None)
        if size is not None:
            self.used -= size + ITEM_OVERHEAD_BYTES

    def clear(self) -> None:
        """Removes all values."""
        self._sizes.clear()
        self.used = 0
