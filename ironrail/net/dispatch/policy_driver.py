"""Passes events to the policy one by one, but not while its endpoint list may be stale."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ironrail.net.system import System
from ironrail.policy.actions import Action
from ironrail.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    DeadlineReached,
    EndpointListUpdate,
    Event,
    PolicyOverridesChanged,
    RequestReceived,
    StreamingStarted,
    ZoneLinksChanged,
)
from ironrail.policy.router import Router

log = logging.getLogger(__name__)

# This check detects long stops of the process, after which the policy's state is stale. Short
# hold-ups are detected by `diagnostics/hold_up.py`.
STALL_CHECK_INTERVAL_SECONDS = 0.25
# Without a check for longer than this, the process was stopped or short of CPU.
STALL_THRESHOLD_SECONDS = 0.75
# After a stall, how long events wait at most for the endpoint list to be fetched again.
CATCH_UP_SECONDS = 0.3

RequestEvent = (
    RequestReceived | StreamingStarted | AttemptEnded | ClientDisconnected | DeadlineReached
)


class ActionHandler(Protocol):
    """Carries out what the policy decides."""

    def carry_out(self, action: Action) -> None:
        """Carry out one action."""

    def on_policy_failed(self, event: Event) -> None:
        """Handle an event on which the policy raised an exception."""

    def on_action_failed(self, action: Action, error: Exception) -> None:
        """Handle an action that raised an exception."""


class PolicyDriver:
    """Owns the queue of events for the policy, and detects stalls of the process.

    Args:
        router: The policy.
        system: Provides the clock.
        on_stall: Called after a stall; has the endpoint list fetched again.
    """

    _handler: ActionHandler

    def __init__(self, router: Router, system: System, on_stall: Callable[[], None]) -> None:
        self.router = router
        self.before_event: Callable[[float], None] | None = None  # called with the time
        self.is_catching_up = False  # after a stall, until the endpoint list is fetched
        self._now = system.now
        self._on_stall = on_stall
        self._loop = asyncio.get_running_loop()
        self._events: deque[Event] = deque()
        self._is_busy = False
        self._heartbeat_at = self._now()

    def start(self, handler: ActionHandler) -> None:
        """Start the heartbeat; from now on events may be submitted."""
        self._handler = handler
        self._loop.call_later(STALL_CHECK_INTERVAL_SECONDS, self._beat)

    def submit(self, event: Event) -> None:
        """Queue an event, and process the queue unless that is already in progress."""
        self._events.append(event)
        self.check_stall()
        self._drain_queue()

    def submit_endpoint_list(
        self, update: EndpointListUpdate, apply_to_pools: Callable[[], None]
    ) -> None:
        """Queue an endpoint list update ahead of the events that `apply_to_pools` causes.

        After a stall the update also precedes all events that were queued meanwhile.
        """
        if self.is_catching_up:
            self._events.appendleft(update)
            self.is_catching_up = False
        else:
            self._events.append(update)
        self._is_busy = True
        try:
            apply_to_pools()
        finally:
            self._is_busy = False
        self._drain_queue()

    def apply_now(self, change: PolicyOverridesChanged | ZoneLinksChanged) -> None:
        """Pass a change to the policy at once, ahead of all queued events."""
        for action in self.router.handle(self._now(), change):
            self._carry_out(action)

    def expire_now(self, request_id: str) -> None:
        """Process the queued events of one request at once, with no time left for it."""
        while queued := [e for e in self._events if request_id_of(e) == request_id]:
            for event in queued:
                self._events.remove(event)
                self.handle_now(_without_time_left(event))

    def handle_now(self, event: Event) -> None:
        """Process one event ahead of the queued ones, and carry out the policy's actions."""
        if self.before_event is not None:
            self.before_event(self._now())
        try:
            actions = self.router.handle(self._now(), event)
        except Exception:  # a defect that one event exposes must not affect other requests
            log.exception("policy_failed", extra={"on": repr(event)})
            self._handler.on_policy_failed(event)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        """Carry out one action; if it fails, the others and the queued events still follow."""
        try:
            self._handler.carry_out(action)
        except Exception as error:
            self._handler.on_action_failed(action, error)

    def check_stall(self) -> None:
        """Stop processing events if the process stalled: servers may be draining or gone."""
        now = self._now()
        stalled_for = now - self._heartbeat_at
        if stalled_for > STALL_THRESHOLD_SECONDS:
            log.warning("process_stalled", extra={"seconds": round(stalled_for, 3)})
            self._heartbeat_at = now
            self.is_catching_up = True
            self._on_stall()
            self._loop.call_later(CATCH_UP_SECONDS, self._end_catch_up)

    def _drain_queue(self) -> None:
        """Process queued events one by one; events that an action causes are queued behind them."""
        if self._is_busy or self.is_catching_up:
            return
        self._is_busy = True
        try:
            while self._events:
                self.handle_now(self._events.popleft())
        finally:
            self._is_busy = False

    def _beat(self) -> None:
        # First, so that no exception below ends the checks.
        self._loop.call_later(STALL_CHECK_INTERVAL_SECONDS, self._beat)
        self.check_stall()
        self._heartbeat_at = self._now()

    def _end_catch_up(self) -> None:
        self.is_catching_up = False
        self._drain_queue()


def request_id_of(event: Event) -> str | None:
    """Return the id of the request that an event is about, if it is about one."""
    return event.request_id if isinstance(event, RequestEvent) else None


def _without_time_left(event: Event) -> Event:
    return replace(event, time_left=0.0) if isinstance(event, RequestReceived) else event
