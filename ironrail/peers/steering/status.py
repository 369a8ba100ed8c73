"""The status document of steering, for front ends, clients and operators. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any, Self

from ironrail.errors import RejectedError
from ironrail.peers.steering.cost_model import CellEstimates, ZoneState
from ironrail.peers.steering.proposal import SteeringRows


class NoRowsError(RejectedError):
    """No steering rows are in force here; front ends choose zones by themselves."""

    advice = "Use your own order of zones, and ask again; operators put rows into the policy"

    @classmethod
    def for_versions(cls, has_policies: bool, versions: Sequence[int]) -> Self:
        """Return the error that says why there are no rows.

        Args:
            has_policies: Whether policies are decided by consensus at all.
            versions: Versions of the policies in force.
        """
        if not has_policies:
            return cls("there are no voters, so no policy is decided by consensus", "steering")
        if not versions:
            return cls("this router holds no lease, so it steers no clients", "steering")
        return cls(f"version {' and '.join(map(str, versions))} has no rows", "steering")


class TooLargeError(RejectedError):
    """More regions and zones are known than a router can plan for without delaying requests."""

    advice = "Name fewer and larger regions, or propose rows by hand"


def _finite(value: float) -> float | None:
    """Return the rounded value, or None, which is null in JSON, if it is unknown."""
    return round(value, 4) if math.isfinite(value) else None


def steering_status(
    versions: Sequence[int],
    age: float,
    rows: SteeringRows,
    cells: CellEstimates,
    zones: Mapping[str, ZoneState],
    classes: Sequence[str],
    cells_age: float = 0.0,
) -> dict[str, Any]:
    """Return the status in the form of JSON.

    Args:
        versions: Versions of the policies in force.
        age: Seconds since this router first saw them in force.
        rows: The rows in force.
        cells: What is known of regions in zones.
        zones: State of each zone.
        classes: Names of request classes by number.
        cells_age: Seconds since `cells` was computed.
    """
    return {
        "versions": list(versions),
        "age": round(age, 1),
        "rows": rows,
        "halls": {
            name: {
                "room": _finite(zone.capacity),
                "load": _finite(zone.load),
                "standing": zone.status.name.lower(),
            }
            for name, zone in zones.items()
        },
        "cells": [
            {
                "region": region,
                "hall": zone,
                "round_trip": _finite(cell.rtt),
                "round_trip_tail": _finite(cell.rtt_tail),
                "service": {
                    name: {
                        "typical": _finite(row[0]),
                        "tail": _finite(row[1]),
                        "share": _finite(row[2]),
                    }
                    for name, row in zip(classes, cell.classes, strict=False)
                    if math.isfinite(row[0])
                },
                "in_time": _finite(1.0 - cell.late),
                "gone_early": _finite(cell.abandoned),
                "rate": _finite(cell.rate),
                "age": round(cell.age + cells_age, 1),
                "witnesses": cell.num_reporters,
            }
            for (region, zone), cell in sorted(cells.items(), key=lambda item: item[0])
        ],
    }
