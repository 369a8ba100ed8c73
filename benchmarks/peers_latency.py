"""How soon routers know of a faulty link.

`python benchmarks/peers_latency.py PART [--routers N] [--halls N ...]`

Parts: `spread` (a link ten times slower or cut, with 3 to 50 zones and losses of 0 to 30%, beside
each router on its own), `faults` (a cut one way, a partial cut, flapping, local load, a wrong
reporter), `witnesses` (how many reporters to keep), `samples` (which sample of a window to use),
`space` (matrix of links or Vivaldi coordinates). In virtual time: the same figures each run; takes
minutes of one core.
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

from ironrail.peers.zone_latency.histogram import bucket_of
from ironrail.peers.zone_latency.link_tracker import LinkTracker, MeasuredLinkState
from ironrail.peers.zone_latency.report_table import LinkReportTable

STEP_SECONDS, TIMEOUT_SECONDS = 0.05, 30.0
WARM_UP_SECONDS = {3: 25.0, 6: 25.0, 12: 30.0, 50: 60.0}  # by number of zones
CUT_FACTOR, SLOW_FACTOR = math.inf, 10.0
ROUND_TRIPS_PER_SECOND = 24.0  # of each router


def row(*cells: object) -> None:
    """Print one row of a table."""
    print(" | ".join(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells), flush=True)


def measure_detection(fleet: Fleet, a: int, b: int) -> dict[str, float]:
    """Return the seconds from now until routers detect a fault, and are informed of it."""
    began, found = fleet.now, dict[str, float]()
    num_routers, num_in_zone = len(fleet.protocols), fleet.router_zones.count(a)
    while fleet.now < began + TIMEOUT_SECONDS and not {"know99", "alone99"} <= set(found):
        fleet.run(fleet.now + STEP_SECONDS)
        detecting, informed = fleet.num_detecting(a, b), fleet.num_informed(a, b)
        marks = {"first": detecting > 0, "alone99": detecting >= 0.99 * num_in_zone}
        marks |= {"know50": informed >= 0.5 * num_routers, "know99": informed >= 0.99 * num_routers}
        for name in (name for name, is_reached in marks.items() if is_reached):
            found.setdefault(name, fleet.now - began)
    return {name: found.get(name, math.inf) for name in ("first", "know50", "know99", "alone99")}


def measure_fault(fleet: Fleet, a: int, b: int, factor: float) -> tuple[object, ...]:
    """Return times of detection, bytes a second of each router, and false alarms of one fault."""
    before, began = fleet.bytes, fleet.now
    fleet.break_link(a, b, factor)
    found = measure_detection(fleet, a, b)
    fleet.run(max(fleet.now, began + 5.0))
    bytes_per_second = (fleet.bytes - before) / len(fleet.protocols) / (fleet.now - began)
    false_alarms = fleet.num_false_alarms({(a, b), (b, a)})
    fleet.break_link(a, b, 1.0)
    return (*found.values(), found["know99"] - found["first"], round(bytes_per_second), false_alarms)


def spread(routers: int, sizes: list[int]) -> None:
    """Print how soon routers are informed of a fault, by number of zones and loss."""
    row(
        "halls",
        "loss",
        "fault",
        "first detects",
        "half informed",
        "99% informed",
        "99% on their own",
        "99% - first",
        "B/s",
        "wrong",
    )
    for zones in sizes:
        for loss in (0.0, 0.1, 0.3):
            fleet = Fleet(routers, zones, loss, ROUND_TRIPS_PER_SECOND, 1)
            fleet.run(WARM_UP_SECONDS[zones])
            for a, b, factor in ((0, 1, SLOW_FACTOR), (1, 2, CUT_FACTOR)):
                row(
                    zones, loss, "cut" if factor == CUT_FACTOR else "x10", *measure_fault(fleet, a, b, factor)
                )


def witnesses(routers: int, sizes: list[int]) -> None:
    """Print the effect of the number of reporters that are kept for each link."""
    row("halls", "witnesses", "words", "links known", "99% - first", "B/s")
    for zones in sizes:
        for max_reporters in (3, 5, 7):
            LinkReportTable.__init__.__defaults__ = (max_reporters,)
            fleet = Fleet(routers, zones, 0.1, ROUND_TRIPS_PER_SECOND, 1)
            fleet.run(WARM_UP_SECONDS[zones])
            known = sum(
                fleet.protocols[0].estimate(fleet.now, x, y).state > 0
                for x in range(zones)
                for y in range(zones)
            )
            found = measure_fault(fleet, 0, 1, SLOW_FACTOR)
            row(
                zones,
                max_reporters,
                len(fleet.protocols[0].table),
                f"{known} of {zones**2}",
                found[4],
                found[5],
            )


def count_changes(
    fleet: Fleet, a: int, b: int, seconds: float, act: Callable[[float], None]
) -> tuple[int, int]:
    """Return the changes of a link's state at one router, and the snapshots of another one."""
    state, num_changes, began = fleet.protocols[-1].estimate(fleet.now, a, b).state, 0, fleet.now
    fleet.protocols[a].take_snapshot()
    num_snapshots = 0
    while fleet.now < began + seconds:
        act(fleet.now - began)
        fleet.run(fleet.now + 0.1)
        new = fleet.protocols[-1].estimate(fleet.now, a, b).state
        num_changes, state = num_changes + (new is not state), new
        num_snapshots += fleet.protocols[a].take_snapshot() is not None
    return num_changes, num_snapshots


