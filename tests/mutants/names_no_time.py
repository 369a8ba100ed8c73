"""Refuses without a time to come back at."""

from __future__ import annotations

from ironrail.net.protocol import meta_codec
from tests.mutants import replace_function

RULE = "refusals that name no time"


def break_it() -> None:
    replace_function(meta_codec, "write_busy", lambda retry_after: b"SERVER_ERROR busy\r\n")
