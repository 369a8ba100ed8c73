"""The entry point of the request path: accepts requests and applies endpoint list updates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.net.dispatch.action_executor import ActionExecutor
from ironrail.net.dispatch.attempt_dispatcher import AttemptDispatcher
from ironrail.net.dispatch.in_flight_request import (
    InFlightRequest,
    Respond,
    ResponseStream,
    client_timeout,
    time_left_for,
)
from ironrail.net.dispatch.open_attempts import OpenAttempts
from ironrail.net.dispatch.policy_driver import PolicyDriver
from ironrail.net.dispatch.request_termination import RequestTermination
from ironrail.net.dispatch.request_validation import RequestValidator
from ironrail.net.dispatch.response_tracker import CompletionObserver, ResponseTracker
from ironrail.net.dispatch.value_streamer import ValueStreamer
from ironrail.net.lifecycle.loop_monitor import LoopMonitor
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command, read_numeric_field
from ironrail.net.system import REAL, Address, System
from ironrail.net.upstream.connection_pool import ConnectionPool
from ironrail.net.upstream.pool_registry import PoolRegistry
from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import EndpointListUpdate, RequestReceived
from ironrail.policy.router import Router

IDLE_CHECK_INTERVAL_SECONDS = 1.0
DEFAULT_STREAM_MEMORY_BYTES = 64 * 1024**2  # shared by all long values
MICROSECONDS_PER_SECOND = 1e6


class RequestDispatcher:
    """Connects clients, the policy and the connection pools of one router.

    Args:
        router: The policy.
        make_pool: Makes the connection pool of a server.
        fetch_endpoint_list: Has the endpoint list fetched again.
        max_connections: Limit on the connections to all servers together.
        system: Provides the clock and the sockets.
        on_stall: Called after a stall of the process; has the endpoint list fetched again.
        memory_budget: Limits the memory for long values.
        on_completed: Called for each request that ends.
        diagnostics: The counters of the router.
    """

    def __init__(
        self,
        router: Router,
        make_pool: Callable[[Endpoint, Address], ConnectionPool],
        fetch_endpoint_list: Callable[[], None],
        max_connections: int,
        system: System = REAL,
        on_stall: Callable[[], None] = lambda: None,
        memory_budget: MemoryBudget | None = None,
        on_completed: CompletionObserver | None = None,
        diagnostics: DaemonDiagnostics | None = None,
    ) -> None:
        self._now = system.now
        self._loop = asyncio.get_running_loop()
        self.monitor = LoopMonitor(system)
        self.diagnostics = diagnostics or DaemonDiagnostics()
        self.attempts = OpenAttempts()
        self.requests = ResponseTracker(
            router.settings, self._now, self.attempts, self.diagnostics, on_completed
        )
        self.request_metrics = self.requests.request_metrics
        self.driver = PolicyDriver(router, system, on_stall)
        self._pool_registry = PoolRegistry(make_pool, max_connections)
        self._connect_parts(memory_budget or MemoryBudget(DEFAULT_STREAM_MEMORY_BYTES))
        self._loop.call_later(IDLE_CHECK_INTERVAL_SECONDS, self._expire_idle_connections)
        self.driver.start(self._make_executor(fetch_endpoint_list))

    def _connect_parts(self, memory_budget: MemoryBudget) -> None:
        """Build the components that work on the requests in flight and their attempts."""
        driver = self.driver
        requests = self.requests
        attempts = self.attempts
        self.pools = self._pool_registry.by_name
        self._validator = RequestValidator(
            driver.router.settings, requests, attempts, self.diagnostics.invariants
        )
        self.termination = RequestTermination(driver, requests, attempts)
        self.streamer = ValueStreamer(memory_budget, self._now, requests, attempts, driver.submit)
        self.sender = AttemptDispatcher(
            self._now,
            driver,
            requests,
            attempts,
            self.termination,
            self.streamer,
            self.pools,
            self.diagnostics,
        )

    def _make_executor(self, fetch_endpoint_list: Callable[[], None]) -> ActionExecutor:
        return ActionExecutor(
            self.driver,
            self.requests,
            self.attempts,
            self.termination,
            self.sender,
            self.pools,
            fetch_endpoint_list,
            self.diagnostics,
        )

    @property
    def memory_budget(self) -> MemoryBudget:
        """Memory for long values in both directions."""
        return self.streamer.memory_budget

    def can_serve(self) -> bool:
        """Whether any server is ready for requests."""
        return any(pool.is_ready for pool in self.pools.values())

    def gauges(self) -> dict[str, int]:
        """Return the current values of the gauges, by metric name."""
        counts = self.driver.router.server_counts(self._now())
        return {
            "inflight": len(self.requests.by_id),
            "hosts_listed": counts.listed,
            "hosts_down": counts.unavailable,
            "value_memory_reserved": self.memory_budget.reserved_bytes,
            "value_memory_waiting": self.memory_budget.waiting_count,
        }

    def metrics(self) -> bytes:
        """Return all metrics in the statsd format."""
        self.diagnostics.held_up = self.monitor.detector.count
        return self.request_metrics.render(self.gauges(), self.diagnostics.counts())

    def accept(
        self, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        """Accept a client's request.

        Args:
            command: The request.
            respond: Called once with the final response, unless the response is streamed.
            stream: Receives a long value; without it an attempt that returns a long value fails.

        Returns:
            The request's id, or None if it was rejected and `respond` was called with the error.
        """
        request_id = command.request_id.decode()
        timeout = client_timeout(command)
        error = self._validator.check(command, request_id, timeout, self._now())
        if error is not None:
            respond(error.value)
            return None
        self._start(request_id, command, respond, stream, timeout)
        return request_id

    def reject_unread(self, command: Command, respond: Respond, waited_seconds: float) -> None:
        """Reject a write whose value was not read, as there was no memory for it in time."""
        timeout = client_timeout(command)
        request_id = command.request_id.decode()
        error = self._validator.check(command, request_id, timeout, self._now())
        if error is not None:
            respond(error.value)
            return
        self.requests.count_unread(command, waited_seconds)
        respond(meta_codec.write_busy(None))

    def on_client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected."""
        self.termination.on_client_disconnected(request_id)

    def expire_all(self) -> None:
        """Respond to all requests in flight now, and start no attempts from now on."""
        self.termination.expire_all()

    def update_endpoints(self, update: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        """Apply an update of the endpoint list to the policy and the pools."""
        self.driver.submit_endpoint_list(
            update, lambda: self._pool_registry.update(update, addresses)
        )

    def _start(
        self,
        request_id: str,
        command: Command,
        respond: Respond,
        stream: ResponseStream | None,
        timeout: float,
    ) -> None:
        """Track an accepted request until its deadline, and submit it to the policy."""
        now = self._now()
        read_delay = _read_delay(stream, now)
        time_left = _time_left(stream, timeout - read_delay)
        request = InFlightRequest(
            request_id,
            command,
            respond,
            now + time_left,
            self._loop.call_later(time_left, self.termination.on_deadline, request_id),
            stream,
            received_at=now,
            client_region=stream.client_region if stream is not None else None,
            read_delay=read_delay,
        )
        self.requests.add(request)
        self.driver.submit(_received_event(request_id, command, time_left))

    def _expire_idle_connections(self) -> None:
        # First, so that no exception below ends the checks.
        self._loop.call_later(IDLE_CHECK_INTERVAL_SECONDS, self._expire_idle_connections)
        self._pool_registry.expire()


def _read_delay(stream: ResponseStream | None, now: float) -> float:
    """Return for how many seconds the last byte of a request may have been unread."""
    arrived_at = stream.arrived_at if stream is not None else None
    return 0.0 if arrived_at is None else now - arrived_at


def _time_left(stream: ResponseStream | None, seconds: float) -> float:
    """Return how many of the client's `seconds` remain for dispatch."""
    return time_left_for(stream.client_region if stream is not None else None, seconds)


def _received_event(request_id: str, command: Command, time_left: float) -> RequestReceived:
    hint = read_numeric_field(command.fields, "h")
    return RequestReceived(
        request_id,
        command.fields["c"],
        time_left,
        command.key.decode(),
        None if hint is None else hint / MICROSECONDS_PER_SECOND,
        command.is_write,
        command.fields.get("t", ""),
    )
