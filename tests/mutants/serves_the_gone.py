"""Goes on with requests whose clients have gone, as if they were there."""

from __future__ import annotations

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_connection import ClientConnection

RULE, SCENARIO = "rule gone-clients", "leaves.toml"


def break_it() -> None:
    RequestDispatcher.on_client_disconnected = lambda self, request_id: None  # type: ignore[method-assign]
    ClientConnection.left = lambda self, waited: False  # type: ignore[method-assign]
