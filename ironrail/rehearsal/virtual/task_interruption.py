"""Cuts a task of a router short at one of its awaits, in the ways in which the daemon itself does that.

A task stands still only at an await, so that a cut at each of them in turn covers all that it can be cut
in: the list moves while it is asked for, a dial's time is up, SIGTERM comes while the router starts.
"""

from __future__ import annotations

import asyncio
import contextvars
import signal
from collections.abc import Callable, Coroutine, Generator
from typing import Any

from ironrail.net import io_timeout
from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.upstream.connector import Connector
from ironrail.rehearsal.scenario.faults import Cut, CutKind
from ironrail.rehearsal.virtual.environment import VirtualGround, VirtualRouter
from ironrail.rehearsal.virtual.loop import PROCESS, VirtualLoop

Work = Coroutine[Any, Any, Any]
# tasks that scenarios name, and drawn worlds as well: a name stays, whatever the code calls its coroutine
TASKS: dict[str, Callable[..., Work]] = {
    "Discovery._run": EndpointWatcher._run,
    "Pool._open": Connector._connect,
}


def name_of(work: Work) -> str:
    """Of the function that a coroutine came from, qualified."""
    return str(getattr(work, "__qualname__", ""))


def coroutine_name(task: str) -> str:
    """The qualified name of the coroutine function that a scenario means by `task`."""
    return TASKS[task].__qualname__ if task in TASKS else task


class Watched(Work):
    """A coroutine that tells each time it stands still."""

    def __init__(self, work: Work, still: Callable[[Any], None]) -> None:
        self._work, self._still = work, still
        self.__qualname__ = name_of(work)  # a task shows it

    def send(self, value: Any) -> Any:
        awaited = self._work.send(value)
        self._still(awaited)
        return awaited

    def throw(self, *error: Any) -> Any:
        awaited = self._work.throw(*error)
        self._still(awaited)
        return awaited

    def close(self) -> None:
        self._work.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._work.__await__()


class Cutter:
    """Watches the tasks of one name in all routers, counts their awaits, and cuts at one of them.

    Either as the task begins to wait there, or at the moment when what it waited for has come.
    """

    def __init__(self, loop: VirtualLoop, ground: VirtualGround, cut: Cut) -> None:
        self._loop, self._ground, self._cut = loop, ground, cut
        self._coroutine_name = coroutine_name(cut.task)
        self.awaits = 0
        loop.set_task_factory(self._make_task)

    def _make_task(self, loop: Any, work: Any, **named: Any) -> asyncio.Task[Any]:
        context = named.get("context") or contextvars.copy_context()
        if context.get(PROCESS) is not None and name_of(work) == self._coroutine_name:
            work = Watched(work, self._still)
        return asyncio.Task(work, loop=loop, **named)

    def _still(self, awaited: Any) -> None:
        self.awaits += 1
        router, task = self._router(), asyncio.current_task(self._loop)
        if self.awaits != self._cut.nth or router is None or task is None:
            return
        if self._cut.woken and asyncio.isfuture(awaited):
            # the task is not told yet: what it waited for has come, and it is cut in the same turn
            awaited.add_done_callback(lambda _: self._carry_out(router, task))
        else:  # after what runs now, as a signal or a timer would
            self._loop.call_soon(self._carry_out, router, task)

    def _router(self) -> VirtualRouter | None:
        process = PROCESS.get()
        return next((router for router in self._ground.routers if router.process is process), None)

    def _limits(self, task: asyncio.Task[Any]) -> list[asyncio.Timeout]:
        """The time limits that a task stands under."""
        due = [
            timer._args[1] for timer in self._loop.timers() if timer._callback is io_timeout.on_timeout_due
        ]
        return [limit for limit in due if limit._task is task and not limit.expired()]

    def _carry_out(self, router: VirtualRouter, task: asyncio.Task[Any]) -> None:
        self._ground.network.note("cut", f"{router.name} {self._cut.task} {self._cut.how}")
        match self._cut.how:
            case CutKind.MOVES if router.node is not None:
                router.node._endpoint_watcher.relist()  # as soon after a SIGHUP
            case CutKind.TIME_UP:
                for limit in self._limits(task):
                    limit.reschedule(self._loop.time())
            case CutKind.TERM:
                router.signal(signal.SIGTERM)
