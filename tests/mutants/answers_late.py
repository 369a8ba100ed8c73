"""Holds some answers until well after their time."""

from __future__ import annotations

import asyncio
import itertools

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    accept = RequestDispatcher.accept

    def slow(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        if next(count) % 40:
            return accept(self, command, respond, stream)
        wait = float(command.fields["d"]) / 1000 + 0.8
        loop = asyncio.get_running_loop()

        def later(data: bytes) -> None:
            loop.call_later(wait, respond, data)

        return accept(self, command, later)

    RequestDispatcher.accept = slow  # type: ignore[method-assign]
