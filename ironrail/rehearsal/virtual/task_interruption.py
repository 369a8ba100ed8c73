"""Interrupts a router's task at a chosen await, in the ways in which the daemon itself can do so.

A task is suspended only at an await, so interrupting it at each await in turn covers every point at which
it can be interrupted: the endpoint list moves during a request for it, a connect times out, or SIGTERM
arrives during startup.
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
from ironrail.rehearsal.virtual.environment import VirtualEnvironment, VirtualRouter
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, VirtualLoop

AnyCoroutine = Coroutine[Any, Any, Any]
# task names used in scenario files; they stay stable when the coroutine is renamed in the code
TASKS: dict[str, Callable[..., AnyCoroutine]] = {
    "Discovery._run": EndpointWatcher._run,
    "Pool._open": Connector._connect,
}


def qualified_name(coroutine: AnyCoroutine) -> str:
    """The qualified name of the function that created a coroutine."""
    return str(getattr(coroutine, "__qualname__", ""))


def coroutine_name(task: str) -> str:
    """The qualified name of the coroutine function that `task` denotes in a scenario."""
    return TASKS[task].__qualname__ if task in TASKS else task


class ObservedCoroutine(AnyCoroutine):
    """Wraps a coroutine and calls `on_suspended` with the awaited object each time it suspends."""

    def __init__(self, coroutine: AnyCoroutine, on_suspended: Callable[[Any], None]) -> None:
        self._coroutine, self._on_suspended = coroutine, on_suspended
        self.__qualname__ = qualified_name(coroutine)  # asyncio.Task shows it in its repr

    def send(self, value: Any) -> Any:
        awaited = self._coroutine.send(value)
        self._on_suspended(awaited)
        return awaited

    def throw(self, *error: Any) -> Any:
        awaited = self._coroutine.throw(*error)
        self._on_suspended(awaited)
        return awaited

    def close(self) -> None:
        self._coroutine.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._coroutine.__await__()


class TaskInterrupter:
    """Counts the awaits of all routers' tasks of one name and interrupts the task at one of them.

    The interruption happens either when the task starts to wait, or in the loop iteration in which the
    awaited future completes, before the task resumes.
    """

    def __init__(self, loop: VirtualLoop, environment: VirtualEnvironment, cut: Cut) -> None:
        self._loop, self._environment, self._cut = loop, environment, cut
        self._coroutine_name = coroutine_name(cut.task)
        self.awaits = 0
        loop.set_task_factory(self._make_task)

    def _make_task(self, loop: Any, coroutine: Any, **named: Any) -> asyncio.Task[Any]:
        context = named.get("context") or contextvars.copy_context()
        if context.get(CURRENT_PROCESS) is not None and qualified_name(coroutine) == self._coroutine_name:
            coroutine = ObservedCoroutine(coroutine, self._on_suspended)
        return asyncio.Task(coroutine, loop=loop, **named)

    def _on_suspended(self, awaited: Any) -> None:
        self.awaits += 1
        router, task = self._router(), asyncio.current_task(self._loop)
        if self.awaits != self._cut.nth or router is None or task is None:
            return
        if self._cut.woken and asyncio.isfuture(awaited):
            # the awaited future is done but the task has not resumed: interrupt it in the same iteration
            awaited.add_done_callback(lambda _: self._interrupt(router, task))
        else:  # after the running callback, as a signal or a timer would
            self._loop.call_soon(self._interrupt, router, task)

    def _router(self) -> VirtualRouter | None:
        process = CURRENT_PROCESS.get()
        return next((router for router in self._environment.routers if router.process is process), None)

    def _time_limits(self, task: asyncio.Task[Any]) -> list[asyncio.Timeout]:
        """The active `asyncio.Timeout`s of a task."""
        due = [
            timer._args[1] for timer in self._loop.timers() if timer._callback is io_timeout.on_timeout_due
        ]
        return [limit for limit in due if limit._task is task and not limit.expired()]

    def _interrupt(self, router: VirtualRouter, task: asyncio.Task[Any]) -> None:
        self._environment.network.note("cut", f"{router.name} {self._cut.task} {self._cut.how}")
        match self._cut.how:
            case CutKind.MOVES if router.node is not None:
                router.node._endpoint_watcher.relist()  # as shortly after a SIGHUP
            case CutKind.TIME_UP:
                for limit in self._time_limits(task):
                    limit.reschedule(self._loop.time())
            case CutKind.TERM:
                router.signal(signal.SIGTERM)
