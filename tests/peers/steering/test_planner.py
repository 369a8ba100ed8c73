"""Proposed rows keep to their limits, whatever is reported."""

import math
import random
from dataclasses import dataclass, replace

from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.cost_model import (
    EQUAL_WEIGHTS,
    CellEstimates,
    CostModel,
    RequestWeights,
    ZoneState,
    ZoneStatus,
)
from ironrail.peers.steering.local_statistics import time_left
from ironrail.peers.steering.planner import SteeringPlanner
from ironrail.peers.steering.proposal import (
    DEFAULT_DWELL_SECONDS,
    DEFAULT_LIMITS,
    UNITS_PER_REGION,
    ChangeHistory,
    ProposalLimits,
    ProposalReason,
    ShareChanges,
    SteeringProposal,
    SteeringRows,
    row_size_bytes,
)
from ironrail.peers.steering.report_table import CellEstimate

ZONES, REGIONS = ["a", "b", "c", "d"], ["", "e", "f", "g", "h"]
OPEN, COLD, CLOSED = ZoneStatus


def cell(
    rtt: float, rate: float, service: float = 0.02, num_reporters: int = 3, age: float = 0.0
) -> CellEstimate:
    return CellEstimate(rtt, rtt, rate, 0.0, 0.0, ((service, 2 * service, 1.0),), age, num_reporters)


@dataclass
class Case:
    cells: CellEstimates
    zones: dict[str, ZoneState]
    rows: SteeringRows
    recent_changes: ShareChanges = frozenset()
    weights: RequestWeights = EQUAL_WEIGHTS
    limits: ProposalLimits = DEFAULT_LIMITS

    def planner(self) -> SteeringPlanner:
        costs = CostModel(self.cells, dict.fromkeys(self.zones, 0.0), self.zones, ("page",), self.weights)
        rates = {key: c.rate for key, c in self.cells.items()}
        weights = {r: self.weights.of_region(r) for r in REGIONS}
        return SteeringPlanner(self.rows, costs, rates, self.zones, weights, self.recent_changes, self.limits)

    def propose(self) -> SteeringProposal:
        return self.planner().propose()


SECONDS = st.sampled_from([0.005, 0.02, 0.04, 0.08, 0.2, math.inf])
CELLS = st.dictionaries(
    st.tuples(st.sampled_from(REGIONS), st.sampled_from(ZONES)),
    st.builds(cell, SECONDS, st.sampled_from([0.02, 1.0, 10.0, 90.0]), SECONDS, st.integers(1, 3)),
)
ROW = st.lists(st.integers(0, 16), min_size=4, max_size=4).map(
    lambda ns: {z: n / max(sum(ns), 1) for z, n in zip(ZONES, ns, strict=True) if n}
)
ZONE = st.builds(
    ZoneState, st.sampled_from([0.0, 50.0, 200.0]), st.sampled_from([0.0, 30.0, 90.0, 190.0]),
    st.sampled_from([OPEN, OPEN, OPEN, COLD, CLOSED]), st.just(3),
)  # fmt: skip
CHANGES = st.frozensets(st.tuples(st.sampled_from(REGIONS), st.sampled_from(ZONES), st.sampled_from([1, -1])))
CASES = st.builds(
    Case, CELLS, st.fixed_dictionaries(dict.fromkeys(ZONES, ZONE)),
    st.dictionaries(st.sampled_from(REGIONS[1:]), ROW), CHANGES,
)  # fmt: skip


@given(CASES)
def test_limits_hold(case: Case) -> None:
    planner = case.planner()
    before = {r: dict(units) for r, units in planner._initial_units.items()}
    initial_load = dict(planner._load)
    proposal = planner.propose()
    if proposal.rows is None:
        return
    assert (
        "" not in proposal.rows
        and sum(row_size_bytes(r, row) for r, row in proposal.rows.items()) <= DEFAULT_LIMITS.max_rows_bytes
    )
    moved_rate = 0.0
    for region, row in proposal.rows.items():
        if region not in before:
            assert row == case.rows[region]  # nothing is known of it
            continue
        units = {z: round(s * UNITS_PER_REGION) for z, s in row.items()}
        assert (
            sum(units.values()) + round(proposal.unplaced.get(region, 0.0) * UNITS_PER_REGION)
            == UNITS_PER_REGION
        )
        lowered = 0
        for zone in ZONES:
            step = units.get(zone, 0) - before[region].get(zone, 0)
            status = case.zones[zone].status
            if status is CLOSED:
                assert not units.get(zone)
            elif step < 0:
                lowered -= step
                is_relieved = (
                    initial_load[zone] > DEFAULT_LIMITS.overload_utilization * case.zones[zone].capacity
                )
                assert (region, zone, 1) not in case.recent_changes or is_relieved
            if step > 0:
                assert status is OPEN and math.isfinite(case.cells[region, zone].rtt)
        assert lowered <= DEFAULT_LIMITS.max_region_ratio * UNITS_PER_REGION
        moved_rate += lowered * planner._unit_rate[region]
    assert moved_rate <= DEFAULT_LIMITS.max_moved_ratio * sum(z.load for z in case.zones.values()) + 1e-6
    for zone, state in case.zones.items():
        assert (
            planner._load[zone]
            <= max(initial_load[zone], DEFAULT_LIMITS.target_utilization * state.capacity) + 1e-6
        )
    assert not any((b, a) in planner._moves for a, b in planner._moves)


