"""Gives some answers a second time."""

from __future__ import annotations

import itertools

from ironrail.access_log.record import RequestOutcome
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.response_tracker import ResponseTracker

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    respond = ResponseTracker.respond

    def talkative(
        self: ResponseTracker, request: InFlightRequest, outcome: RequestOutcome, response: bytes
    ) -> None:
        respond(self, request, outcome, response * 2 if next(count) % 40 == 0 else response)

    ResponseTracker.respond = talkative  # type: ignore[method-assign]
