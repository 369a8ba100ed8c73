"""What fronts, clients and operators are told of regions: rows in force, and what is known. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any, Self

from ironrail.errors import RejectedError
from ironrail.peers.steering.cost_model import Cells, Hall
from ironrail.peers.steering.proposal import Rows


class NoRowsError(RejectedError):
    """No rows of steering are in force here: fronts do as they do by themselves."""

    advice = "Go on by your own order of halls, and ask again; operators put rows into the policy"

    @classmethod
    def of(cls, policies: bool, versions: Sequence[int]) -> Self:
        """`policies`: whether there are any in accord; `versions`: decided by."""
        if not policies:
            return cls("there are no voters, so no policy in accord", "steering")
        if not versions:
            return cls("this router holds no lease, and steers nobody", "steering")
        return cls(f"version {' and '.join(map(str, versions))} has no rows", "steering")


class TooLargeError(RejectedError):
    """More is known of regions at halls than a router can weigh while it serves."""

    advice = "Name fewer and larger regions, or propose rows by hand"


def _figure(value: float) -> float | None:
    """What is unknown is null."""
    return round(value, 4) if math.isfinite(value) else None


def tell(
    versions: Sequence[int],
    age: float,
    rows: Rows,
    cells: Cells,
    halls: Mapping[str, Hall],
    classes: Sequence[str],
    since: float = 0.0,
) -> dict[str, Any]:
    """As JSON has it. `age`: seconds since this router saw these versions in force; `since`: those since the
    cells were reckoned."""
    return {
        "versions": list(versions),
        "age": round(age, 1),
        "rows": rows,
        "halls": {
            name: {
                "room": _figure(hall.room),
                "load": _figure(hall.load),
                "standing": hall.standing.name.lower(),
            }
            for name, hall in halls.items()
        },
        "cells": [
            {
                "region": region,
                "hall": hall,
                "round_trip": _figure(cell.rtt),
                "round_trip_tail": _figure(cell.rtt_tail),
                "service": {
                    name: {"typical": _figure(row[0]), "tail": _figure(row[1]), "share": _figure(row[2])}
                    for name, row in zip(classes, cell.classes, strict=False)
                    if math.isfinite(row[0])
                },
                "in_time": _figure(1.0 - cell.late),
                "gone_early": _figure(cell.early),
                "rate": _figure(cell.rate),
                "age": round(cell.age + since, 1),
                "witnesses": cell.witnesses,
            }
            for (region, hall), cell in sorted(cells.items(), key=lambda item: item[0])
        ],
    }
