"""Forgets the idempotency key on the way to the archive."""

from __future__ import annotations

import dataclasses
import re

from ironrail.net.dispatch.dispatcher import Answer, RequestDispatcher, ResponseStream
from ironrail.net.protocol.meta_codec import Command

RULE = "rule protocol"


def break_it() -> None:
    take = RequestDispatcher.take

    def keyless(
        self: RequestDispatcher, command: Command, answer: Answer, passage: ResponseStream | None = None
    ) -> str | None:
        info = re.sub(rb",k=[^,]*", b"", command.raw_fields)
        return take(self, dataclasses.replace(command, raw_fields=info), answer)

    RequestDispatcher.take = keyless  # type: ignore[method-assign]
