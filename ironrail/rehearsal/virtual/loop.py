"""An asyncio event loop whose clock stands still while something is to be done, and then jumps.

Processes share the loop, each with a context of its own: what one has scheduled runs only while it lives and
is not frozen. Timers of a process keep to whole milliseconds as uvloop's do, so that they come due together,
or a little early; the order of those due at one instant is drawn from the seed.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import math
import random
import signal
from collections.abc import Coroutine
from typing import Any

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.virtual.interfaces import Connects, Owner, Posts

START = 1000.0  # seconds on the clock when a world begins: no moment of it is near 0
CANCELLED_SHARE = 0.5  # of all timers, beyond which the heap is rid of them
LEAST_TIMERS = 100
MOST_TURNS = 200_000  # of the loop at one instant: guards against a world that never moves on

PROCESS: contextvars.ContextVar[Owner | None] = contextvars.ContextVar("process", default=None)


class Standstill(RuntimeError):
    """The world can't go on: nothing is scheduled, or it turns for good at one instant."""


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop without a selector: its network is in memory, its clock is its own."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now = START
        self._ties: random.Random = stream(seed, "virtual.ties")
        self._turns = 0
        self.network: Connects
        self.datagrams: Posts  # in worlds whose routers have addresses for them
        self.outside = contextvars.Context()  # of no process: the network's and the stand-ins'
        self._of_the_dead: list[Any] = []
        self.unwinding = False  # the world is over: all that is left runs to its end, whoever it belongs to
        self.errors: list[str] = []  # what callbacks of routers raised, and nobody took
        self.set_exception_handler(self._note_error)

    # The clock

    def time(self) -> float:
        return self._now

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        if context is not None or PROCESS.get() is None:
            return self.call_at(self._now + delay, callback, *args, context=context)
        # as uvloop: the loop's own time is cut to a millisecond, and the delay rounded to one
        ticks = round(max(0.0, delay) * 1000)
        if not ticks:
            return self.call_soon(callback, *args)
        return super().call_at((math.floor(self._now * 1000) + ticks) / 1000, callback, *args)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        if context is None and PROCESS.get() is not None:
            return self.call_later(when - math.floor(self._now * 1000) / 1000, callback, *args)
        return super().call_at(when, callback, *args, context=context)

    # Turning

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        self._forget_cancelled(timers)
        if not ready:
            if not timers:
                raise Standstill("nothing is scheduled any more")
            if timers[0]._when > self._now:
                self._now, self._turns = timers[0]._when, 0
        self._turns += 1
        if self._turns > MOST_TURNS:
            raise Standstill(f"{MOST_TURNS} turns at {self._now - START:.6f} s")
        self._take_due(timers, ready)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled:
                self._run(handle)

    def _forget_cancelled(self, timers: Any) -> None:
        cancelled: int = self._timer_cancelled_count  # type: ignore[has-type]
        if len(timers) > LEAST_TIMERS and cancelled > CANCELLED_SHARE * len(timers):
            for handle in timers:
                if handle._cancelled:
                    handle._scheduled = False
            timers[:] = [handle for handle in timers if not handle._cancelled]
            heapq.heapify(timers)
            self._timer_cancelled_count = 0
        while timers and timers[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(timers)._scheduled = False

    def _take_due(self, timers: Any, ready: Any) -> None:
        """Move what is due to what is ready; those of one instant in an order that is drawn."""
        together: list[Any] = []
        while timers and timers[0]._when <= self._now:
            handle = heapq.heappop(timers)
            handle._scheduled = False
            if handle._cancelled:
                self._timer_cancelled_count -= 1
                continue
            if together and handle._when != together[0]._when:
                ready.extend(together)
                together = []
            together.append(handle)
        if len(together) > 1:
            self._ties.shuffle(together)
        ready.extend(together)

    def _run(self, handle: Any) -> None:
        process = handle._context.get(PROCESS)
        if process is None or self.unwinding:
            handle._run()
        elif process.frozen:
            process.backlog.append(handle)
        elif process.alive:
            try:
                handle._run()
            except SystemExit as e:
                process.end(e.code if isinstance(e.code, int) else 1)
        else:
            self._of_the_dead.append(handle)

    def timers(self) -> list[Any]:
        """All that is set and not cancelled, in no order."""
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        return [handle for handle in scheduled if not handle._cancelled]

    def unwind(self) -> None:
        """The world is over: let whatever is left run to its end, also what belonged to the dead."""
        self.unwinding = True
        self.resume(self._of_the_dead)
        self._of_the_dead = []

    def resume(self, handles: list[Any]) -> None:
        """Run what a frozen process could not."""
        self._ready.extend(handles)  # type: ignore[attr-defined]

    def _note_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.errors.append(f"{context.get('message', '')}: {error!r}")

    def _process_events(self, event_list: Any) -> None:
        raise NotImplementedError

    def _write_to_self(self) -> None:
        """Nothing sleeps that would have to be woken."""

    # The network and the system

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, local_addr: Any = None, **_: Any
    ) -> Any:
        return await self.network.connect(protocol_factory, (host, port), local_addr)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **_: Any) -> Any:
        return self.network.adopt(protocol_factory, sock)

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> Any:
        return self.datagrams.open(protocol_factory, local_addr)

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        fd.watch(lambda: callback(*args))

    def remove_reader(self, fd: Any) -> bool:
        return bool(fd.unwatch())

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        process = PROCESS.get()
        assert process is not None, "only processes have signals here"
        process.handlers[signal.Signals(sig)] = lambda: callback(*args)

    def start(self, work: Coroutine[Any, Any, Any], process: Owner) -> asyncio.Task[Any]:
        """Begin a task of a process."""
        return self.create_task(work, context=process.context)
