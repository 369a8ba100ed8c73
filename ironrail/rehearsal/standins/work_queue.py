"""The work of one server: slots with a queue before them, and one timer for whatever ends next."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.rehearsal.standins.cores import Cores

MIN_TIMER_SECONDS = 1e-4  # jobs that end within this time are completed together
CAPACITY_CHECK_SECONDS = 0.25  # between updates of a capacity that rises


@dataclass(slots=True, eq=False)
class Job:
    """Work, and the callbacks at its start and its end."""

    work: float  # seconds of one core of speed 1
    done: Callable[[], None]
    started: Callable[[], None] | None = None


class WorkQueue:
    """Accepts jobs up to its slots and its queue, and executes them at the speed of its cores."""

    def __init__(self, cores: float, speed: float, slots: int, queue: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._cores = Cores[Job](cores, speed, self._loop.time())
        self._slots, self._queue_capacity = slots, queue
        self._queue: deque[Job] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.capacity_fraction: Callable[[], float] = lambda: 1.0  # of its full capacity, now

    def __len__(self) -> int:
        return len(self._cores) + len(self._queue)

    @property
    def capacity(self) -> float:
        """Seconds of work that it does in a second now."""
        return self._cores.capacity

    def full(self) -> bool:
        """Whether all slots and the queue are in use."""
        return len(self._cores) >= self._slots and len(self._queue) >= self._queue_capacity

    def take(self, job: Job) -> None:
        """Begins a job, or queues it until a slot is free; the caller checks `full` first."""
        self._advance()
        if len(self._cores) < self._slots:
            self._begin(job)
        else:
            self._queue.append(job)
        self._set_timer()

    def freeze(self, frozen: bool) -> None:
        """Stops all work, or resumes it."""
        self._advance()
        self._cores.freeze(frozen)
        self._set_timer()

    def clear(self) -> None:
        """Drops all jobs, as at the end of a process."""
        self._cores.clear()
        self._queue.clear()
        self._set_timer()

    def _begin(self, job: Job) -> None:
        if job.started is not None:
            job.started()
        self._cores.add(job, job.work)

    def _advance(self) -> None:
        """Completes the jobs that have ended by now, and begins queued ones."""
        self._cores.set_factor(self.capacity_fraction())
        ended = self._cores.advance(self._loop.time())
        for job in ended:
            job.done()
        while self._queue and len(self._cores) < self._slots:
            self._begin(self._queue.popleft())

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end = self._cores.next_end()
        if end is None:
            return
        at = max(end, self._loop.time() + MIN_TIMER_SECONDS)
        if self.capacity_fraction() < 1.0:
            at = min(at, self._loop.time() + CAPACITY_CHECK_SECONDS)
        self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        self._set_timer()
