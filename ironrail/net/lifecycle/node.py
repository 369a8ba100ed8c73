"""One router: assembles its components, starts them, handles signals and stops them."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.diagnostics.reasons import InternalError
from ironrail.net.config import Config, ConfigError
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.errors import EndpointListError
from ironrail.net.lifecycle.admin_pages import AdminPages
from ironrail.net.lifecycle.assembly import (
    make_access_log,
    make_client_listener,
    make_dispatcher,
    make_graceful_shutdown,
    make_watcher,
)
from ironrail.net.lifecycle.handover import Handover
from ironrail.net.lifecycle.reload import ConfigReloader, read_current_config
from ironrail.net.lifecycle.resource_monitor import ResourceMonitor
from ironrail.net.system import REAL, Address, System
from ironrail.net.upstream.connection import LinkObserver
from ironrail.net.upstream.pool_factory import PoolFactory
from ironrail.operator_file import OperatorSettings
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import EndpointListUpdate

if TYPE_CHECKING:
    from ironrail.net.peers.record_store import RecordStore
    from ironrail.net.peers.runtime import PeerRuntime

NO_OPERATOR_FILE = OperatorSettings()

log = logging.getLogger(__name__)


class Node:
    """All components of one router.

    Attributes:
        peer_runtime: The connection to other routers; None without peers.
        admin_pages: The admin endpoint.
    """

    def __init__(
        self,
        config: Config,
        operator: OperatorSettings = NO_OPERATOR_FILE,
        system: System = REAL,
        read_latest_config: Callable[[], Config] = read_current_config,
        store: RecordStore | None = None,
    ) -> None:
        """Assemble a router without starting it.

        Args:
            config: Settings of the deployment.
            operator: Settings of the operator's file.
            system: Provides clocks and sockets.
            read_latest_config: Reads the configuration again, at SIGHUP.
            store: Where a voter stores its record; None for the folder that the operator sets.
        """
        self._config = config
        self._system = system
        self._is_listening = False
        self._shutdown_requested_at: float | None = None  # earliest time, on the monotonic clock
        self._handover = Handover(self._listen)
        self._assemble(operator, read_latest_config)
        self.peer_runtime = self._make_peer_runtime(operator, store)
        self._apply_cached_list()

    def _assemble(
        self, operator: OperatorSettings, read_latest_config: Callable[[], Config]
    ) -> None:
        config = self._config
        system = self._system
        diagnostics = DaemonDiagnostics()
        self._list_reader = EndpointListReader(system)
        self._endpoint_watcher = make_watcher(config, self._list_reader, diagnostics.list_calls)
        self._reloader = ConfigReloader(config, read_latest_config, self._endpoint_watcher.relocate)
        self._access_log = make_access_log(config, operator, system)
        self._pool_factory = PoolFactory(
            config,
            operator,
            system,
            self._attempt_written,
            self._link_observer,
            diagnostics.connect_failures,
        )
        self._dispatcher = make_dispatcher(
            config,
            self._pool_factory,
            self._endpoint_watcher,
            self._access_log,
            system,
            diagnostics,
        )
        self._client_listener = make_client_listener(
            config, self._dispatcher, self._can_serve, system
        )
        self._resource_monitor = ResourceMonitor(self._dispatcher, self._client_listener, system)
        self.admin_pages = AdminPages(
            self._dispatcher, self._client_listener, lambda: self._is_listening
        )

    def _make_peer_runtime(
        self, operator: OperatorSettings, store: RecordStore | None
    ) -> PeerRuntime | None:
        if operator.peers is None:
            return None
        # Imported late, which saves memory without peers.
        from ironrail.net.peers.runtime import PeerRuntime  # noqa: PLC0415

        runtime = PeerRuntime(
            self._config, operator, self._system, self._dispatcher.driver.apply_now, store
        )
        self._dispatcher.driver.before_event = runtime.before_decision
        runtime.attach_listener(self._client_listener)
        return runtime

    def _apply_cached_list(self) -> None:
        """Apply the endpoint list of the configuration, which is used until discovery answers."""
        if self._config.cached_endpoint_list is None:
            return
        try:
            cached = self._list_reader.read(
                self._config.cached_endpoint_list, EndpointListKind.CACHED
            )
        except EndpointListError as error:
            raise ConfigError(str(error), "known") from error
        self._apply_list_update(cached.update, cached.addresses)

    def _can_serve(self) -> bool:
        return self._dispatcher.can_serve() and (
            self.peer_runtime is None or self.peer_runtime.is_ready()
        )

    def _attempt_written(self) -> None:
        self._dispatcher.request_metrics.attempt_written()

    def _link_observer(self, zone: str) -> LinkObserver | None:
        return self.peer_runtime.link_observer(zone) if self.peer_runtime is not None else None

    def start(self) -> Address:
        """Listen and follow discovery; return the listening address.

        If another process serves the address, this one listens once it has the endpoint list.
        """
        address = self._config.listen_address
        if self._system.is_served(address):
            self._handover.start()
        else:
            address = self._listen()
        if self._config.admin_address is not None:
            self.admin_pages.listen(self._config.admin_address, self._system, self.peer_runtime)
        self._endpoint_watcher.start(self._apply_list_update)
        if self._access_log is not None:
            self._access_log.start()
        return address

    def _listen(self) -> Address:
        address = self._client_listener.listen(self._config.listen_address)
        self._is_listening = True
        return address

    def _apply_list_update(self, update: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        self._dispatcher.update_endpoints(update, addresses)
        if self.peer_runtime is not None:
            self.peer_runtime.on_endpoint_update(update)
        if update.kind is EndpointListKind.FULL:
            self._handover.endpoint_list_received()

    async def serve(self) -> None:
        """Start, handle signals, and return after a graceful shutdown."""
        shutdown_requested = asyncio.Event()
        asyncio.get_running_loop().set_exception_handler(self._unhandled)
        self._handle_signals(shutdown_requested)
        if self.peer_runtime is not None:
            await self.peer_runtime.open()
        self.start()
        log.info("listening", extra={"address": "{}:{}".format(*self._config.listen_address)})
        self._system.startup_complete()
        shutdown = asyncio.create_task(shutdown_requested.wait())
        await self._handover.wait(shutdown)
        await shutdown
        log.info("stopping")
        await self.stop()

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count and log an exception that a callback of the event loop raised."""
        self._dispatcher.diagnostics.internal_error(
            self._system.now(),
            InternalError.EVENT_LOOP,
            context["message"],
            context.get("exception"),
        )

    def _handle_signals(self, shutdown_requested: asyncio.Event) -> None:
        """Register handlers: shutdown, reload of the configuration, reopening of the access log."""

        def _request_shutdown() -> None:
            if not shutdown_requested.is_set():
                self._shutdown_requested_at = self._dispatcher.monitor.earliest_event()
                shutdown_requested.set()

        self._system.on_signal(signal.SIGTERM, _request_shutdown)
        self._system.on_signal(signal.SIGINT, _request_shutdown)
        self._system.on_signal(signal.SIGHUP, self.reload)
        if self._access_log is not None:
            self._system.on_signal(signal.SIGUSR1, self._access_log.reopen)

    def reload(self) -> None:
        """Read the configuration again, unless the router is shutting down."""
        if self._client_listener.sessions.is_draining:
            log.info("reload_rejected", extra={"error": "the router is shutting down"})
            return
        self._reloader.reload()

    async def stop(self) -> None:
        """Run the graceful shutdown: answer all pending requests, then close every component."""
        self._client_listener.start_draining()
        self._handover.cancel()
        if self._is_listening:
            await self._shut_down_gracefully()
        self._endpoint_watcher.stop()
        if self.peer_runtime is not None:
            self.peer_runtime.close()
        if self._access_log is not None:
            await self._access_log.stop()

    async def _shut_down_gracefully(self) -> None:
        shutdown = make_graceful_shutdown(
            self._config, self._client_listener, self._system, self._shutdown_requested_at
        )
        await shutdown.run(lambda: self._system.is_served(self._config.listen_address))


async def serve(config: Config, operator: OperatorSettings = NO_OPERATOR_FILE) -> None:
    """Run one router until a signal stops it."""
    await Node(config, operator).serve()
    # The event loop removes its signal handlers now; a second signal would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
