"""The endpoint list in its wire format: one row per server, and whole answers. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """One server of the endpoint list."""

    id: str
    zone: str
    kind: str
    state: str = "in_service"
    started_ms: int = 0
    addresses: dict[str, str] = field(default_factory=dict)  # by router

    def to_dict(self, router: str) -> dict[str, object]:
        """The row as this router receives it."""
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


def encode_list(version: int, full: bool, rows: Iterable[EndpointRow], router: str, indented: bool) -> bytes:
    """Encodes an answer's body on one line or indented; routers have to accept both."""
    body = {"version": version, "full": full, "servers": [row.to_dict(router) for row in rows]}
    return orjson.dumps(body, option=orjson.OPT_INDENT_2 if indented else None)
