"""Graceful shutdown: the phases between SIGTERM and the exit of a router."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironrail.net.containment import run_contained
from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_listener import ClientListener

# The deployment protocol sends SIGKILL after SIGTERM by min(longest client timeout,
# MAX_CLIENT_TIMEOUT_SECONDS) + KILL_GRACE_SECONDS.
MAX_CLIENT_TIMEOUT_SECONDS = 3.0
KILL_GRACE_SECONDS = 0.7
# The signal may be noticed late, and responses take time on the network.
KILL_MARGIN_SECONDS = 0.15
# Time for clients to read the last responses, and to close first.
FLUSH_SECONDS = 0.1
# The platform routes new clients to this process for 0.4 s after SIGTERM.
ACCEPT_SECONDS = 0.45
# After the listener is closed, how long an idle connection may still be used.
MAX_IDLE_SECONDS = 0.55
# How long a command may take to arrive if no other process serves the address: while this process
# waits for slow clients, it can't be restarted.
MAX_PARTIAL_COMMAND_SECONDS = 1.5
POLL_INTERVAL_SECONDS = 0.1
MIN_POLL_INTERVAL_SECONDS = 0.01  # while the last responses are written

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The phases of a shutdown, in seconds after SIGTERM, in ascending order."""

    accept_until: float  # new connections are accepted until then
    idle_close_at: float  # idle connections are closed
    partial_command_deadline: float  # incomplete commands are dropped, if no other process serves
    response_deadline: float  # pending requests are answered
    exit_at: float  # the process exits, even if connections are open


def shutdown_schedule(settings: Settings) -> ShutdownSchedule:
    """Return the schedule for these settings; short client timeouts shorten all phases."""
    longest = max(request_class.client_timeout for request_class in settings.classes.values())
    kill_at = min(MAX_CLIENT_TIMEOUT_SECONDS, longest) + KILL_GRACE_SECONDS
    response_deadline = kill_at - KILL_MARGIN_SECONDS
    idle_seconds = min(MAX_IDLE_SECONDS, (response_deadline - ACCEPT_SECONDS) / 2)
    idle_close_at = ACCEPT_SECONDS + idle_seconds
    return ShutdownSchedule(
        accept_until=ACCEPT_SECONDS,
        idle_close_at=idle_close_at,
        partial_command_deadline=min(
            MAX_PARTIAL_COMMAND_SECONDS,
            (idle_close_at + response_deadline) / 2,
        ),
        response_deadline=response_deadline,
        exit_at=response_deadline + FLUSH_SECONDS,
    )


@dataclass(frozen=True, slots=True)
class GracefulShutdown:
    """One shutdown: accepts late clients, answers all pending requests, closes all connections.

    A command that is unread when its connection closes has never run, so its client may send it to
    another router.
    """

    clients: ClientListener
    schedule: ShutdownSchedule
    now: Callable[[], float]  # seconds on the monotonic clock
    started_at: float  # when SIGTERM may have arrived at the earliest

    async def run(self, is_served_by_other: Callable[[], bool]) -> None:
        """Return once all connections are closed, or at `exit_at`.

        `is_served_by_other` returns whether another process listens on the address; it is called
        after this process has stopped listening.
        """
        await self._sleep_until(self.schedule.accept_until)
        run_contained("stop listening", self.clients.stop_listening)
        serves_alone = not is_served_by_other()
        await self._sleep_until(self.schedule.idle_close_at)
        drained = asyncio.create_task(self.clients.wait_closed())
        await self._wait_for_responses(drained, serves_alone)
        if not drained.done():
            log.warning("shutdown_deadline_reached")
            run_contained("reject requests", self.clients.reject_all)
        await self._wait_for_flush(drained)
        drained.cancel()

    def _elapsed(self) -> float:
        return self.now() - self.started_at

    async def _sleep_until(self, phase: float) -> None:
        await asyncio.sleep(self.started_at + phase - self.now())

    async def _wait_for_responses(self, drained: asyncio.Task[None], serves_alone: bool) -> None:
        """Close connections as their requests are answered, until `response_deadline`."""
        deadline = self.started_at + self.schedule.response_deadline
        while not drained.done() and (remaining := deadline - self.now()) > 0:
            partial_commands_expired = self._elapsed() >= self.schedule.partial_command_deadline
            close_partial = serves_alone and partial_commands_expired
            run_contained("close idle clients", self.clients.close_idle, close_partial)
            timeout = max(MIN_POLL_INTERVAL_SECONDS, min(POLL_INTERVAL_SECONDS, remaining))
            await asyncio.wait([drained], timeout=timeout)

    async def _wait_for_flush(self, drained: asyncio.Task[None]) -> None:
        """Let clients read the last responses, until `exit_at`."""
        while not drained.done() and self._elapsed() < self.schedule.exit_at:
            run_contained("close clients", self.clients.close_idle, True)
            await asyncio.wait([drained], timeout=MIN_POLL_INTERVAL_SECONDS)
