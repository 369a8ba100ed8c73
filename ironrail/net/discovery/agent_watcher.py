"""Follows the endpoint list of an agent on this machine, which pushes changes at once."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.reasons import ListCallResult
from ironrail.net.discovery import timeouts
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.hedged_call import HedgedCall
from ironrail.net.discovery.watcher import FULL_LIST_PATH, EndpointWatcher
from ironrail.net.system import Address

log = logging.getLogger(__name__)


class AgentWatcher(EndpointWatcher):
    """Requests the list on its own, with hedged calls and a short interval after failures.

    Failures are not reported to the policy: an unreachable agent has no newer list either.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        call_results: ReasonCounter | None = None,
    ) -> None:
        super().__init__(
            address,
            reader,
            timeouts.agent_timeout(),
            timeouts.agent_watch_timing(),
            call_results,
        )
        self._failure_log = LogSampler(per_second=1)

    def refresh(self) -> None:
        """Request the full list again, after changes that are received but unread were applied."""
        if self._relist_timer is None:
            self._schedule_relist()

    async def _wait_until_due(self) -> None:
        """Return at once."""

    async def _after_failure(self, result: ListCallResult, started_at: float) -> None:
        due_at = started_at + timeouts.AGENT_CALL_INTERVAL_SECONDS
        await asyncio.sleep(max(0.0, due_at - asyncio.get_running_loop().time()))

    async def _request_full_list(self) -> Any:
        self._watch_timed_out = False
        self._client.close()  # the connection of a lost watch can't be reused
        call = HedgedCall(
            self._make_client,
            timeouts.AGENT_CALL_INTERVAL_SECONDS,
            self._timeout.first_byte,
            self._record_failure,
        )
        response = await call.get(FULL_LIST_PATH)
        self._client = response.client
        return response.document

    def _log_failure(self, now: float, fields: dict[str, Any]) -> None:
        if self._failure_log.admits(now):
            suppressed = self._failure_log.take_suppressed()
            log.warning("endpoint_list_call_failed", extra={**fields, "suppressed": suppressed})
