"""Rows of steering keep to their bounds, whatever is told."""

import math
import random
from dataclasses import dataclass, replace

from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.cost_model import EQUAL, Cells, Expected, Hall, Standing, Worth
from ironrail.peers.steering.local_statistics import time_left
from ironrail.peers.steering.proposal import (
    DWELL,
    UNITS,
    USUAL,
    Bounds,
    Past,
    Proposal,
    Reason,
    Rows,
    Steps,
    size_of,
)
from ironrail.peers.steering.planner import Steering
from ironrail.peers.steering.report_table import Cell

HALLS, REGIONS = ["a", "b", "c", "d"], ["", "e", "f", "g", "h"]
OPEN, COLD, CLOSED = Standing


def cell(rtt: float, rate: float, service: float = 0.02, witnesses: int = 3, age: float = 0.0) -> Cell:
    return Cell(rtt, rtt, rate, 0.0, 0.0, ((service, 2 * service, 1.0),), age, witnesses)


@dataclass
class Case:
    cells: Cells
    halls: dict[str, Hall]
    rows: Rows
    lately: Steps = frozenset()
    worth: Worth = EQUAL
    bounds: Bounds = USUAL

    def steering(self) -> Steering:
        expected = Expected(self.cells, dict.fromkeys(self.halls, 0.0), self.halls, ("page",), self.worth)
        rates = {key: c.rate for key, c in self.cells.items()}
        worths = {r: self.worth.of(r) for r in REGIONS}
        return Steering(self.rows, expected, rates, self.halls, worths, self.lately, self.bounds)

    def propose(self) -> Proposal:
        return self.steering().propose()


SECONDS = st.sampled_from([0.005, 0.02, 0.04, 0.08, 0.2, math.inf])
CELLS = st.dictionaries(
    st.tuples(st.sampled_from(REGIONS), st.sampled_from(HALLS)),
    st.builds(cell, SECONDS, st.sampled_from([0.02, 1.0, 10.0, 90.0]), SECONDS, st.integers(1, 3)),
)
ROW = st.lists(st.integers(0, 16), min_size=4, max_size=4).map(
    lambda ns: {h: n / max(sum(ns), 1) for h, n in zip(HALLS, ns, strict=True) if n}
)
HALL = st.builds(
    Hall, st.sampled_from([0.0, 50.0, 200.0]), st.sampled_from([0.0, 30.0, 90.0, 190.0]),
    st.sampled_from([OPEN, OPEN, OPEN, COLD, CLOSED]), st.just(3),
)  # fmt: skip
STEPS = st.frozensets(st.tuples(st.sampled_from(REGIONS), st.sampled_from(HALLS), st.sampled_from([1, -1])))
CASES = st.builds(
    Case, CELLS, st.fixed_dictionaries(dict.fromkeys(HALLS, HALL)),
    st.dictionaries(st.sampled_from(REGIONS[1:]), ROW), STEPS,
)  # fmt: skip


@given(CASES)
def test_bounds_hold(case: Case) -> None:
    work = case.steering()
    before = {r: dict(units) for r, units in work._before.items()}
    coming = dict(work._load)
    said = work.propose()
    if said.rows is None:
        return
    assert "" not in said.rows and sum(size_of(r, row) for r, row in said.rows.items()) <= USUAL.most_bytes
    freely = 0.0
    for region, row in said.rows.items():
        if region not in before:
            assert row == case.rows[region]  # nothing is known of it
            continue
        units = {h: round(s * UNITS) for h, s in row.items()}
        assert sum(units.values()) + round(said.unplaced.get(region, 0.0) * UNITS) == UNITS
        lowered = 0
        for hall in HALLS:
            step = units.get(hall, 0) - before[region].get(hall, 0)
            state = case.halls[hall].standing
            if state is CLOSED:
                assert not units.get(hall)
            elif step < 0:
                lowered -= step
                relieved = coming[hall] > USUAL.crowded * case.halls[hall].room
                assert (region, hall, 1) not in case.lately or relieved
            if step > 0:
                assert state is OPEN and math.isfinite(case.cells[region, hall].rtt)
        assert lowered <= USUAL.most_of_region * UNITS
        freely += lowered * work._rate[region]
    assert freely <= USUAL.most_moved * sum(h.load for h in case.halls.values()) + 1e-6
    for hall, state_ in case.halls.items():
        assert work._load[hall] <= max(coming[hall], USUAL.full * state_.room) + 1e-6
    assert not any((b, a) in work._pairs for a, b in work._pairs)


