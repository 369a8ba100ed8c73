"""Checks regularly that nothing with a limit is held by an owner that has ended."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable, Iterable

from ironrail.diagnostics.held_resources import (
    CHECK_INTERVAL_SECONDS,
    HeldResource,
    HeldResourceCheck,
    ended_owners,
)
from ironrail.net.containment import run_contained
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_listener import ClientListener
from ironrail.net.system import System


class ResourceMonitor:
    """Runs the check of held resources on the current event loop."""

    def __init__(
        self, dispatcher: RequestDispatcher, listener: ClientListener, system: System
    ) -> None:
        """Check what the dispatcher and the listener hold, from now on."""
        self._dispatcher = dispatcher
        self._listener = listener
        self._system = system
        self._loop = asyncio.get_running_loop()
        self._check = HeldResourceCheck(
            dispatcher.diagnostics.invariants,
            {
                HeldResource.VALUE_MEMORY: lambda: ended_owners(dispatcher.memory_budget.owners),
                HeldResource.VALUE_MEMORY_QUEUE: lambda: ended_owners(
                    dispatcher.memory_budget.waiters
                ),
                HeldResource.CLIENT_SESSION: self._ended_sessions,
                HeldResource.ATTEMPT: self._ended_attempts,
            },
        )
        self._schedule()

    def _schedule(self) -> None:
        self._loop.call_later(CHECK_INTERVAL_SECONDS, self._run)

    def _run(self) -> None:
        self._schedule()  # first, so that no exception below ends the checks
        run_contained("check held resources", self._check.run, self._system.now())

    def _ended_sessions(self) -> Iterable[Hashable]:
        return set(self._listener.sessions) - self._listener.context.connections.keys()

    def _ended_attempts(self) -> Iterable[Hashable]:
        now = self._system.now()
        attempts = [entry.attempt for entry in self._dispatcher.attempts]
        # A long value that is being streamed has no deadline.
        return [
            attempt
            for attempt in attempts
            if attempt.has_ended or (not attempt.holds_stream_memory and now > attempt.deadline)
        ]
