"""Goes on asking for a request that has its answer."""

from __future__ import annotations

import asyncio
import itertools

from ironrail.net.dispatch.dispatcher import InFlightRequest, RequestDispatcher
from ironrail.net.upstream.connection_pool import Attempt

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    finish = RequestDispatcher._finish

    def again(self: RequestDispatcher, held: InFlightRequest) -> None:
        now = self._now()
        attempt = Attempt(held.request, 9, now, now + 1.0, held.command, lambda *_: None)
        next(pool for pool in self._pools.values() if pool.ready and pool.upstream.streams > 1).send(attempt)

    def restless(
        self: RequestDispatcher, held: InFlightRequest, answer: bytes, counts: dict[str, int]
    ) -> None:
        finish(self, held, answer, counts)
        if not held.command.is_write and next(count) % 20 == 0:
            asyncio.get_running_loop().call_later(0.4, again, self, held)

    RequestDispatcher._finish = restless  # type: ignore[method-assign, assignment]