@given(CASES, st.randoms(use_true_random=False))
def test_the_same_evidence_gives_the_same_rows(case: Case, draws: random.Random) -> None:
    cells, halls, rows = list(case.cells.items()), list(case.halls.items()), list(case.rows.items())
    for items in (cells, halls, rows):
        draws.shuffle(items)
    assert replace(case, cells=dict(cells), halls=dict(halls), rows=dict(rows)).propose() == case.propose()


def far_and_near(near: Cell | None, bounds: Bounds = USUAL, **halls: Hall) -> Proposal:
    """A region that is at a hall 100 ms away."""
    cells = {("e", "a"): cell(0.100, 50.0), ("f", "b"): cell(0.010, 50.0)}
    if near:
        cells["e", "b"] = near
    there = {"a": Hall(200.0, 50.0, routers=3), "b": Hall(200.0, 50.0, routers=3), **halls}
    return Case(cells, there, {}, bounds=bounds).propose()


def test_readers_go_where_they_are_better_served_a_part_at_a_time() -> None:
    said = far_and_near(cell(0.010, 0.1))
    assert said.reason is Reason.BETTER and said.rows is not None and set(said.rows) == {"e"}
    assert 0.1 < said.rows["e"]["b"] <= 0.25 and sum(said.rows["e"].values()) == 1.0


def test_what_is_unknown_is_not_near() -> None:
    assert far_and_near(None).rows is None
    assert far_and_near(cell(math.inf, 0.1)).rows is None  # no round trip
    assert far_and_near(cell(0.010, 0.1, witnesses=1)).rows is None  # one witness among three routers
    allowed = far_and_near(None, replace(USUAL, explore=1 / 64))
    assert allowed.reason is Reason.EXPLORED and allowed.rows is not None
    assert allowed.rows["e"] == {"a": 63 / 64, "b": 1 / 64}


def test_little_is_not_worth_a_change() -> None:
    assert far_and_near(cell(0.085, 0.1)).rows is None


def test_a_hall_is_not_filled_for_the_sake_of_time() -> None:
    assert far_and_near(cell(0.010, 0.1), b=Hall(60.0, 50.0, routers=3)).rows is None
    assert far_and_near(cell(0.010, 0.1), b=Hall(200.0, 50.0, COLD, 3)).rows is None


def test_a_closed_hall_is_left_at_once_as_far_as_there_is_room() -> None:
    said = far_and_near(cell(0.2, 0.1), a=Hall(200.0, 50.0, CLOSED, 3))
    assert said.reason is Reason.CLOSED and said.rows is not None and said.rows["e"] == {"b": 1.0}
    said = far_and_near(cell(0.2, 0.1), a=Hall(200.0, 50.0, CLOSED, 3), b=Hall(100.0, 55.0, routers=3))
    assert said.rows is not None and said.rows["e"]["b"] + said.unplaced["e"] == 1.0
    assert 0.4 < said.rows["e"]["b"] < 0.6


def test_of_two_the_dearer_readers_go_first() -> None:
    def first(worth: Worth) -> set[str]:
        cells = {(r, h): cell(t, n) for r in "ef" for h, t, n in (("a", 0.1, 50.0), ("b", 0.01, 0.1))}
        there = {"a": Hall(300.0, 100.0, routers=3), "b": Hall(300.0, 0.2, routers=3)}
        said = Case(cells, there, {}, worth=worth, bounds=replace(USUAL, most_moved=0.05)).propose()
        return set(said.rows or {})

    titles = {"news": 3.0}
    assert first(Worth(titles=titles, reads={"f": {"news": 1.0}})) == {"f"}
    assert first(Worth(titles=titles, reads={"e": {"news": 1.0}})) == {"e"}


def test_what_was_raised_lately_is_not_lowered_and_only_for_the_dwell() -> None:
    past = Past()
    past.note(0.0, {"e": {"a": 0.5, "b": 0.5}}, lambda _: {"b": 1.0})
    assert past.lately(DWELL) == {("e", "a", 1), ("e", "b", -1)} and not past.lately(DWELL + 1.0)
    past.note(10.0, {"e": {"a": 0.5, "b": 0.5}}, lambda _: {})
    assert not past.lately(DWELL + 1.0)  # the same rows start no dwell
    cells = {("e", "a"): cell(0.1, 25.0), ("e", "b"): cell(0.01, 25.0)}
    there = {h: Hall(200.0, 25.0, routers=3) for h in "ab"}
    rows = {"e": {"a": 0.5, "b": 0.5}}
    assert Case(cells, there, rows, past.lately(1.0)).propose().rows is None
    assert Case(cells, there, rows).propose().rows is not None


def test_time_left() -> None:
    assert time_left(0.75, 0.25) == 0.5 and time_left(0.1, 0.2) < 0 and time_left(0.1, None) == 0.1
