"""Watches the list, and keeps to the one that it had at its start."""

from __future__ import annotations

from typing import Any

from ironrail.net.discovery.watcher import EndpointWatcher
from tests.mutants import replace_method

RULE = "rule drains"


def break_it() -> None:
    def deaf(self: EndpointWatcher, document: Any, min_delta_version: float) -> int:
        return int(document["version"])

    replace_method(EndpointWatcher, "_take", deaf)
