"""The work of one server: slots, a queue before them, and one timer for whatever ends next."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.rehearsal.standins.cores import Cores

LEAST_STEP = 1e-4  # seconds: closer ends are taken in one go
WARMING_STEP = 0.25  # seconds between looks at a capacity that rises


@dataclass(slots=True, eq=False)
class Job:
    """Work and what follows when it is done."""

    work: float
    done: Callable[[], None]
    started: Callable[[], None] | None = None


class Workplace:
    """Takes jobs, up to its slots and its queue, and carries them out at the pace of its cores."""

    def __init__(self, cores: float, speed: float, slots: int, queue: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._cores = Cores[Job](cores, speed, self._loop.time())
        self._slots, self._queue_room = slots, queue
        self._queue: deque[Job] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.share: Callable[[], float] = lambda: 1.0  # of its capacity that it has now

    def __len__(self) -> int:
        return len(self._cores) + len(self._queue)

    @property
    def capacity(self) -> float:
        """Seconds of work that it does in a second now."""
        return self._cores.capacity

    def full(self) -> bool:
        return len(self._cores) >= self._slots and len(self._queue) >= self._queue_room

    def take(self, job: Job) -> None:
        """Begin a job, or have it wait for a slot; the caller asks `full` first."""
        self._advance()
        if len(self._cores) < self._slots:
            self._begin(job)
        else:
            self._queue.append(job)
        self._arm()

    def freeze(self, frozen: bool) -> None:
        self._advance()
        self._cores.freeze(frozen)
        self._arm()

    def clear(self) -> None:
        """Drop everything, as at the end of a process."""
        self._cores.clear()
        self._queue.clear()
        self._arm()

    def _begin(self, job: Job) -> None:
        if job.started is not None:
            job.started()
        self._cores.add(job, job.work)

    def _advance(self) -> None:
        """Take what has ended by now, and let what waits begin."""
        self._cores.set_factor(self.share())
        ended = self._cores.advance(self._loop.time())
        for job in ended:
            job.done()
        while self._queue and len(self._cores) < self._slots:
            self._begin(self._queue.popleft())

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end = self._cores.next_end()
        if end is None:
            return
        at = max(end, self._loop.time() + LEAST_STEP)
        if self.share() < 1.0:
            at = min(at, self._loop.time() + WARMING_STEP)
        self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        self._arm()
