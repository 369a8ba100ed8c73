"""Waits for a watch for good, which is never opened anew once it fell silent."""

from __future__ import annotations

from typing import Any

from ironrail.net.discovery.http_client import DiscoveryClient

RULE = "rule drains"
SCENARIO = "watch.toml"
FOR_GOOD = 1e6  # seconds


def break_it() -> None:
    get = DiscoveryClient.get

    async def wait(self: DiscoveryClient, target: str, first_byte_timeout: float) -> Any:
        return await get(self, target, FOR_GOOD if "index=" in target else first_byte_timeout)

    DiscoveryClient.get = wait  # type: ignore[method-assign]
