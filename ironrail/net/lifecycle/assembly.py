"""Builds the components of a router from its configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ironrail.connections.downstream.descriptor_budget import allocate_descriptors
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.diagnostics.counters import ReasonCounter
from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.net.config import Config
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.factory import make_endpoint_watcher
from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_listener import ClientListener
from ironrail.net.lifecycle.graceful_shutdown import GracefulShutdown, shutdown_schedule
from ironrail.net.system import System
from ironrail.net.upstream.pool_factory import PoolFactory
from ironrail.operator_file import OperatorSettings
from ironrail.policy.router import Router

if TYPE_CHECKING:
    from ironrail.net.access_log_writer import AccessLogRecorder

# Memory of a router without large values, with some reserve.
BASE_MEMORY_BYTES = 36 * 1024**2
# Enough for one value of the largest size.
MIN_VALUE_MEMORY_BYTES = 5 * 1024**2
# Memory of one request in flight, without its value.
REQUEST_MEMORY_BYTES = 8 * 1024
# Fraction of the memory budget that pipelined requests use besides it.
PIPELINED_FRACTION = 0.25


def make_access_log(
    config: Config, operator: OperatorSettings, system: System
) -> AccessLogRecorder | None:
    """Return the access log, or None if the operator's file configures none."""
    if operator.access_log is None:
        return None
    # Imported late: a router without an access log starts no threads.
    from ironrail.net.access_log_writer import AccessLogRecorder  # noqa: PLC0415

    path = operator.access_log.path.replace("{index}", str(config.settings.router_index))
    return AccessLogRecorder(replace(operator.access_log, path=path), system)


def make_value_memory(config: Config) -> MemoryBudget:
    """Return the memory budget for large values: half of what the limit leaves."""
    available = (config.memory_limit - BASE_MEMORY_BYTES) // 2
    return MemoryBudget(max(MIN_VALUE_MEMORY_BYTES, available))


def max_pipelined_requests(memory_budget_bytes: int) -> int:
    """Return the number of requests in flight at which no connection gets a second one."""
    return int(memory_budget_bytes * PIPELINED_FRACTION / REQUEST_MEMORY_BYTES)


def make_watcher(
    config: Config, reader: EndpointListReader, call_results: ReasonCounter
) -> EndpointWatcher:
    """Return the watcher of the endpoint list."""
    settings = config.settings
    return make_endpoint_watcher(
        config.discovery_address,
        reader,
        settings.polls_endpoint_list,
        settings.router_index,
        call_results,
    )


def make_dispatcher(
    config: Config,
    pool_factory: PoolFactory,
    watcher: EndpointWatcher,
    access_log: AccessLogRecorder | None,
    system: System,
    diagnostics: DaemonDiagnostics,
) -> RequestDispatcher:
    """Return the dispatcher of requests, with the policy."""
    return RequestDispatcher(
        Router(config.settings, config.seed, system.now()),
        pool_factory.make,
        watcher.poll,
        allocate_descriptors(config.max_sockets).servers,
        system,
        watcher.refresh,
        make_value_memory(config),
        access_log.record if access_log is not None else None,
        diagnostics,
    )


def make_client_listener(
    config: Config,
    dispatcher: RequestDispatcher,
    can_serve: Callable[[], bool],
    system: System,
) -> ClientListener:
    """Return the listener for clients, with its share of the file descriptors."""
    descriptors = allocate_descriptors(config.max_sockets)
    return ClientListener(
        dispatcher,
        can_serve,
        ClientSessionManager(descriptors.clients, descriptors.retained_clients),
        system,
        max_lingering=descriptors.lingering,
        max_pipelined_requests=max_pipelined_requests(dispatcher.memory_budget.total_bytes),
        accepts_per_turn=descriptors.accepts_per_turn,
    )


def make_graceful_shutdown(
    config: Config, listener: ClientListener, system: System, requested_at: float | None
) -> GracefulShutdown:
    """Return the shutdown, whose phases count from `requested_at`, or from now if it is None."""
    return GracefulShutdown(
        listener,
        shutdown_schedule(config.settings),
        system.now,
        started_at=system.now() if requested_at is None else requested_at,
    )
