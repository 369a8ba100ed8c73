"""What a grid cache keeps: bounded by bytes, the least recently used goes first. Pure."""

from __future__ import annotations

from collections import OrderedDict

OVERHEAD = 60  # bytes of an item beyond its value


class Store:
    """Keys and the sizes of what is kept of them."""

    def __init__(self, memory: int) -> None:
        self._memory = memory
        self._sizes = OrderedDict[str, int]()
        self.used = 0  # bytes

    def __len__(self) -> int:
        return len(self._sizes)

    def get(self, key: str) -> int | None:
        """The size of what is kept, which counts as a use; None for a miss."""
        size = self._sizes.get(key)
        if size is not None:
            self._sizes.move_to_end(key)
        return size

    def put(self, key: str, size: int) -> None:
        """Keep it, unless it is larger than all memory."""
        self.drop(key)
        if size + OVERHEAD > self._memory:
            return
        self._sizes[key] = size
        self.used += size + OVERHEAD
        while self.used > self._memory:
            _, oldest = self._sizes.popitem(last=False)
            self.used -= oldest + OVERHEAD

    def drop(self, key: str) -> None:
        size = self._sizes.pop(key, None)
        if size is not None:
            self.used -= size + OVERHEAD

    def clear(self) -> None:
        self._sizes.clear()
        self.used = 0
