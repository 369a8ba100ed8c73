"""Keeps values, and serves them to later requests."""

from __future__ import annotations

from ironrail.net.dispatch.attempt_dispatcher import AttemptDispatcher
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.in_flight_request import Respond, ResponseStream
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.upstream.connection_pool import Attempt
from ironrail.policy.events import AttemptStatus

RULE = "rule own-value"


def break_it() -> None:
    accept, on_outcome = RequestDispatcher.accept, AttemptDispatcher._on_outcome
    kept: dict[bytes, bytes] = {}

    def remember(self: AttemptDispatcher, attempt: Attempt, status: AttemptStatus, body: bytes) -> None:
        if status is AttemptStatus.OK and not attempt.command.is_write:
            kept[attempt.command.key] = body
        on_outcome(self, attempt, status, body)

    def recall(
        self: RequestDispatcher, command: Command, respond: Respond, stream: ResponseStream | None = None
    ) -> str | None:
        if command.is_write or command.key not in kept:
            return accept(self, command, respond, stream)
        respond(meta_codec.write_served(command, kept[command.key]))
        return None

    RequestDispatcher.accept = recall  # type: ignore[method-assign]
    AttemptDispatcher._on_outcome = remember  # type: ignore[method-assign]
