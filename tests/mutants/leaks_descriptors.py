"""Opens a file for each of some requests and never closes it."""

from __future__ import annotations

import os

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "descriptors of a router"
kept: list[int] = []


def break_it() -> None:
    accept = RequestDispatcher.accept

    def leaky(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        kept.append(os.open("/dev/null", os.O_RDONLY))
        return accept(self, command, respond, stream)

    RequestDispatcher.accept = leaky  # type: ignore[method-assign]
