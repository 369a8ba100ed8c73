"""Polls a page of the routers' admin endpoints at a bounded rate."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ironrail.rehearsal.ground import Router

MAX_RESPONSE_BYTES = 1024 * 1024
MAX_OBSERVATIONS = 100_000  # of all routers; bounds memory


@dataclass(frozen=True, slots=True)
class Observation:
    """A router's response to one request."""

    at: float  # time of the request, seconds by the observer's clock
    router: str
    duration: float  # seconds until the response or the timeout
    status: int  # HTTP status, 0 without a response
    body: Any = None  # decoded JSON, or the bytes of anything else


class Observer:
    """Polls one page of each router; a router that does not respond delays no other."""

    def __init__(
        self, routers: Callable[[], Iterable[Router]], path: str, every: float, clock: Callable[[], float]
    ) -> None:
        """Creates an observer.

        Args:
            routers: Returns the current router processes.
            path: Path of the page.
            every: Seconds between two polls, and the timeout of a request.
            clock: Clock of the observations.
        """
        self._routers, self._path, self._every, self._clock = routers, path, every, clock
        self.seen: list[Observation] = []

    async def run(self) -> None:
        """Polls until cancelled or `MAX_OBSERVATIONS` are recorded."""
        loop = asyncio.get_running_loop()
        while len(self.seen) < MAX_OBSERVATIONS:
            began = loop.time()
            await asyncio.gather(*(self.ask(router) for router in list(self._routers())))
            await asyncio.sleep(max(0.0, began + self._every - loop.time()))

    async def ask(self, router: Router) -> Observation:
        """Requests the page from one router and records the observation."""
        at, status, body = self._clock(), 0, None
        try:
            async with asyncio.timeout(self._every):
                status, body = await self._call(router.admin_endpoint)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            status, body = 0, None
        seen = Observation(at, router.name, self._clock() - at, status, body)
        self.seen.append(seen)
        return seen

    async def _call(self, door: tuple[str, int]) -> tuple[int, Any]:
        reader, writer = await asyncio.open_connection(*door, limit=MAX_RESPONSE_BYTES)
        try:
            writer.write(f"GET {self._path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.read(MAX_RESPONSE_BYTES)
            while piece := await reader.read(MAX_RESPONSE_BYTES - len(body)):
                body += piece
        finally:
            writer.transport.abort()
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(body)
        except ValueError:
            return status, body
