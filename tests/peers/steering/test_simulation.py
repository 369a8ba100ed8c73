"""Proposed rows serve clients better than front ends or the nearest zone, close to the optimum."""

from statistics import mean

import pytest

from ironrail.peers.steering.proposal import DEFAULT_LIMITS
from ironrail.peers.steering.reports import RegionReport, unpack
from tests.peers.steering.simulated_routers import SimulatedRouters
from tests.peers.steering.simulation import EVENTS, Strategy, draw, fixed, nearest, optimal, run

SEEDS = (0, 1)


def simulate(name: str, choose: str, seed: int) -> tuple[float, float, Strategy]:
    """Return the fraction in time and the 99th percentile during the event.

    Of the new zone these are the figures once it is open.
    """
    simulation = draw(seed)
    strategy: Strategy = {"fixed": fixed, "nearest": nearest, "truth": optimal}.get(
        choose
    ) or SimulatedRouters(simulation, seed)
    found = run(simulation, EVENTS[name], strategy)
    affected = found[30:] if name == "new hall" else found[20:40]
    return mean(a for a, _ in affected), mean(b for _, b in affected), strategy


@pytest.mark.parametrize("name", EVENTS)
def test_steering_beats_fixed_and_nearest_zones_and_is_close_to_the_optimum(name: str) -> None:
    by = {c: [simulate(name, c, s)[:2] for s in SEEDS] for c in ("fixed", "nearest", "ours", "truth")}
    in_time = {c: mean(a for a, _ in found) for c, found in by.items()}
    tail = {c: mean(b for _, b in found) for c, found in by.items()}
    assert in_time["ours"] >= max(in_time["fixed"], in_time["nearest"])
    assert tail["ours"] <= min(tail["fixed"], tail["nearest"])
    assert in_time["ours"] >= in_time["truth"] - 0.04 and tail["ours"] <= 1.5 * tail["truth"]


def test_rows_converge_without_events() -> None:
    """In the second and third hour at most six changes move a tenth of the requests an hour."""
    simulation = draw(1)
    routers = SimulatedRouters(simulation, 1)
    run(simulation, EVENTS["calm"], routers, 180)
    later = [p for p in routers.proposals[60:] if p.rows is not None]
    assert len(later) <= 6 and sum(p.moved_rate for p in later) <= 0.2 * sum(simulation.demand.values())
    assert all(
        p.moved_rate <= DEFAULT_LIMITS.max_moved_ratio * sum(simulation.demand.values()) + 1e-6
        for p in routers.proposals
    )


def test_one_forging_router_per_zone_has_little_effect() -> None:
    """The first router of each zone reports it as near, fast and idle; the others are honest."""

    def forge(report: RegionReport) -> RegionReport:
        if report.reporter % 3:
            return report
        summary = unpack(report.values)
        best = summary._replace(rtt=0, rtt_tail=0, late=0, classes=((0, 0, 0, 15),), rate=0)
        return report._replace(values=best.pack())

    for name in ("calm", "cable cut"):
        simulation = draw(0)
        forged = run(simulation, EVENTS[name], SimulatedRouters(simulation, 0, forge=forge))
        honest, _, _ = simulate(name, "ours", 0)
        assert mean(a for a, _ in forged[20:40]) >= honest - 0.02
