"""Gives some answers a second time."""

from __future__ import annotations

import itertools

from ironrail.net.host import Held, Host

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    finish = Host._finish

    def talkative(self: Host, held: Held, answer: bytes, counts: dict[str, int]) -> None:
        finish(self, held, answer * 2 if next(count) % 40 == 0 else answer, counts)

    Host._finish = talkative  # type: ignore[method-assign, assignment]
