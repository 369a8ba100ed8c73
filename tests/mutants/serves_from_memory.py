"""Keeps values, and serves them to later requests."""

from __future__ import annotations

from ironrail.net import memcache
from ironrail.net.host import Answer, Host, Passage
from ironrail.net.memcache import Command
from ironrail.net.pool import Attempt
from ironrail.policy.interface import Status

RULE = "rule own-value"


def break_it() -> None:
    take, on_outcome = Host.take, Host._on_outcome
    kept: dict[bytes, bytes] = {}

    def remember(self: Host, attempt: Attempt, status: Status, body: bytes) -> None:
        if status is Status.OK and not attempt.command.write:
            kept[attempt.command.key] = body
        on_outcome(self, attempt, status, body)

    def recall(self: Host, command: Command, answer: Answer, passage: Passage | None = None) -> str | None:
        if command.write or command.key not in kept:
            return take(self, command, answer, passage)
        answer(memcache.write_served(command, kept[command.key]))
        return None

    Host.take = recall  # type: ignore[method-assign]
    Host._on_outcome = remember  # type: ignore[method-assign, assignment]
