"""Never says that it can serve."""

from __future__ import annotations

from ironrail.net.clients import Clients

RULE = "routers never ready"


def break_it() -> None:
    Clients.can_serve = lambda self: False  # type: ignore[method-assign]
