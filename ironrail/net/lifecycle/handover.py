"""Handover of an address between processes: the new one listens once it has an endpoint list."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

# Discovery may be unreachable; the cached list is used then.
ENDPOINT_LIST_TIMEOUT_SECONDS = 2.0

log = logging.getLogger(__name__)


class Handover:
    """Postpones listening while the previous process still serves.

    Without an endpoint list this process would have to reject requests.
    """

    def __init__(self, listen: Callable[[], object]) -> None:
        """Call `listen` once the endpoint list is received, or after a timeout."""
        self._listen = listen
        self._list_received = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Wait for the endpoint list from now on."""
        self._task = asyncio.create_task(self._take_over())

    def endpoint_list_received(self) -> None:
        """Record that a full endpoint list was received."""
        self._list_received.set()

    def cancel(self) -> None:
        """Stop waiting, without listening."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self, interrupt: asyncio.Task[bool]) -> None:
        """Return once this process listens or `interrupt` is done; at once without a handover.

        Raises:
            OSError: The address can't be listened on.
        """
        if self._task is not None:
            await asyncio.wait([interrupt, self._task], return_when=asyncio.FIRST_COMPLETED)
            if self._task.done():
                self._task.result()

    async def _take_over(self) -> None:
        log.info("waiting_for_endpoint_list")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ENDPOINT_LIST_TIMEOUT_SECONDS):
                await self._list_received.wait()
        self._listen()
