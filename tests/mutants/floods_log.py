"""Writes 100 KB of log for each request."""

from __future__ import annotations

import sys

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "log of a router"


def break_it() -> None:
    accept = RequestDispatcher.accept

    def chatty(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        sys.stderr.write("x" * 100_000 + "\n")
        return accept(self, command, respond, stream)

    RequestDispatcher.accept = chatty  # type: ignore[method-assign]
