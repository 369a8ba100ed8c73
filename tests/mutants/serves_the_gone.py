"""Goes on with requests whose clients have gone, as if they were there."""

from __future__ import annotations

from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_connection import ClientConnection
from tests.mutants import replace_method

RULE, SCENARIO = "rule gone-clients", "leaves.toml"


def break_it() -> None:
    replace_method(RequestDispatcher, "on_client_disconnected", lambda self, request_id: None)
    replace_method(ClientConnection, "has_left", lambda self, waited: False)
