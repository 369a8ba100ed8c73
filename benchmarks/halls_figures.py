"""What `halls_worlds.py` counts of a run, and how it is told."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.names import zone_of


@dataclass(frozen=True, slots=True)
class Figures:
    """What came of one run."""

    worth: float  # share served in time
    late: float  # seconds, the 99th percentile of reads that were served, of the worse class
    hits: float  # share of reads at caches
    fetches: int  # at the archive
    crossing: int  # attempts at caches of other halls

    @classmethod
    def of(cls, result: Result) -> Figures:
        there = [
            a
            for one in result.record.tries.values()
            if one.planned.at >= 0
            for a in one.attempts
            if not a.archive
        ]
        hits, misses = (sum(a.ended is e for a in there) for e in (Ended.SERVED, Ended.MISS))
        halls = result.scenario

        def hall(name: str) -> str:
            return zone_of(halls, int(name.rpartition("-")[2]) - 1)

        return cls(
            result.service.whole.share,
            max(result.service.latencies[kind][0.99] for kind in ("grid-read", "quick-read")),
            hits / max(1, hits + misses),
            sum(at >= 0 for at in result.record.archive_fetches),
            sum(hall(a.router) != hall(a.server) for a in there),
        )


def line(name: str, figures: Figures) -> str:
    f = figures
    return f"{name:24s} {f.worth:.4f} {f.late:6.3f} s  {f.hits:.4f} {f.fetches:6.0f} {f.crossing:7.0f}"


def mean(all_of: list[Figures]) -> Figures:
    n = len(all_of)
    sums = [sum(getattr(f, field) for f in all_of) / n for field in Figures.__slots__]
    return Figures(*sums)
