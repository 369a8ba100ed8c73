"""Lines in order of time, from logs whose lines are not. Pure.

Servers write a line when a request ends, so lines lie out of order by as long as requests take. A window of
that length is held back and sorted. A line that is later than that is either a straggler, which is counted as
malformed, or the first after the clock was set back; which of them shows in what follows.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

STEP_AFTER = 20  # late lines in a row, with none in time between them: the clock was set back
T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Step:
    """The clock was set back by so many seconds, at this time of the new clock."""

    at: float
    back: float


@dataclass(slots=True)
class Sorter(Generic[T]):
    """Holds back `window` seconds of lines, or `most` of them, whichever is less.

    `late` takes what came too late, `steps` the times at which the clock was set back.
    """

    window: float
    most: int = 1_000_000  # lines held back at once: some hundred bytes each
    late: list[T] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    _heap: list[tuple[float, int, T]] = field(default_factory=list)
    _count: int = 0
    _newest: float = float("-inf")
    _given: float = float("-inf")  # what was given on is not later than that
    _shift: float = 0.0  # added to times since the clock was set back
    _behind: list[tuple[float, T]] = field(default_factory=list)

    def add(self, at: float, what: T) -> Iterator[tuple[float, T]]:
        """One line; yields those that no later line can come before any more, with their times."""
        at += self._shift
        if at < self._given or at < self._newest - self.window:
            self._behind.append((at, what))
            if len(self._behind) >= STEP_AFTER:
                yield from self._set_back()
            return
        self.late += [late for _, late in self._behind]
        self._behind = []
        yield from self._push(at, what)

    def _push(self, at: float, what: T) -> Iterator[tuple[float, T]]:
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, what))
        self._newest = max(self._newest, at)
        while self._heap and (self._heap[0][0] < self._newest - self.window or len(self._heap) > self.most):
            yield self._pop()

    def _pop(self) -> tuple[float, T]:
        at, _, what = heapq.heappop(self._heap)
        self._given = max(self._given, at)
        return at, what

    def _set_back(self) -> Iterator[tuple[float, T]]:
        """The lines behind are on a new clock: they go on from the newest time of the old one."""
        behind, self._behind = sorted(self._behind, key=lambda late: late[0]), []
        first = behind[0][0]
        back = self._newest - first
        self.steps.append(Step(first - self._shift, back))
        self._shift += back
        for at, what in behind:
            yield from self._push(at + back, what)

    def rest(self) -> Iterator[tuple[float, T]]:
        """All that is held back still."""
        self.late += [late for _, late in self._behind]
        self._behind = []
        while self._heap:
            yield self._pop()
