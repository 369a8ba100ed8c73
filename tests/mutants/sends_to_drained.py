"""Takes a server that drains for one in service."""

from __future__ import annotations

from ironrail.net.discovery import endpoint_list
from ironrail.policy.endpoints import EndpointState

RULE = "rule drains"


def break_it() -> None:
    endpoint_list.ENDPOINT_STATES["terminating"] = EndpointState.READY
