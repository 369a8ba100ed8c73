"""How cores are shared by the work on them: a model of a server's pace. Pure."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

Job = TypeVar("Job")


class Cores(Generic[Job]):
    """Processor sharing: all jobs go on at one pace, none on more than one core.

    Times are seconds on one clock that only advances, work is seconds of one core of speed 1. The pace
    changes only when told so, or when jobs come and go: call `advance` first.
    """

    def __init__(self, cores: float, speed: float, now: float) -> None:
        self._cores, self._speed = cores, speed
        self._factor = 1.0
        self._frozen = False
        self._done = 0.0  # work that a job which was there from the start would have had
        self._at = now
        self._jobs: list[tuple[float, int, Job]] = []  # when `_done` gets there the job ends
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def capacity(self) -> float:
        """Work that all cores do in a second."""
        return 0.0 if self._frozen else self._cores * self._speed * self._factor

    def _pace(self) -> float:
        """Work that each job has done in a second."""
        if not self._jobs or self._frozen:
            return 0.0
        return self._speed * self._factor * min(1.0, self._cores / len(self._jobs))

    def advance(self, now: float) -> list[Job]:
        """Go on to this moment; answers with the jobs that have ended, in order."""
        ended = []
        while self._jobs:
            pace = self._pace()
            left = self._jobs[0][0] - self._done
            if pace <= 0.0 or self._at + left / pace > now:
                break
            self._at += left / pace
            self._done = self._jobs[0][0]
            ended.append(heapq.heappop(self._jobs)[2])
        self._done += max(0.0, now - self._at) * self._pace()
        self._at = max(self._at, now)
        return ended

    def add(self, job: Job, work: float) -> None:
        """Begin a job now."""
        heapq.heappush(self._jobs, (self._done + max(0.0, work), next(self._order), job))

    def next_end(self) -> float | None:
        """When the next job ends if nothing changes."""
        pace = self._pace()
        if pace <= 0.0:
            return None
        return self._at + max(0.0, self._jobs[0][0] - self._done) / pace

    def set_factor(self, factor: float) -> None:
        """From now on work at this share of the usual pace."""
        self._factor = factor

    def freeze(self, frozen: bool) -> None:
        """Stand still, or go on."""
        self._frozen = frozen

    def clear(self) -> list[Job]:
        """Drop all jobs, as at the end of a process."""
        jobs, self._jobs = [job for _, _, job in self._jobs], []
        return jobs
