"""Who knows of a sick link how soon: `python benchmarks/peers_latency.py PART [--routers N] [--halls N ...]`.

Parts: `spread` (a link ten times slower or cut at 3 to 50 halls and losses of 0 to 30%, beside each router
learning alone), `faults` (one way, partial cut, flapping, load of our own, a liar), `witnesses` (how many to
keep), `samples` (which sample of a window to judge by), `space` (direct matrix or Vivaldi). Virtual time: the
same figures each run; minutes of one core.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import sys
from collections.abc import Callable

from peers_latency_fleet import Fleet, matrix
from peers_latency_space import space

from ironrail.peers.zone_latency.histogram import code_of
from ironrail.peers.zone_latency.link_tracker import Link, Sight
from ironrail.peers.zone_latency.report_table import Table

STEP, PATIENCE = 0.05, 30.0  # seconds
WARM = {3: 25.0, 6: 25.0, 12: 30.0, 50: 60.0}  # seconds before anything happens
BREAK, SLOW = math.inf, 10.0
RATE = 24.0  # round trips a second of each router


def row(*cells: object) -> None:
    print(" | ".join(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells), flush=True)


def follow(fleet: Fleet, a: int, b: int) -> dict[str, float]:
    """Seconds from now until routers see it, and know it."""
    began, found = fleet.now, dict[str, float]()
    routers, standing = len(fleet.rooms), fleet.hall_of.count(a)
    while fleet.now < began + PATIENCE and not {"know99", "alone99"} <= set(found):
        fleet.run(fleet.now + STEP)
        see, know = fleet.see(a, b), fleet.know(a, b)
        marks = {"first": see > 0, "alone99": see >= 0.99 * standing}
        marks |= {"know50": know >= 0.5 * routers, "know99": know >= 0.99 * routers}
        for name in (name for name, reached in marks.items() if reached):
            found.setdefault(name, fleet.now - began)
    return {name: found.get(name, math.inf) for name in ("first", "know50", "know99", "alone99")}


def broken(fleet: Fleet, a: int, b: int, times: float) -> tuple[object, ...]:
    before, began = fleet.bytes, fleet.now
    fleet.break_link(a, b, times)
    found = follow(fleet, a, b)
    fleet.run(max(fleet.now, began + 5.0))
    price = (fleet.bytes - before) / len(fleet.rooms) / (fleet.now - began)
    wrong = fleet.wrong({(a, b), (b, a)})
    fleet.break_link(a, b, 1.0)
    return (*found.values(), found["know99"] - found["first"], round(price), wrong)


def spread(routers: int, sizes: list[int]) -> None:
    row(
        "halls",
        "loss",
        "fault",
        "first sees",
        "half know",
        "99% know",
        "alone 99%",
        "99% - first",
        "B/s",
        "wrong",
    )
    for halls in sizes:
        for loss in (0.0, 0.1, 0.3):
            fleet = Fleet(routers, halls, loss, RATE, 1)
            fleet.run(WARM[halls])
            for a, b, times in ((0, 1, SLOW), (1, 2, BREAK)):
                row(halls, loss, "cut" if times == BREAK else "x10", *broken(fleet, a, b, times))


def witnesses(routers: int, sizes: list[int]) -> None:
    row("halls", "witnesses", "words", "links known", "99% - first", "B/s")
    for halls in sizes:
        for most in (3, 5, 7):
            Table.__init__.__defaults__ = (most,)
            fleet = Fleet(routers, halls, 0.1, RATE, 1)
            fleet.run(WARM[halls])
            known = sum(
                fleet.rooms[0].estimate(fleet.now, x, y).state > 0 for x in range(halls) for y in range(halls)
            )
            found = broken(fleet, 0, 1, SLOW)
            row(halls, most, len(fleet.rooms[0].table), f"{known} of {halls**2}", found[4], found[5])


def changes(fleet: Fleet, a: int, b: int, seconds: float, act: Callable[[float], None]) -> tuple[int, int]:
    """Changes of the link's state in one router's map, and tables handed out by one router of its hall."""
    state, turns, began = fleet.rooms[-1].estimate(fleet.now, a, b).state, 0, fleet.now
    fleet.rooms[a].facts()
    tables = 0
    while fleet.now < began + seconds:
        act(fleet.now - began)
        fleet.run(fleet.now + 0.1)
        new = fleet.rooms[-1].estimate(fleet.now, a, b).state
        turns, state = turns + (new is not state), new
        tables += fleet.rooms[a].facts() is not None
    return turns, tables


def faults(routers: int, sizes: list[int]) -> None:
    for halls in sizes:
        fleet = Fleet(routers, halls, 0.0, RATE, 2)
        fleet.run(WARM[halls])
        turns, tables = changes(fleet, 0, 1, 30.0, lambda _: None)
        row(halls, "calm 30 s: changes of state, tables", turns, tables, "wrong links", fleet.wrong(set()))
        fleet.break_link(0, 1, BREAK, both=False)
        fleet.run(fleet.now + 8.0)
        both = fleet.rooms[2].estimate(fleet.now, 0, 1).state, fleet.rooms[2].estimate(fleet.now, 1, 0).state
        row(halls, "one way cut 8 s: there, back, wrong", *map(str, both), fleet.wrong({(0, 1), (1, 0)}))
        fleet.break_link(0, 1, 1.0)
        fleet.run(fleet.now + 10.0)
        row(halls, "mended for 10 s: wrong links", fleet.wrong(set()))
        fleet.break_link(0, 2, BREAK)
        fleet.run(fleet.now + 8.0)
        there = [fleet.rooms[0].estimate(fleet.now, *pair).state for pair in ((0, 2), (0, 1), (1, 2))]
        row(halls, "partial cut: A-C, A-B, B-C, wrong", *map(str, there), fleet.wrong({(0, 2), (2, 0)}))
        fleet.break_link(0, 2, 1.0)
        fleet.run(fleet.now + 20.0)

        def flap(at: float, fleet: Fleet = fleet) -> None:
            fleet.break_link(0, 1, BREAK if at % 4.0 < 2.0 else 1.0)

        turns, tables = changes(fleet, 0, 1, 60.0, flap)
        row(halls, "flaps every 2 s for 60 s: changes of state, tables", turns, tables)
        fleet.break_link(0, 1, 1.0)
        fleet.run(fleet.now + 70.0)
        fleet.busy = dict.fromkeys(range(0, routers, 10), 0.3)
        fleet.run(fleet.now + 10.0)
        own = sum(s.state > Link.WELL for r in fleet.busy for s in fleet.rooms[r].evidence.sights.values())
        row(halls, "a tenth of routers 0.3 s late: own verdicts, links wrong", own, fleet.wrong(set()))
        liar(routers, halls)


def liar(routers: int, halls: int) -> None:
    """A router that says of each link that it is cut and far: what the map says with and without it."""
    found = []
    for lies in (False, True):
        fleet = Fleet(routers, halls, 0.0, RATE, 3)
        if lies:
            for sight in range(halls):
                fleet.rooms[0].evidence.sights[sight] = _Liar()
        fleet.run(WARM[halls])
        ends = [fleet.rooms[1].estimate(fleet.now, 0, to) for to in range(halls)]
        found.append(ends)
    moved = max(b.typical / a.typical for a, b in zip(*found, strict=True) if a.witnesses > 2)
    states = sum(b.state > Link.WELL for b in found[1])
    row(halls, "a liar: links it made sick, most that a typical moved (times)", states, moved)


class _Liar(Sight):
    """Evidence that all is cut and far, whatever comes."""

    def close(self, now: float, own: float, deaf: bool, suspected: bool = False) -> None:
        super().close(now, own, deaf, suspected)
        self.state = Link.CUT

    def told(self) -> tuple[int, int, float]:
        return code_of(5.0), code_of(5.0), 1.0


def samples(_: int, __: list[int]) -> None:
    """Round trips of 10 ms of which a share waits behind work, eight a window of a tenth of a second."""
    row(
        "share that waits", "sample", "error of the figure", "bad of 1,000 well windows", "windows to see x10"
    )
    picks: dict[str, Callable[[list[float]], float]] = {
        "first": lambda s: s[0],
        "mean": statistics.fmean,
        "median": statistics.median,
        "lowest quarter": lambda s: sorted(s)[len(s) // 4],
        "quickest": min,
    }
    for share in (0.1, 0.5, 0.8):
        for name, pick in picks.items():
            draws = random.Random(name)

            def window(times: float, share: float = share, draws: random.Random = draws) -> list[float]:
                waits = [draws.expovariate(1 / 0.04) if draws.random() < share else 0.0 for _ in range(8)]
                return [0.01 * times * draws.lognormvariate(0.0, 0.1) + wait for wait in waits]

            well = [pick(window(1.0)) for _ in range(1000)]
            usual = statistics.median(well)
            bad = sum(value > 3 * usual for value in well)
            slow = [pick(window(10.0)) > 3 * usual for _ in range(1000)]
            seen = 3 / statistics.fmean(slow)
            row(share, name, statistics.fmean(abs(v - 0.01) / 0.01 for v in well), bad, seen)


PARTS: dict[str, Callable[[int, list[int]], None]] = {
    "spread": spread,
    "faults": faults,
    "witnesses": witnesses,
    "samples": samples,
    "space": lambda _, sizes: space(sizes, row, matrix),
}

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=PARTS)
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--halls", type=int, nargs="+", default=[3, 6, 12, 50])
    given = parser.parse_args()
    sys.exit(PARTS[given.part](given.routers, given.halls))
