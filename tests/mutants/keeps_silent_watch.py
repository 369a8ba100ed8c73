"""Waits for a watch for good, which is never opened anew once it fell silent."""

from __future__ import annotations

from typing import Any

from ironrail.net.asked import Client

RULE = "rule drains"
SCENARIO = "watch.toml"
FOR_GOOD = 1e6  # seconds


def break_it() -> None:
    get = Client.get

    async def wait(self: Client, target: str, timeout: float, *others: Any) -> Any:
        return await get(self, target, FOR_GOOD if "index=" in target else timeout, *others)

    Client.get = wait  # type: ignore[method-assign]
