"""An asyncio event loop on a virtual clock, which advances only when no callback is ready.

Simulated processes share the loop, each with its own context: the callbacks of a process run only while it
is alive and not frozen. Timers of a process have millisecond resolution, as with uvloop, so they may fire
together or slightly early; timers due at the same instant run in an order drawn from the seed.
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
from ironrail.rehearsal.virtual.interfaces import ConnectionNetwork, DatagramNetwork, ProcessInterface

LOOP_START_SECONDS = 1000.0  # loop clock at the start; not 0, so that no valid time is near 0
MAX_CANCELLED_FRACTION = 0.5  # of all timers; above it, cancelled ones are purged from the heap
MIN_TIMERS_TO_PURGE = 100
MAX_ITERATIONS_PER_INSTANT = 200_000  # guards against a simulation whose clock never advances

CURRENT_PROCESS: contextvars.ContextVar[ProcessInterface | None] = contextvars.ContextVar(
    "process", default=None
)


class SimulationStalledError(RuntimeError):
    """The simulation cannot advance: nothing is scheduled, or the clock stays at one instant."""


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop without a selector, on a virtual clock and an in-memory network."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now = LOOP_START_SECONDS
        self._ties: random.Random = stream(seed, "virtual.ties")
        self._iterations = 0
        self.network: ConnectionNetwork
        self.datagrams: DatagramNetwork  # set only if the routers have datagram addresses
        self.outside = contextvars.Context()  # outside all processes: for the network and the stand-ins
        self._handles_of_ended_processes: list[Any] = []
        self.unwinding = False  # the run is over: remaining callbacks run regardless of their process
        self.errors: list[str] = []  # unhandled exceptions of callbacks
        self.set_exception_handler(self._note_error)

    # The clock

    def time(self) -> float:
        return self._now

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        if context is not None or CURRENT_PROCESS.get() is None:
            return self.call_at(self._now + delay, callback, *args, context=context)
        # like uvloop: the loop time is truncated to milliseconds, the delay rounded to them
        ticks = round(max(0.0, delay) * 1000)
        if not ticks:
            return self.call_soon(callback, *args)
        return super().call_at((math.floor(self._now * 1000) + ticks) / 1000, callback, *args)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        if context is None and CURRENT_PROCESS.get() is not None:
            return self.call_later(when - math.floor(self._now * 1000) / 1000, callback, *args)
        return super().call_at(when, callback, *args, context=context)

    # Running callbacks

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        self._purge_cancelled(timers)
        if not ready:
            if not timers:
                raise SimulationStalledError("nothing is scheduled any more")
            if timers[0]._when > self._now:
                self._now, self._iterations = timers[0]._when, 0
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS_PER_INSTANT:
            raise SimulationStalledError(
                f"{MAX_ITERATIONS_PER_INSTANT} turns at {self._now - LOOP_START_SECONDS:.6f} s"
            )
        self._take_due(timers, ready)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled:
                self._run(handle)

    def _purge_cancelled(self, timers: Any) -> None:
        cancelled: int = self._timer_cancelled_count  # type: ignore[has-type]
        if len(timers) > MIN_TIMERS_TO_PURGE and cancelled > MAX_CANCELLED_FRACTION * len(timers):
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
        """Move due timers to the ready queue; timers due at the same instant in random order."""
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
        process = handle._context.get(CURRENT_PROCESS)
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
            self._handles_of_ended_processes.append(handle)

    def timers(self) -> list[Any]:
        """All pending timers, in no particular order."""
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        return [handle for handle in scheduled if not handle._cancelled]

    def unwind(self) -> None:
        """Let all remaining callbacks run to completion, including those of ended processes."""
        self.unwinding = True
        self.resume(self._handles_of_ended_processes)
        self._handles_of_ended_processes = []

    def resume(self, handles: list[Any]) -> None:
        """Schedule the callbacks that a process could not run while frozen."""
        self._ready.extend(handles)  # type: ignore[attr-defined]

    def _note_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.errors.append(f"{context.get('message', '')}: {error!r}")

    def _process_events(self, event_list: Any) -> None:
        raise NotImplementedError

    def _write_to_self(self) -> None:
        """Does nothing: there is no selector to wake."""

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
        process = CURRENT_PROCESS.get()
        assert process is not None, "signal handlers can only be set in a simulated process"
        process.handlers[signal.Signals(sig)] = lambda: callback(*args)

    def start(self, coroutine: Coroutine[Any, Any, Any], process: ProcessInterface) -> asyncio.Task[Any]:
        """Start a task in the context of a process."""
        return self.create_task(coroutine, context=process.context)
