"""Keeps the endpoint list current: fetches it, watches it for changes, recovers from failures.

`AgentWatcher` and `ServiceWatcher` differ in when they call discovery and for how long they wait.
"""

from __future__ import annotations

import asyncio
import logging
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NoReturn

from ironrail.diagnostics.counters import ReasonCounter
from ironrail.diagnostics.reasons import ListCallResult
from ironrail.net.discovery.endpoint_list import EndpointListMessage, EndpointListReader
from ironrail.net.discovery.errors import (
    EndpointListError,
    MalformedResponseError,
    ResponseTimeoutError,
    WatchTimeoutError,
)
from ironrail.net.discovery.http_client import DiscoveryClient
from ironrail.net.discovery.timeouts import MILLISECONDS_PER_SECOND, Timeout, WatchTiming
from ironrail.net.io_timeout import STALL_GRACE_SECONDS
from ironrail.net.system import Address
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate

log = logging.getLogger(__name__)

FULL_LIST_PATH = "/api/targets"
MAX_LOGGED_NAMES = 8  # servers of one state in one log line

UpdateCallback = Callable[[EndpointListUpdate, dict[str, Address]], None]


class EndpointWatcher(ABC):
    """Follows discovery's endpoint list; while calls fail, the latest list remains in force."""

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        timeout: Timeout,
        watch_timing: WatchTiming,
        call_results: ReasonCounter | None = None,
    ) -> None:
        self._address = address  # for the next calls; the current client may use another
        self._timeout = timeout
        self._watch_timing = watch_timing
        self._client = self._make_client()
        self._reader = reader
        self._call_results = call_results or ReasonCounter("list_call", ListCallResult)
        self._on_update: UpdateCallback | None = None
        self._task: asyncio.Task[None] | None = None
        self._relist_timer: asyncio.TimerHandle | None = None
        self._watch_timed_out = False  # True until the next call
        # On the event loop's clock, in seconds:
        self._call_started_at = 0.0  # of the call in flight, or of the latest
        self._current_as_of = 0.0  # all changes until then were reported

    def _make_client(self) -> DiscoveryClient:
        return DiscoveryClient(self._address, self._timeout)

    def start(self, on_update: UpdateCallback) -> None:
        """Fetch and watch the list from now on; `on_update` is called for changes and failures."""
        self._on_update = on_update
        self._start_task()

    def stop(self) -> None:
        """Stop following the list and close the connection."""
        if self._relist_timer is not None:
            self._relist_timer.cancel()
            self._relist_timer = None
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def poll(self) -> None:  # noqa: B027 - only a service is polled
        """Request the list now, as the policy demands."""

    def refresh(self) -> None:  # noqa: B027 - a service is polled instead
        """Request the full list again, because the latest may be outdated."""

    def relocate(self, address: Address) -> None:
        """Fetch the full list from another address.

        Data that the current connection has already received is processed first.
        """
        self._address = address
        if self._relist_timer is None:  # otherwise the scheduled call uses the new address
            self._schedule_relist()

    def _schedule_relist(self) -> None:
        """Relist after the unread changes on the current connection are processed."""
        if self._task is not None:
            loop = asyncio.get_running_loop()
            # after callbacks that are ready then, as the task may be about to process a change
            self._relist_timer = loop.call_later(
                STALL_GRACE_SECONDS, loop.call_soon, self._relist_if_scheduled
            )

    def _relist_if_scheduled(self) -> None:
        if self._relist_timer is not None:  # stop() may have been called in between
            self.relist()

    def relist(self) -> None:
        """Cancel the call in flight, and fetch the full list at the configured address."""
        self.stop()
        self._start_task()

    def _start_task(self) -> None:
        self._client = self._make_client()
        self._watch_timed_out = False
        self._current_as_of = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Fetch and watch the list, and start over after every failure."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_until_due()
            started_at = loop.time()
            result = await self._follow_until_failure()
            await self._after_failure(result, started_at)

    @abstractmethod
    async def _wait_until_due(self) -> None:
        """Wait until the full list should be requested."""

    @abstractmethod
    async def _after_failure(self, result: ListCallResult, started_at: float) -> None:
        """React to a failed call; `started_at` is the time of the latest full list request."""

    @abstractmethod
    async def _request_full_list(self) -> Any:
        """Return discovery's response to a request for the full list."""

    async def _follow_until_failure(self) -> ListCallResult:
        """Fetch and watch the list until a call fails; return how it failed."""
        try:
            await self._follow()
        except WatchTimeoutError:
            self._watch_timed_out = True
            self._call_results.add(ListCallResult.WATCH_TIMED_OUT)
            seconds = self._watch_timing.wait + self._watch_timing.grace
            log.warning("endpoint_watch_timed_out", extra={"seconds": seconds})
            return ListCallResult.WATCH_TIMED_OUT
        except (OSError, ValueError) as error:
            return self._record_failure(error)
        except Exception:  # a defect must not stop the updates forever
            log.exception("endpoint_list_call_crashed")
            return ListCallResult.FAILED

    async def _follow(self) -> NoReturn:
        self._call_started_at = asyncio.get_running_loop().time()
        version = self._take(await self._request_full_list(), math.inf)
        while True:  # without a pause: a change between two watches would be noticed late
            version = self._take(await self._watch(version), version)

    async def _watch(self, version: int) -> Any:
        """Return discovery's response when the list changes after `version` or the wait ends."""
        loop = asyncio.get_running_loop()
        self._call_started_at = started_at = loop.time()
        wait = self._watch_timing.wait
        target = f"{FULL_LIST_PATH}?index={version}&wait={round(wait * MILLISECONDS_PER_SECOND)}"
        try:
            return await self._client.get(target, wait + self._watch_timing.grace)
        except ResponseTimeoutError as error:
            raise WatchTimeoutError(error.reason) from error
        finally:
            # a watch that ends sooner may have been rejected without watching anything
            if loop.time() - started_at > self._timeout.first_byte:
                self._current_as_of = loop.time()

    def _take(self, document: Any, min_delta_version: float) -> int:
        """Report a list or a change to the callback; return its version."""
        message = self._reader.read(document, min_delta_version=min_delta_version)
        self._call_results.add(ListCallResult.ANSWERED)
        if message.update.endpoints or message.update.kind is EndpointListKind.FULL:
            self._log_change(message)
            self._notify(message.update, message.addresses)
        self._current_as_of = asyncio.get_running_loop().time()
        return message.version

    def _notify(self, update: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        assert self._on_update is not None, "started"
        self._on_update(update, addresses)

    def _record_failure(self, error: BaseException) -> ListCallResult:
        """Count and log a failed call; return how it failed."""
        if not isinstance(error, (OSError, ValueError)):
            log.error("endpoint_list_call_crashed", exc_info=error)
        malformed = isinstance(error, (MalformedResponseError, EndpointListError))
        result = ListCallResult.MALFORMED if malformed else ListCallResult.FAILED
        self._call_results.add(result)
        now = asyncio.get_running_loop().time()
        fields = {
            "error": str(error) or type(error).__name__,
            "seconds": round(now - self._call_started_at, 3),
        }
        self._log_failure(now, fields)
        return result

    def _log_failure(self, now: float, fields: dict[str, Any]) -> None:
        log.warning("endpoint_list_call_failed", extra={**fields, "suppressed": 0})

    def _log_change(self, message: EndpointListMessage) -> None:
        """Log the version, and for each state the number of servers and the first few names."""
        update = message.update
        full = update.kind is EndpointListKind.FULL
        fields: dict[str, Any] = {"version": message.version, "full": full}
        for state in EndpointState:
            label = state.name.lower()
            names = [endpoint.name for endpoint in update.endpoints if endpoint.state is state]
            fields[label] = len(names)
            if state is not EndpointState.READY and names:
                fields[f"{label}_servers"] = names[:MAX_LOGGED_NAMES]
        fields["seconds"] = round(asyncio.get_running_loop().time() - self._call_started_at, 3)
        log.info("endpoint_list_changed", extra=fields)
