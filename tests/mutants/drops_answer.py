"""Takes a request and never answers it."""

from __future__ import annotations

import itertools

from ironrail.access_log.record import RequestOutcome
from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.response_tracker import ResponseTracker

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    respond = ResponseTracker.respond

    def forgetful(
        self: ResponseTracker, request: InFlightRequest, outcome: RequestOutcome, response: bytes
    ) -> None:
        if next(count) % 40 == 0:
            request.respond = lambda answer: None
        respond(self, request, outcome, response)

    ResponseTracker.respond = forgetful  # type: ignore[method-assign]
