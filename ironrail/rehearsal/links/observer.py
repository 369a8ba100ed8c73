"""Looks at routers from outside: their door for operators, asked at a bounded pace."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ironrail.rehearsal.ground import Router

MOST_ANSWER = 1024 * 1024  # bytes
MOST_SEEN = 100_000  # answers kept of all routers: an observer must fill no memory


@dataclass(frozen=True, slots=True)
class Seen:
    """What a router said when it was asked."""

    at: float  # when it was asked, seconds as the clock given has it
    router: str
    took: float  # seconds until it was answered, or no longer waited for
    status: int  # 0: no answer
    body: Any = None  # of JSON what it holds, of anything else its bytes


class Observer:
    """Asks each router one page again and again; one that says nothing holds up no other."""

    def __init__(
        self, routers: Callable[[], Iterable[Router]], path: str, every: float, clock: Callable[[], float]
    ) -> None:
        """`routers`: the processes there are now; `every`: seconds, also the longest wait for an answer."""
        self._routers, self._path, self._every, self._clock = routers, path, every, clock
        self.seen: list[Seen] = []

    async def run(self) -> None:
        """Until cancelled, or until as much was seen as is kept."""
        loop = asyncio.get_running_loop()
        while len(self.seen) < MOST_SEEN:
            began = loop.time()
            await asyncio.gather(*(self.ask(router) for router in list(self._routers())))
            await asyncio.sleep(max(0.0, began + self._every - loop.time()))

    async def ask(self, router: Router) -> Seen:
        """Ask one now."""
        at, status, body = self._clock(), 0, None
        try:
            async with asyncio.timeout(self._every):
                status, body = await self._call(router.admin_endpoint)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            status, body = 0, None
        seen = Seen(at, router.name, self._clock() - at, status, body)
        self.seen.append(seen)
        return seen

    async def _call(self, door: tuple[str, int]) -> tuple[int, Any]:
        reader, writer = await asyncio.open_connection(*door, limit=MOST_ANSWER)
        try:
            writer.write(f"GET {self._path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.read(MOST_ANSWER)
            while piece := await reader.read(MOST_ANSWER - len(body)):
                body += piece
        finally:
            writer.transport.abort()
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(body)
        except ValueError:
            return status, body