def faults(routers: int, sizes: list[int]) -> None:
    """Print what the table says during several kinds of faults."""
    for zones in sizes:
        fleet = Fleet(routers, zones, 0.0, ROUND_TRIPS_PER_SECOND, 2)
        fleet.run(WARM_UP_SECONDS[zones])
        num_changes, num_snapshots = count_changes(fleet, 0, 1, 30.0, lambda _: None)
        row(
            zones,
            "no fault for 30 s: changes of state, snapshots",
            num_changes,
            num_snapshots,
            "false alarms",
            fleet.num_false_alarms(set()),
        )
        fleet.break_link(0, 1, CUT_FACTOR, both_ways=False)
        fleet.run(fleet.now + 8.0)
        both = (
            fleet.protocols[2].estimate(fleet.now, 0, 1).state,
            fleet.protocols[2].estimate(fleet.now, 1, 0).state,
        )
        row(
            zones,
            "cut one way for 8 s: there, back, false alarms",
            *map(str, both),
            fleet.num_false_alarms({(0, 1), (1, 0)}),
        )
        fleet.break_link(0, 1, 1.0)
        fleet.run(fleet.now + 10.0)
        row(zones, "repaired for 10 s: false alarms", fleet.num_false_alarms(set()))
        fleet.break_link(0, 2, CUT_FACTOR)
        fleet.run(fleet.now + 8.0)
        states = [fleet.protocols[0].estimate(fleet.now, *pair).state for pair in ((0, 2), (0, 1), (1, 2))]
        row(
            zones,
            "partial cut: A-C, A-B, B-C, false alarms",
            *map(str, states),
            fleet.num_false_alarms({(0, 2), (2, 0)}),
        )
        fleet.break_link(0, 2, 1.0)
        fleet.run(fleet.now + 20.0)

        def flap(at: float, fleet: Fleet = fleet) -> None:
            fleet.break_link(0, 1, CUT_FACTOR if at % 4.0 < 2.0 else 1.0)

        num_changes, num_snapshots = count_changes(fleet, 0, 1, 60.0, flap)
        row(zones, "flaps every 2 s for 60 s: changes of state, snapshots", num_changes, num_snapshots)
        fleet.break_link(0, 1, 1.0)
        fleet.run(fleet.now + 70.0)
        fleet.local_delays = dict.fromkeys(range(0, routers, 10), 0.3)
        fleet.run(fleet.now + 10.0)
        own = sum(
            t.state > MeasuredLinkState.WELL
            for r in fleet.local_delays
            for t in fleet.protocols[r].monitor.trackers.values()
        )
        row(
            zones,
            "a tenth of routers 0.3 s late: own false alarms, links with false alarms",
            own,
            fleet.num_false_alarms(set()),
        )
        wrong_reporter(routers, zones)


def wrong_reporter(routers: int, zones: int) -> None:
    """Print what changes if one router reports each link cut and far."""
    found = []
    for is_wrong in (False, True):
        fleet = Fleet(routers, zones, 0.0, ROUND_TRIPS_PER_SECOND, 3)
        if is_wrong:
            for zone in range(zones):
                fleet.protocols[0].monitor.trackers[zone] = _WrongTracker()
        fleet.run(WARM_UP_SECONDS[zones])
        estimates = [fleet.protocols[1].estimate(fleet.now, 0, to_zone) for to_zone in range(zones)]
        found.append(estimates)
    factor = max(b.median / a.median for a, b in zip(*found, strict=True) if a.num_reporters > 2)
    num_faults = sum(b.state > MeasuredLinkState.WELL for b in found[1])
    row(zones, "a wrong reporter: faults it invented, most that a median moved (times)", num_faults, factor)


class _WrongTracker(LinkTracker):
    """Tracks a link as cut and far, whatever the samples."""

    def close_window(
        self, now: float, local_delay: float, is_isolated: bool, is_suspected: bool = False
    ) -> None:
        super().close_window(now, local_delay, is_isolated, is_suspected)
        self.state = MeasuredLinkState.CUT

    def figures(self) -> tuple[int, int, float]:
        return bucket_of(5.0), bucket_of(5.0), 1.0


def samples(_: int, __: list[int]) -> None:
    """Print errors by sample: round trips of 10 ms, some delayed, eight a window of 0.1 s."""
    row(
        "share that waits", "sample", "error of the figure", "bad of 1,000 good windows",
        "windows to detect x10",
    )  # fmt: skip
    picks: dict[str, Callable[[list[float]], float]] = {
        "first": lambda s: s[0],
        "mean": statistics.fmean,
        "median": statistics.median,
        "lowest quarter": lambda s: sorted(s)[len(s) // 4],
        "quickest": min,
    }
    for share in (0.1, 0.5, 0.8):
        for name, pick in picks.items():
            rng = random.Random(name)

            def window(factor: float, share: float = share, rng: random.Random = rng) -> list[float]:
                waits = [rng.expovariate(1 / 0.04) if rng.random() < share else 0.0 for _ in range(8)]
                return [0.01 * factor * rng.lognormvariate(0.0, 0.1) + wait for wait in waits]

            good = [pick(window(1.0)) for _ in range(1000)]
            baseline = statistics.median(good)
            num_bad = sum(value > 3 * baseline for value in good)
            slow = [pick(window(10.0)) > 3 * baseline for _ in range(1000)]
            windows_needed = 3 / statistics.fmean(slow)
            row(share, name, statistics.fmean(abs(v - 0.01) / 0.01 for v in good), num_bad, windows_needed)


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
    arguments = parser.parse_args()
    sys.exit(PARTS[arguments.part](arguments.routers, arguments.halls))
