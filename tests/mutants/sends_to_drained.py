"""Takes a server that drains for one in service."""

from __future__ import annotations

from ironrail.net import lists
from ironrail.policy.interface import State

RULE = "rule drains"


def break_it() -> None:
    lists.STATES["terminating"] = State.READY
