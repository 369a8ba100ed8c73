"""Signals of the process, on an event loop whose wake-up may fail."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


class SignalHandlers:
    """Calls functions on the event loop after signals.

    A signal wakes the event loop up by a write to a socket pair, and is lost to it if that write
    fails. The interpreter's own handler notes it all the same; `run_pending` catches up.
    """

    def __init__(self) -> None:
        self._callbacks: dict[int, Callable[[], object]] = {}
        self._pending: dict[int, FrameType | None] = {}
        self._overdue: set[int] = set()

    def add(self, number: signal.Signals, callback: Callable[[], object]) -> None:
        """Call `callback` on the running event loop after each signal of this number."""
        self._callbacks[number] = callback
        asyncio.get_running_loop().add_signal_handler(number, self._run, number)
        # No Python code: signals in quick succession would nest its calls without limit.
        signal.signal(number, self._pending.__setitem__)

    def run_pending(self) -> None:
        """Call the functions of signals that were noted before the previous call of this.

        The event loop has had its turn for them since, and has missed them.
        """
        for number in self._overdue & self._pending.keys():
            self._run(number)
        self._overdue = set(self._pending)

    def _run(self, number: int) -> None:
        self._pending.pop(number, None)
        self._overdue.discard(number)
        self._callbacks[number]()
