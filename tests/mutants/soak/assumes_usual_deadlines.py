"""Gives each request at least 0.95 s, however little time its client has."""

from __future__ import annotations

from typing import Any

from ironrail.net.dispatch import dispatcher
from tests.mutants import replace_function

FOUND = "time-told"
SEED = 1


def break_it() -> None:
    time_left = dispatcher._time_left

    def generous(stream: Any, seconds: float) -> float:
        return max(0.95, time_left(stream, seconds))

    replace_function(dispatcher, "_time_left", generous)
