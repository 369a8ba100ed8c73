"""Takes whatever a cache says for the reply to its oldest command, be it a second answer to another one."""

from __future__ import annotations

from ironrail.net.protocol.meta_codec import FramingError
from ironrail.net.upstream.cache_connection import CacheConnection

RULE, SCENARIO = "rule own-value", "days.toml"


def break_it() -> None:
    def trusting(self: CacheConnection, request_id: bytes | None, position: int) -> None:
        if len(self.in_flight) <= position:
            raise FramingError("a reply without a request")

    CacheConnection._check_id = trusting  # type: ignore[method-assign]
