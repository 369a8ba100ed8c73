"""Opens connections to one server, and reports the results to the link observer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.diagnostics.counters import ReasonCounter
from ironrail.diagnostics.reasons import ConnectFailure
from ironrail.net.containment import report_error
from ironrail.net.io_timeout import io_timeout
from ironrail.net.local_errors import is_local_error
from ironrail.net.system import Address
from ironrail.net.upstream.connection import Connection, LinkObserver


class Connector:
    """Runs a task for each connection that is being opened.

    Args:
        connect_timeout: Limit on a connect, in seconds.
        now: Returns the time in seconds on the monotonic clock.
        make_connection: Makes the protocol of a connection.
        on_connected: Called with an open connection.
        on_failed: Called after a connect that failed or timed out.
        link_observer: Collects measurements of the link to the server.
        failures: Counts the connects that failed, by reason.
    """

    def __init__(
        self,
        connect_timeout: float,
        now: Callable[[], float],
        make_connection: Callable[[UpstreamConnection], Connection],
        on_connected: Callable[[UpstreamConnection, Connection], None],
        on_failed: Callable[[UpstreamConnection], None],
        link_observer: LinkObserver | None,
        failures: ReasonCounter | None = None,
    ) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self._connect_timeout = connect_timeout
        self._now = now
        self._make_connection = make_connection
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._link_observer = link_observer
        self._failures = failures or ReasonCounter("connect_failed", ConnectFailure)
        self._loop = asyncio.get_running_loop()

    def start(self, upstream: UpstreamConnection) -> None:
        """Start to open a connection."""
        self.tasks.add(self._loop.create_task(self._connect(upstream)))

    async def _connect(self, upstream: UpstreamConnection) -> None:
        task = asyncio.current_task()
        assert task is not None
        host, port = cast(Address, upstream.address)
        started_at = self._now()
        try:
            async with io_timeout(self._connect_timeout):
                _, connection = await self._loop.create_connection(
                    lambda: self._make_connection(upstream), host, port
                )
        except Exception as e:
            if not isinstance(e, OSError):  # without a report it would stay in `connecting`
                report_error("connect to a server", e)
            self._observe_failure(e, started_at)
            self.tasks.discard(task)
            self._on_failed(upstream)
        else:
            self._observe_answer(started_at)
            self.tasks.discard(task)
            self._on_connected(upstream, connection)

    def _observe_failure(self, error: Exception, started_at: float) -> None:
        self._failures.add(_reason_of(error))
        if isinstance(error, ConnectionRefusedError):
            self._observe_answer(started_at)
        elif self._link_observer is not None and isinstance(error, TimeoutError):
            self._link_observer.on_connect_timed_out()

    def _observe_answer(self, started_at: float) -> None:
        if self._link_observer is not None:
            self._link_observer.on_connect_answered(self._now() - started_at)


def _reason_of(error: Exception) -> ConnectFailure:
    """Return why a connect failed."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(error, TimeoutError):
        return ConnectFailure.TIMEOUT
    return ConnectFailure.LOCAL if is_local_error(error) else ConnectFailure.OTHER
