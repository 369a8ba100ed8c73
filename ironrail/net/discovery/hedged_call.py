"""Hedged call to discovery's agent: repeats a request while earlier ones are unanswered.

A lost request must not delay the agent's changes, and a slow one must not be cancelled, so requests
overlap and the first response wins. While a response is arriving no other request starts, as that
would slow down a long list on a slow machine further.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ironrail.net.discovery.http_client import DiscoveryClient

MAX_CONCURRENT_CALLS = 6  # beyond the limit, the oldest is cancelled


@dataclass(frozen=True, slots=True)
class HedgedResponse:
    """The first response, and the client that received it; its connection stays open."""

    client: DiscoveryClient
    document: Any


class HedgedCall:
    """Starts one request after another until one of them is answered."""

    def __init__(
        self,
        make_client: Callable[[], DiscoveryClient],
        interval: float,
        first_byte_timeout: float,
        on_failure: Callable[[BaseException], object],
    ) -> None:
        """Configure the call.

        Args:
            make_client: Makes the client of one request.
            interval: Seconds between the starts of two requests.
            first_byte_timeout: Seconds until the response of a request must begin.
            on_failure: Called with the error of each request that fails.
        """
        self._make_client = make_client
        self._interval = interval
        self._first_byte_timeout = first_byte_timeout
        self._on_failure = on_failure
        self._in_flight: dict[asyncio.Task[Any], DiscoveryClient] = {}
        self._changed = asyncio.Event()  # a request has ended, or the next one is due
        self._next_is_due = False

    async def get(self, target: str) -> HedgedResponse:
        """Return the first response to `GET target`; retries until there is one."""
        try:
            while True:
                if not self._is_receiving():
                    self._start_request(target)
                answered = await self._first_answered()
                if answered is not None:
                    return HedgedResponse(self._in_flight.pop(answered), answered.result())
        finally:
            self._cancel(list(self._in_flight))

    def _is_receiving(self) -> bool:
        """Return whether bytes of a response arrived in the latter half of the interval."""
        since = asyncio.get_running_loop().time() - self._interval / 2
        return any(client.last_received_at > since for client in self._in_flight.values())

    def _start_request(self, target: str) -> None:
        if len(self._in_flight) >= MAX_CONCURRENT_CALLS:
            self._cancel([next(iter(self._in_flight))])
        client = self._make_client()
        request = client.get(target, self._first_byte_timeout)
        task = asyncio.get_running_loop().create_task(request)
        task.add_done_callback(lambda _: self._changed.set())
        self._in_flight[task] = client

    async def _first_answered(self) -> asyncio.Task[Any] | None:
        """Return a request that was answered before the next one is due; None if there is none."""
        self._next_is_due = False
        timer = asyncio.get_running_loop().call_later(self._interval, self._mark_next_due)
        try:
            while not self._next_is_due:
                await self._changed.wait()
                self._changed.clear()
                for task in [task for task in self._in_flight if task.done()]:
                    error = task.exception()
                    if error is None:
                        return task
                    del self._in_flight[task]
                    self._on_failure(error)
            return None
        finally:
            timer.cancel()

    def _mark_next_due(self) -> None:
        self._next_is_due = True
        self._changed.set()

    def _cancel(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in tasks:
            del self._in_flight[task]
            if task.get_loop().is_closed():  # garbage collection after the event loop has ended
                continue
            task.add_done_callback(_retrieve_exception)
            task.cancel()


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieve the exception of a cancelled request, so that asyncio doesn't log it."""
    if not task.cancelled():
        task.exception()
