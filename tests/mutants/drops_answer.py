"""Takes a request and never answers it."""

from __future__ import annotations

import itertools

from ironrail.net.host import Held, Host

RULE = "rule one-answer"
count = itertools.count(1)


def break_it() -> None:
    finish = Host._finish

    def forgetful(self: Host, held: Held, answer: bytes, counts: dict[str, int]) -> None:
        if next(count) % 40 == 0:
            held.answer = lambda answer: None
        finish(self, held, answer, counts)

    Host._finish = forgetful  # type: ignore[method-assign, assignment]
