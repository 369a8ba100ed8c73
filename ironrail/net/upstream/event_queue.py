"""Passes events to a pool's decisions one by one, and carries out their actions in between."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ironrail.connections.upstream.pool_actions import PoolAction

EventHandler = Callable[..., list[PoolAction]]


class EventQueue:
    """A queue in which each event waits until the actions of the previous one are carried out.

    Between a decision and its execution, a connection that is about to take an attempt seems idle.
    An event that is caused by an action must therefore wait.
    """

    def __init__(
        self,
        now: Callable[[], float],
        handle: Callable[[PoolAction], None],
        on_failed: Callable[[PoolAction, Exception], None],
    ) -> None:
        """Configure the queue.

        Args:
            now: Returns the time in seconds on the monotonic clock.
            handle: Carries out one action.
            on_failed: Called with an action that raised an exception; the others still follow.
        """
        self._now = now
        self._handle = handle
        self._on_failed = on_failed
        self._events: deque[tuple[EventHandler, tuple[Any, ...]]] = deque()
        self._is_busy = False

    def submit(self, handler: EventHandler, *arguments: Any) -> None:
        """Call a handler with the time and the arguments, and carry out the actions it returns."""
        self._events.append((handler, arguments))
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._events:
                handler, arguments = self._events.popleft()
                self.carry_out(handler(self._now(), *arguments))
        finally:
            self._is_busy = False

    def carry_out(self, actions: list[PoolAction]) -> None:
        """Carry out actions at once, ahead of the queued events."""
        for action in actions:
            try:
                self._handle(action)
            except Exception as error:
                self._on_failed(action, error)
