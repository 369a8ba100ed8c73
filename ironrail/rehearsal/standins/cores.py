"""Processor sharing: how the cores of a server are divided between its jobs. No I/O."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

Job = TypeVar("Job")


class Cores(Generic[Job]):
    """Processor sharing: all jobs progress at one rate, and none uses more than one core.

    Times are seconds on one clock that only advances; work is in seconds of one core of speed 1.
    The rate changes only when it is set, or when jobs begin or end: call `advance` first.
    """

    def __init__(self, cores: float, speed: float, now: float) -> None:
        self._cores, self._speed = cores, speed
        self._factor = 1.0
        self._frozen = False
        self._done = 0.0  # work that a job which was there from the start would have received
        self._at = now
        self._jobs: list[tuple[float, int, Job]] = []  # a heap by the value of `_done` at which a job ends
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def capacity(self) -> float:
        """Work that all cores do in a second."""
        return 0.0 if self._frozen else self._cores * self._speed * self._factor

    def _rate(self) -> float:
        """Work that each job receives in a second."""
        if not self._jobs or self._frozen:
            return 0.0
        return self._speed * self._factor * min(1.0, self._cores / len(self._jobs))

    def advance(self, now: float) -> list[Job]:
        """Advances to this time; returns the jobs that have ended, in order."""
        ended = []
        while self._jobs:
            rate = self._rate()
            left = self._jobs[0][0] - self._done
            if rate <= 0.0 or self._at + left / rate > now:
                break
            self._at += left / rate
            self._done = self._jobs[0][0]
            ended.append(heapq.heappop(self._jobs)[2])
        self._done += max(0.0, now - self._at) * self._rate()
        self._at = max(self._at, now)
        return ended

    def add(self, job: Job, work: float) -> None:
        """Begins a job now."""
        heapq.heappush(self._jobs, (self._done + max(0.0, work), next(self._order), job))

    def next_end(self) -> float | None:
        """Returns when the next job ends if nothing changes, None if none does."""
        rate = self._rate()
        if rate <= 0.0:
            return None
        return self._at + max(0.0, self._jobs[0][0] - self._done) / rate

    def set_factor(self, factor: float) -> None:
        """Sets the fraction of the normal speed at which the cores work from now on."""
        self._factor = factor

    def freeze(self, frozen: bool) -> None:
        """Stops all work, or resumes it."""
        self._frozen = frozen

    def clear(self) -> list[Job]:
        """Drops all jobs, as at the end of a process, and returns them."""
        jobs, self._jobs = [job for _, _, job in self._jobs], []
        return jobs
