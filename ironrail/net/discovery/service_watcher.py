"""Follows the endpoint list of a discovery service, which all routers share and poll."""

from __future__ import annotations

import asyncio
from typing import Any

from ironrail.diagnostics.counters import ReasonCounter
from ironrail.diagnostics.reasons import ListCallResult
from ironrail.net.discovery import timeouts
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.watcher import FULL_LIST_PATH, EndpointWatcher
from ironrail.net.system import Address
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import EndpointListUpdate

UPDATE_KINDS = {
    ListCallResult.FAILED: EndpointListKind.FAILED,
    ListCallResult.MALFORMED: EndpointListKind.MALFORMED,
    ListCallResult.WATCH_TIMED_OUT: EndpointListKind.WATCH_TIMED_OUT,
}


class ServiceWatcher(EndpointWatcher):
    """Requests the list when the policy polls, and reports every failure to the policy.

    The policy controls the backoff between polls, so that the routers together do not overload the
    service.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        router_index: int = 0,
        call_results: ReasonCounter | None = None,
    ) -> None:
        super().__init__(
            address,
            reader,
            timeouts.service_timeout(),
            timeouts.service_watch_timing(router_index),
            call_results,
        )
        self._poll_requested = asyncio.Event()

    def poll(self) -> None:
        """Request the list now; no effect while a call is in flight."""
        self._poll_requested.set()

    def relist(self) -> None:
        """Cancel the call in flight, and let the policy poll at the configured address."""
        self._poll_requested.clear()
        super().relist()
        self._notify(EndpointListUpdate(EndpointListKind.RELOCATED), {})

    async def _wait_until_due(self) -> None:
        await self._poll_requested.wait()
        self._poll_requested.clear()

    async def _after_failure(self, result: ListCallResult, started_at: float) -> None:
        self._poll_requested.clear()  # the policy decides when the next call is due
        uncertain_for = asyncio.get_running_loop().time() - self._current_as_of
        self._notify(EndpointListUpdate(UPDATE_KINDS[result], uncertain_for=uncertain_for), {})

    async def _request_full_list(self) -> Any:
        first_byte = self._timeout.first_byte
        if self._watch_timed_out:
            first_byte = min(
                timeouts.SERVICE_FIRST_BYTE_TIMEOUT_AFTER_WATCH_SECONDS,
                first_byte,
            )
        self._watch_timed_out = False
        return await self._client.get(FULL_LIST_PATH, first_byte)
