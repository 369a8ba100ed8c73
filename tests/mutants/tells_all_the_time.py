"""Tells servers the whole time that the client named and half a second, however much of it is over."""

from __future__ import annotations

from ironrail.net.protocol import meta_codec
from ironrail.net.upstream import origin_connection

RULE, SCENARIO = "rule time-told", "leaves.toml"


def break_it() -> None:
    told = meta_codec.info_with_wait
    meta_codec.info_with_wait = lambda command, wait_ms: told(command, int(float(command.fields["d"])) + 500)
    origin_connection.info_with_wait = meta_codec.info_with_wait  # type: ignore[attr-defined]
