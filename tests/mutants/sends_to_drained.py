"""Takes a server that drains for one in service."""

from __future__ import annotations

from ironrail.net import discovery
from ironrail.policy.interface import State

RULE = "rule drains"


def break_it() -> None:
    discovery.STATES["terminating"] = State.READY