@given(CASES, st.randoms(use_true_random=False))
def test_order_of_data_does_not_change_the_rows(case: Case, draws: random.Random) -> None:
    cells, zones, rows = list(case.cells.items()), list(case.zones.items()), list(case.rows.items())
    for items in (cells, zones, rows):
        draws.shuffle(items)
    assert replace(case, cells=dict(cells), zones=dict(zones), rows=dict(rows)).propose() == case.propose()


def propose_for_distant_region(
    near: CellEstimate | None, limits: ProposalLimits = DEFAULT_LIMITS, **zones: ZoneState
) -> SteeringProposal:
    """Propose for region e in zone a, 100 ms away, with the cell `near` in zone b."""
    cells = {("e", "a"): cell(0.100, 50.0), ("f", "b"): cell(0.010, 50.0)}
    if near:
        cells["e", "b"] = near
    states = {"a": ZoneState(200.0, 50.0, num_routers=3), "b": ZoneState(200.0, 50.0, num_routers=3), **zones}
    return Case(cells, states, {}, limits=limits).propose()


def test_clients_move_to_a_faster_zone_in_parts() -> None:
    proposal = propose_for_distant_region(cell(0.010, 0.1))
    assert (
        proposal.reason is ProposalReason.FASTER_ZONE
        and proposal.rows is not None
        and set(proposal.rows) == {"e"}
    )
    assert 0.1 < proposal.rows["e"]["b"] <= 0.25 and sum(proposal.rows["e"].values()) == 1.0


def test_unknown_zones_count_as_distant() -> None:
    assert propose_for_distant_region(None).rows is None
    assert propose_for_distant_region(cell(math.inf, 0.1)).rows is None  # no round-trip time
    assert propose_for_distant_region(cell(0.010, 0.1, num_reporters=1)).rows is None  # of three routers
    exploring = propose_for_distant_region(None, replace(DEFAULT_LIMITS, exploration_ratio=1 / 64))
    assert exploring.reason is ProposalReason.EXPLORATION and exploring.rows is not None
    assert exploring.rows["e"] == {"a": 63 / 64, "b": 1 / 64}


def test_a_small_gain_changes_nothing() -> None:
    assert propose_for_distant_region(cell(0.085, 0.1)).rows is None


def test_full_and_cold_zones_get_no_clients_for_a_gain() -> None:
    assert propose_for_distant_region(cell(0.010, 0.1), b=ZoneState(60.0, 50.0, num_routers=3)).rows is None
    assert propose_for_distant_region(cell(0.010, 0.1), b=ZoneState(200.0, 50.0, COLD, 3)).rows is None


def test_a_closed_zone_is_evacuated_at_once_as_far_as_capacity_allows() -> None:
    proposal = propose_for_distant_region(cell(0.2, 0.1), a=ZoneState(200.0, 50.0, CLOSED, 3))
    assert (
        proposal.reason is ProposalReason.ZONE_CLOSED
        and proposal.rows is not None
        and proposal.rows["e"] == {"b": 1.0}
    )
    proposal = propose_for_distant_region(
        cell(0.2, 0.1), a=ZoneState(200.0, 50.0, CLOSED, 3), b=ZoneState(100.0, 55.0, num_routers=3)
    )
    assert proposal.rows is not None and proposal.rows["e"]["b"] + proposal.unplaced["e"] == 1.0
    assert 0.4 < proposal.rows["e"]["b"] < 0.6


def test_the_region_of_more_weight_moves_first() -> None:
    def moved_regions(weights: RequestWeights) -> set[str]:
        cells = {(r, z): cell(t, n) for r in "ef" for z, t, n in (("a", 0.1, 50.0), ("b", 0.01, 0.1))}
        states = {"a": ZoneState(300.0, 100.0, num_routers=3), "b": ZoneState(300.0, 0.2, num_routers=3)}
        proposal = Case(
            cells, states, {}, weights=weights, limits=replace(DEFAULT_LIMITS, max_moved_ratio=0.05)
        ).propose()
        return set(proposal.rows or {})

    titles = {"news": 3.0}
    assert moved_regions(RequestWeights(titles=titles, title_shares={"f": {"news": 1.0}})) == {"f"}
    assert moved_regions(RequestWeights(titles=titles, title_shares={"e": {"news": 1.0}})) == {"e"}


def test_raised_shares_are_not_lowered_within_the_dwell_time() -> None:
    history = ChangeHistory()
    history.record(0.0, {"e": {"a": 0.5, "b": 0.5}}, lambda _: {"b": 1.0})
    assert history.recent(DEFAULT_DWELL_SECONDS) == {("e", "a", 1), ("e", "b", -1)} and not history.recent(
        DEFAULT_DWELL_SECONDS + 1.0
    )
    history.record(10.0, {"e": {"a": 0.5, "b": 0.5}}, lambda _: {})
    assert not history.recent(DEFAULT_DWELL_SECONDS + 1.0)  # the same rows don't restart it
    cells = {("e", "a"): cell(0.1, 25.0), ("e", "b"): cell(0.01, 25.0)}
    states = {z: ZoneState(200.0, 25.0, num_routers=3) for z in "ab"}
    rows = {"e": {"a": 0.5, "b": 0.5}}
    assert Case(cells, states, rows, history.recent(1.0)).propose().rows is None
    assert Case(cells, states, rows).propose().rows is not None


def test_time_left() -> None:
    assert time_left(0.75, 0.25) == 0.5 and time_left(0.1, 0.2) < 0 and time_left(0.1, None) == 0.1
