"""Never reports that it can serve."""

from __future__ import annotations

from ironrail.net.downstream.session_context import SessionContext
from tests.mutants import replace_method

RULE = "routers never ready"


def break_it() -> None:
    replace_method(SessionContext, "can_serve", lambda self: False)
