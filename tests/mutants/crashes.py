"""Ends by itself after some hundred requests."""

from __future__ import annotations

import itertools
import os

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "routers crashed"
count = itertools.count(1)


def break_it() -> None:
    accept = RequestDispatcher.accept

    def fragile(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        if next(count) == 200:
            os._exit(3)
        return accept(self, command, respond, stream)

    RequestDispatcher.accept = fragile  # type: ignore[method-assign]
