"""Keeps values, and serves them to later requests."""

from __future__ import annotations

from ironrail.net.dispatch.dispatcher import Answer, RequestDispatcher, ResponseStream
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.upstream.connection_pool import Attempt
from ironrail.policy.events import AttemptStatus

RULE = "rule own-value"


def break_it() -> None:
    take, on_outcome = RequestDispatcher.take, RequestDispatcher._on_outcome
    kept: dict[bytes, bytes] = {}

    def remember(self: RequestDispatcher, attempt: Attempt, status: AttemptStatus, body: bytes) -> None:
        if status is AttemptStatus.OK and not attempt.command.is_write:
            kept[attempt.command.key] = body
        on_outcome(self, attempt, status, body)

    def recall(
        self: RequestDispatcher, command: Command, answer: Answer, passage: ResponseStream | None = None
    ) -> str | None:
        if command.is_write or command.key not in kept:
            return take(self, command, answer, passage)
        answer(meta_codec.write_served(command, kept[command.key]))
        return None

    RequestDispatcher.take = recall  # type: ignore[method-assign]
    RequestDispatcher._on_outcome = remember  # type: ignore[method-assign, assignment]
