"""Keeps what it has given up until the client's time is nearly over, so that it does not ask again."""

from __future__ import annotations

import asyncio

from ironrail.access_log.record import RequestOutcome
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.response_tracker import ResponseTracker

RULE = "answers kept back"


def break_it() -> None:
    respond = ResponseTracker.respond

    def sly(
        self: ResponseTracker, request: InFlightRequest, outcome: RequestOutcome, response: bytes
    ) -> None:
        if not response.startswith(b"SERVER_ERROR"):
            respond(self, request, outcome, response)
            return
        given, loop = request.respond, asyncio.get_running_loop()
        wait = max(0.0, request.deadline - self._now() - 0.01)

        def later(data: bytes) -> None:
            loop.call_later(wait, given, data)

        request.respond = later
        respond(self, request, outcome, response)

    ResponseTracker.respond = sly  # type: ignore[method-assign]
