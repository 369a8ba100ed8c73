"""Compares pipelining depths on connections to caches: the same load and faults at each depth."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ironrail.operator_file import ConnectionSettings
from ironrail.rehearsal.account.record import Ended, Record
from ironrail.rehearsal.account.service import quantiles
from ironrail.rehearsal.run import Result

CONCURRENT_REQUESTS = 16  # on all connections of one router to one cache, at any depth


@dataclass(frozen=True, slots=True)
class Depth:
    """A pipelining depth; connections are opened up to their limit before requests are pipelined.

    None leaves the depth to the router.
    """

    requests: int | None

    @property
    def connections(self) -> int:
        """The limit to one cache, so that any depth has the same capacity; 0 where the router decides."""
        return max(2, -(-CONCURRENT_REQUESTS // self.requests)) if self.requests is not None else 0

    def __str__(self) -> str:
        return "as it is" if self.requests is None else str(self.requests)


@dataclass(frozen=True, slots=True)
class Line:
    """The measurements at one depth."""

    depth: str
    allowed: int  # connections of a router to one cache
    connections: float  # to one cache from all routers, mean over time
    handshakes: int
    latencies: dict[float, float]  # of served first tries, in seconds
    attempts: int
    lost_behind: int  # attempts lost with a connection that broke at an earlier request
    retries: int  # of clients
    service: float
    drained: int  # attempts at a draining or terminated cache after the grace period
    broken: int  # violations of any rule
    no_verdict: str


def operator_file(depth: Depth) -> str:
    """Return the text of the operator's file that sets a depth."""
    if depth.requests is None:
        return "[connections]\n"
    return f"[connections]\nper_cache = {depth.connections}\ndepth = {depth.requests}\ncost_ms = 0\n"


def compare(depths: list[Depth], play: Callable[[Path, str], Result]) -> list[Line]:
    """Play each depth; `play` gets the path of the routers' operator file and the name of the run."""
    lines = []
    with tempfile.TemporaryDirectory(prefix="ironrail-") as folder:
        for number, depth in enumerate(depths):
            path = Path(folder) / f"{number}.toml"
            path.write_text(operator_file(depth))
            lines.append(line_of(depth, play(path, f"depth {depth}")))
    return lines


def line_of(depth: Depth, result: Result) -> Line:
    """Return the measurements of one run at its depth."""
    counted = [s.connections for s in result.samples if s.at >= 0]
    caches = result.scenario.caches.count
    attempts = [a for t in result.record.tries.values() for a in t.attempts if not a.archive]
    return Line(
        str(depth),
        depth.connections or ConnectionSettings().limit_per_router(result.scenario.routers.count),
        sum(counted) / len(counted) / caches if counted else 0.0,
        result.record.handshakes,
        latencies(result),
        len(attempts),
        lost_behind(result.record),
        result.service.retries,
        result.service.whole.share,
        sum(v.rule == "drains" for v in result.broken),
        len(result.broken),
        result.no_verdict,
    )


def latencies(result: Result) -> dict[float, float]:
    """Return latency quantiles of served first tries, including retries, from their scheduled time."""
    best: dict[int, float] = {}
    for one in result.record.tries.values():
        if one.planned.at >= 0 and one.outcome == "served" and one.answers:
            took = one.answers[0].at - one.planned.at
            best[one.planned.number] = min(took, best.get(one.planned.number, took))
    return quantiles(list(best.values()))


def lost_behind(record: Record) -> int:
    """Count attempts at caches that ended with their connection before their own reply was due."""
    return sum(
        a.behind and a.ended in (Ended.LEFT, Ended.RESET)
        for t in record.tries.values()
        for a in t.attempts
        if not a.archive
    )
