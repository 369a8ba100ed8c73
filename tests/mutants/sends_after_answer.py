"""Goes on asking for a request that has its answer."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from ironrail.access_log.record import RequestOutcome
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.net.upstream.connection_pool import Attempt

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    init, respond = RequestDispatcher.__init__, ResponseTracker.respond
    dispatchers: dict[ResponseTracker, RequestDispatcher] = {}

    def known(self: RequestDispatcher, *what: Any, **how: Any) -> None:
        init(self, *what, **how)
        dispatchers[self.requests] = self

    def again(self: ResponseTracker, request: InFlightRequest) -> None:
        now = self._now()
        attempt = Attempt(request.request_id, 9, now, now + 1.0, request.command, lambda *_: None)
        pools = dispatchers[self].pools.values()
        next(pool for pool in pools if pool.is_ready and pool.manager.state.max_streams > 1).send(attempt)

    def restless(
        self: ResponseTracker, request: InFlightRequest, outcome: RequestOutcome, response: bytes
    ) -> None:
        respond(self, request, outcome, response)
        if not request.command.is_write and next(count) % 20 == 0:
            asyncio.get_running_loop().call_later(0.4, again, self, request)

    RequestDispatcher.__init__ = known  # type: ignore[method-assign]
    ResponseTracker.respond = restless  # type: ignore[method-assign]
