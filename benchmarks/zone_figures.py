"""Figures of one run of `zone_scenarios.py`, and how they are printed."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.names import zone_of


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run.

    Attributes:
        in_time_ratio: Fraction served in time, weighted by worth.
        p99_seconds: 99th percentile of the latency of served reads, of the slower class.
        hit_ratio: Of reads at caches.
        origin_fetches: Reads at the origin.
        cross_zone_attempts: Attempts at caches of other zones.
    """

    in_time_ratio: float
    p99_seconds: float
    hit_ratio: float
    origin_fetches: int
    cross_zone_attempts: int

    @classmethod
    def of(cls, result: Result) -> Figures:
        """Return the figures of a run."""
        attempts = [
            a
            for one in result.record.tries.values()
            if one.planned.at >= 0
            for a in one.attempts
            if not a.archive
        ]
        hits, misses = (sum(a.ended is e for a in attempts) for e in (Ended.SERVED, Ended.MISS))
        scenario = result.scenario

        def zone_of_node(name: str) -> str:
            return zone_of(scenario, int(name.rpartition("-")[2]) - 1)

        return cls(
            result.service.whole.share,
            max(result.service.latencies[kind][0.99] for kind in ("grid-read", "quick-read")),
            hits / max(1, hits + misses),
            sum(at >= 0 for at in result.record.archive_fetches),
            sum(zone_of_node(a.router) != zone_of_node(a.server) for a in attempts),
        )


def line(name: str, figures: Figures) -> str:
    """Return a line of the printed table."""
    f = figures
    return (
        f"{name:24s} {f.in_time_ratio:.4f} {f.p99_seconds:6.3f} s  {f.hit_ratio:.4f}"
        f" {f.origin_fetches:6.0f} {f.cross_zone_attempts:7.0f}"
    )


def mean(all_of: list[Figures]) -> Figures:
    """Return the mean of each figure."""
    n = len(all_of)
    sums = [sum(getattr(f, field) for f in all_of) / n for field in Figures.__slots__]
    return Figures(*sums)
