"""Rows in small worlds: what readers get, against fixed fronts, the nearest hall, and the truth known."""

from statistics import mean

import pytest

from ironrail.peers.steering.proposal import USUAL
from ironrail.peers.steering.reports import Report, unpack
from tests.peers.steering.simulated_routers import Ours
from tests.peers.steering.simulation import WORLDS, Choice, draw, fixed, nearest, run, truth

SEEDS = (0, 1)


def worth(name: str, choose: str, seed: int) -> tuple[float, float, Choice]:
    """Share in time and 99th percentile while it matters: in the hard third, or once the new hall is open."""
    world = draw(seed)
    how: Choice = {"fixed": fixed, "nearest": nearest, "truth": truth}.get(choose) or Ours(world, seed)
    found = run(world, WORLDS[name], how)
    hard = found[30:] if name == "new hall" else found[20:40]
    return mean(a for a, _ in hard), mean(b for _, b in hard), how


@pytest.mark.parametrize("name", WORLDS)
def test_readers_get_more_than_by_fixed_fronts_and_nearly_the_truth(name: str) -> None:
    by = {c: [worth(name, c, s)[:2] for s in SEEDS] for c in ("fixed", "nearest", "ours", "truth")}
    in_time = {c: mean(a for a, _ in found) for c, found in by.items()}
    tail = {c: mean(b for _, b in found) for c, found in by.items()}
    assert in_time["ours"] >= max(in_time["fixed"], in_time["nearest"])
    assert tail["ours"] <= min(tail["fixed"], tail["nearest"])
    assert in_time["ours"] >= in_time["truth"] - 0.04 and tail["ours"] <= 1.5 * tail["truth"]


def test_a_calm_world_comes_to_rest() -> None:
    """In the second and third hour less than a tenth of readers are moved an hour, and by few changes."""
    world = draw(1)
    ours = Ours(world, 1)
    run(world, WORLDS["calm"], ours, 180)
    later = [p for p in ours.proposals[60:] if p.rows is not None]
    assert len(later) <= 6 and sum(p.moved for p in later) <= 0.2 * sum(world.demand.values())
    assert all(p.moved <= USUAL.most_moved * sum(world.demand.values()) + 1e-6 for p in ours.proposals)


def test_one_liar_a_hall_changes_little() -> None:
    """The first router of each hall calls it near, quick and idle; two others there tell what they see."""

    def lie(report: Report) -> Report:
        if report.witness % 3:
            return report
        told = unpack(report.values)
        best = told._replace(rtt=0, rtt_tail=0, late=0, classes=((0, 0, 0, 15),), rate=0)
        return report._replace(values=best.pack())

    for name in ("calm", "cable cut"):
        world = draw(0)
        lied_to = run(world, WORLDS[name], Ours(world, 0, lie=lie))
        honest, _, _ = worth(name, "ours", 0)
        assert mean(a for a, _ in lied_to[20:40]) >= honest - 0.02
