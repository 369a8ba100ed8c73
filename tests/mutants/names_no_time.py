"""Refuses without a time to come back at."""

from __future__ import annotations

from ironrail.net import memcache

RULE = "refusals that name no time"


def break_it() -> None:
    memcache.write_busy = lambda retry_after: b"SERVER_ERROR busy\r\n"
