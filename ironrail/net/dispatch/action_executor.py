"""Carries out the actions of the policy."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.diagnostics.reasons import InternalError
from ironrail.net.containment import run_contained
from ironrail.net.dispatch.attempt_dispatcher import AttemptDispatcher
from ironrail.net.dispatch.open_attempts import AttemptId, OpenAttempts
from ironrail.net.dispatch.policy_driver import PolicyDriver, request_id_of
from ironrail.net.dispatch.request_termination import RequestTermination
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from ironrail.policy.events import AttemptEnded, AttemptStatus, Event, TimerFired

log = logging.getLogger(__name__)


class ActionExecutor:
    """Passes each action of the policy to the component that carries it out."""

    def __init__(
        self,
        driver: PolicyDriver,
        requests: ResponseTracker,
        attempts: OpenAttempts,
        termination: RequestTermination,
        sender: AttemptDispatcher,
        pools: Mapping[str, ConnectionPool],
        fetch_endpoint_list: Callable[[], None],
        diagnostics: DaemonDiagnostics,
    ) -> None:
        self._driver = driver
        self._requests = requests
        self._attempts = attempts
        self._termination = termination
        self._sender = sender
        self._pools = pools
        self._fetch_endpoint_list = fetch_endpoint_list
        self._diagnostics = diagnostics
        self._hedging_allowed = driver.router.settings.hedging_allowed
        self._loop = asyncio.get_running_loop()

    def carry_out(self, action: Action) -> None:
        """Carry out one action."""
        requests = self._requests.by_id
        match action:
            case SendAttempt():
                self._sender.send(action)
            case SetTimer(delay, timer):
                self._loop.call_later(delay, self._driver.submit, TimerFired(timer))
            case CancelAttempt(request_id, number):
                self._cancel(AttemptId(request_id, number))
            case RejectRequest(request_id) if request_id in requests:
                self._requests.reject(requests[request_id], action.retry_after)
            case FailRequest(request_id) if request_id in requests:
                self._requests.fail(requests[request_id])
            case CloseIdleConnections(server) if server in self._pools:
                self._pools[server].close_idle()
            case FetchEndpointList():
                self._fetch_endpoint_list()
            case LogMessage(text):
                log.info("policy_message", extra={"text": text})

    def on_policy_failed(self, event: Event) -> None:
        """Fail the request that an event was about after the policy raised an exception on it."""
        self._diagnostics.internal_errors.add(InternalError.POLICY)
        request = self._requests.by_id.get(request_id_of(event) or "")
        if request is not None:
            self._termination.drop(request)

    def on_action_failed(self, action: Action, error: Exception) -> None:
        """Fail the request that an action was about after the action raised an exception."""
        now = self._loop.time()
        self._diagnostics.internal_error(now, InternalError.ACTION, repr(action), error)
        if isinstance(action, SendAttempt):
            run_contained("withdraw a failed attempt", self._withdraw_failed, action)
        request = self._requests.by_id.get(getattr(action, "request_id", ""))
        if request is not None:
            run_contained("drop a request", self._termination.drop, request)

    def _withdraw_failed(self, action: SendAttempt) -> None:
        """Give the policy the outcome of an attempt that could not be handed to its pool."""
        attempt_id = AttemptId(action.request_id, action.attempt_number)
        if attempt_id in self._attempts:
            self._attempts.abandon(attempt_id, AttemptStatus.CANCELLED)
        else:
            self._driver.submit(AttemptEnded(*attempt_id, AttemptStatus.NOT_SENT, True))

    def _cancel(self, attempt_id: AttemptId) -> None:
        """Stop waiting for an attempt, and keep it from running where hedging is not allowed."""
        is_in_flight = attempt_id.request_id in self._requests.by_id
        if not self._hedging_allowed and is_in_flight and attempt_id in self._attempts:
            self._attempts.revoke(attempt_id)
        else:
            self._attempts.abandon(attempt_id, AttemptStatus.CANCELLED)
