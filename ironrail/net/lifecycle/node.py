"""One router on real sockets: its parts, put together, from start to stop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ironrail.admin.calls import Answer, Page, Post
from ironrail.connections.downstream.descriptor_budget import share_descriptors
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.net.admin_server import AdminServer
from ironrail.net.config import Config, ConfigError, read_config
from ironrail.net.discovery.endpoint_list import EndpointListError, EndpointListReader
from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_listener import ClientListener
from ironrail.net.lifecycle.graceful_shutdown import shut_down_gracefully
from ironrail.net.system import REAL, Address, System
from ironrail.net.upstream.connection import LinkObserver
from ironrail.net.upstream.pool_factory import PoolFactory
from ironrail.operator_file import Operator
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import EndpointListUpdate
from ironrail.policy.router import Router

if TYPE_CHECKING:
    from ironrail.net.access_log_writer import AccessLogRecorder
    from ironrail.net.peers.record_store import Store
    from ironrail.net.peers.runtime import PeerRuntime

OWN_MEMORY = 36 * 1024**2  # bytes of a router without long values, some to spare
LEAST_ROOM = 5 * 1024**2  # bytes for them all the same: one of the longest and a little
LIST_WAIT = 2.0  # seconds for the first list, where another process serves meanwhile

NO_FILE = Operator()  # all as usual

log = logging.getLogger(__name__)


def configured() -> Config:
    """The configuration that the environment names now."""
    return read_config(dict(os.environ))


class Node:
    """All parts of one running router."""

    def __init__(
        self,
        config: Config,
        operator: Operator = NO_FILE,
        system: System = REAL,
        reread: Callable[[], Config] = configured,
        store: Store | None = None,
    ) -> None:
        """`store`: where a voter keeps its record, in place of the folder that the operator's file names."""
        self._config, self._operator, self._system, self._reread = config, operator, system, reread
        reader = EndpointListReader(system)
        router = Router(config.settings, config.seed, system.now())
        settings = config.settings
        diagnostics = DaemonDiagnostics()
        self._discovery = EndpointWatcher(
            config.discovery,
            reader,
            settings.polls_endpoint_list,
            settings.router_index,
            diagnostics.list_calls,
        )
        self._listed, self._listening = asyncio.Event(), False
        self._late: asyncio.Task[None] | None = None
        self._told_at: float | None = None  # when it was told to end, at the earliest
        shares = share_descriptors(config.sockets)
        room = MemoryBudget(max(LEAST_ROOM, (config.memory - OWN_MEMORY) // 2))
        self._access: AccessLogRecorder | None = None
        if operator.access_log is not None:
            from ironrail.net.access_log_writer import AccessLogRecorder  # noqa: PLC0415 - a router without it does without threads

            path = operator.access_log.path.replace("{index}", str(config.settings.router_index))
            self._access = AccessLogRecorder(replace(operator.access_log, path=path), system)
        self._pools = PoolFactory(config, operator, system, self._wrote, self._watch)
        self._host = RequestDispatcher(
            router,
            self._pools.make,
            self._discovery.ask,
            shares.servers,
            system,
            self._discovery.again,
            room,
            self._access.note if self._access is not None else None,
            diagnostics,
        )
        self._clients = ClientListener(
            self._host,
            self._can_serve,
            ClientSessionManager(shares.clients, shares.kept),
            system,
            lingering=shares.lingering,
            accepts=shares.accepts,
        )
        self.together: PeerRuntime | None = None
        if operator.peers is not None:
            from ironrail.net.peers.runtime import PeerRuntime  # noqa: PLC0415 - a router alone does without it

            self.together = PeerRuntime(
                config, operator, system, self._host.driver.apply_now, store
            )
            self._host.driver.before_event = self.together.check
            self.together.serve(self._clients)
        if config.known is not None:
            try:
                _, known, addresses = reader.read(config.known, EndpointListKind.CACHED)
            except EndpointListError as e:
                raise ConfigError(str(e), "known") from e
            self._told(known, addresses)

    def _can_serve(self) -> bool:
        return self._host.can_serve() and (self.together is None or self.together.ready())

    def _wrote(self) -> None:
        self._host.figures.wrote()

    def _watch(self, zone: str) -> LinkObserver | None:
        return self.together.watch(zone) if self.together is not None else None

    def start(self) -> Address:
        """Listen and follow discovery; answers with the address listened on.

        Where another process serves there, clients are taken only once the list is read.
        """
        address = self._config.listen
        if self._system.served(address):
            self._late = asyncio.create_task(self._take_over())
        else:
            address = self._listen()
        if self._config.operator is not None:
            pages: dict[str, Page] = {"/-/ready": self._ready, "/-/metrics": self._metrics}
            posts: dict[str, Post] = {}
            if self.together is not None:
                pages |= self.together.pages()
                posts = self.together.posts()
            self.door = AdminServer(pages, self._system, posts)
            self.door_address = self.door.listen(self._config.operator)
        self._discovery.start(self._told)
        if self._access is not None:
            self._access.start()
        return address

    def _listen(self) -> Address:
        address = self._clients.listen(self._config.listen)
        self._listening = True
        return address

    async def _take_over(self) -> None:
        """Guards requests that the old process would serve against a new one that knows no server yet."""
        log.info("address_is_shared_once_the_list_is_read")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT):
                await self._listed.wait()
        self._listen()

    def _told(self, news: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        self._host.update_endpoints(news, addresses)
        if self.together is not None:
            self.together.servers(news)
        if news.kind is EndpointListKind.FULL:
            self._listed.set()

    # The operators' door

    def _ready(self) -> Answer:
        if self._listening and self._clients.can_serve():
            return Answer(200, b"ready\n")
        return Answer(503, b"stopping\n" if self._clients.places.draining else b"not ready\n")

    def _metrics(self) -> Answer:
        return Answer(200, self._host.metrics())

    async def serve(self) -> None:
        """Start, follow the signals, and run until told to stop."""
        loop = asyncio.get_running_loop()
        told = asyncio.Event()

        def note_end() -> None:
            if not told.is_set():
                self._told_at = self._host.monitor.earliest_event()
                told.set()

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, note_end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self._access is not None:
            loop.add_signal_handler(signal.SIGUSR1, self._access.reopen)
        if self.together is not None:
            await self.together.open()
        self.start()
        log.info("listening", extra={"address": "{}:{}".format(*self._config.listen)})
        self._system.settled()
        waits = asyncio.create_task(told.wait())
        if self._late is not None:
            await asyncio.wait([waits, self._late], return_when=asyncio.FIRST_COMPLETED)
            if self._late.done():
                self._late.result()  # where it can't listen nobody will ever come: it ends
        await waits
        log.info("stopping")
        await self.stop()

    async def stop(self) -> None:
        """Take what still comes, answer all that is held, and end."""
        self._clients.drain()
        if self._late is not None:
            self._late.cancel()
        if self._listening:
            served = partial(self._system.served, self._config.listen)
            await shut_down_gracefully(
                self._clients, self._config.settings, self._system.now, served, self._told_at
            )
        self._discovery.stop()
        if self.together is not None:
            self.together.close()
        if self._access is not None:
            await self._access.stop()

    def reload(self) -> None:
        """Read the configuration again: discovery may have moved, all else holds until a restart."""
        if self._clients.places.draining:  # its end is near, and nothing is begun anew
            log.info("configuration_stays", extra={"error": "the router ends"})
            return
        try:
            config = self._reread()
        except Exception as e:  # guards the running router against whatever the file holds
            log.error("configuration_stays", extra={"error": str(e)})
            return
        log.info("discovery_told", extra={"address": "{}:{}".format(*config.discovery)})
        now = replace(self._config, discovery=config.discovery)
        if replace(config, seed=now.seed, known=now.known) != now:
            log.warning("other_changes_take_a_restart")
        if now != self._config:
            self._config = now
            self._discovery.move(config.discovery)


async def serve(config: Config, operator: Operator = NO_FILE) -> None:
    """Run until told to stop."""
    await Node(config, operator).serve()
    # told again, it would die of it once the loop has let go of its handlers
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
