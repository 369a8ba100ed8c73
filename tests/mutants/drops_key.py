"""Forgets the idempotency key on the way to the archive."""

from __future__ import annotations

import dataclasses
import re

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "rule protocol"


def break_it() -> None:
    accept = RequestDispatcher.accept

    def keyless(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        info = re.sub(rb",k=[^,]*", b"", command.raw_fields)
        return accept(self, dataclasses.replace(command, raw_fields=info), respond)

    RequestDispatcher.accept = keyless  # type: ignore[method-assign]
