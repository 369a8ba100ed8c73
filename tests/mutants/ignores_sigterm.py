"""Does not end when told to."""

from __future__ import annotations

import asyncio

from ironrail.net.lifecycle.node import Node
from tests.mutants import replace_method

RULE = "seconds to stop"


def break_it() -> None:
    async def stay(self: Node) -> None:
        await asyncio.Event().wait()

    replace_method(Node, "stop", stay)
