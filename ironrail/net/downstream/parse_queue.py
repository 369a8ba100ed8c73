"""Gives each connection with unparsed commands its turn, so that none holds up the others."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from ironrail.net.containment import run_contained

COMMANDS_AT_ONCE = 1
"""Commands of one connection that are parsed as soon as they are read; most clients send one."""

COMMANDS_PER_SLICE = 8
"""Commands of one connection that are parsed in its turn."""

SLICES_PER_TURN = 2
"""Connections that are served in one iteration of the event loop."""


class UnparsedInput(Protocol):
    """The input of one connection that is read and not parsed."""

    def parse_slice(self) -> None:
        """Parse some commands, and queue up again if more are left."""


class ParseQueue:
    """The connections with unparsed commands, the one that has waited longest first."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._waiting = deque[UnparsedInput]()
        self._is_scheduled = False
        self._loop = asyncio.get_running_loop()

    def add(self, unparsed: UnparsedInput) -> None:
        """Queue a connection, which is not in the queue."""
        self._waiting.append(unparsed)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Serve the first connections; sockets and timers have their turn before the next ones."""
        for _ in range(min(SLICES_PER_TURN, len(self._waiting))):
            run_contained("parse commands", self._waiting.popleft().parse_slice)
        self._is_scheduled = False
        self._schedule()
