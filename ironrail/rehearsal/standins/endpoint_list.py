"""The list as it is written: a row for each server, and an answer of discovery with some of them. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson


@dataclass(frozen=True, slots=True)
class Row:
    """One server of the list."""

    id: str
    zone: str
    kind: str
    state: str = "in_service"
    started_ms: int = 0
    addresses: dict[str, str] = field(default_factory=dict)  # by router

    def told(self, router: str) -> dict[str, object]:
        return {
            "id": self.id,
            "addr": self.addresses[router],
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


def write_list(version: int, full: bool, rows: Iterable[Row], router: str, indented: bool) -> bytes:
    """An answer's body, on one line or indented: readers have to take both."""
    body = {"version": version, "full": full, "servers": [row.told(router) for row in rows]}
    return orjson.dumps(body, option=orjson.OPT_INDENT_2 if indented else None)
