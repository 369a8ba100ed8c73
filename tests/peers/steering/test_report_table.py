"""Words of witnesses: laws of their merging, their form on the wire, what one liar moves."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.reports import MOST_BODY, Report, ReportError, Summary, decode, encode, unpack
from ironrail.peers.steering.histogram import Fading, code_of, part_code, part_of, rate_code, rate_of, seconds_of
from ironrail.peers.steering.report_table import Table

HALL_OF = [0] * 6 + [1] * 2
CODE, SMALL = st.integers(0, 63), st.integers(0, 15)
CLASSES = st.dictionaries(st.integers(0, 5), st.tuples(CODE, CODE, SMALL))
SUMMARIES = st.builds(
    lambda a, b, c, d, e, f: Summary(a, b, c, d, e, tuple((k, *v) for k, v in sorted(f.items()))),
    CODE, CODE, CODE, SMALL, SMALL, CLASSES,
)  # fmt: skip
REPORTS = st.builds(
    Report, st.integers(0, 7), st.integers(1, 2), st.integers(0, 2), st.integers(1, 4),
    SUMMARIES.map(Summary.pack), st.just(0.0),
)  # fmt: skip
DIGEST = b"abcd"


def state(table: Table) -> object:
    words = sorted((w, r, h.order()) for w, r in table.words() if (h := table.held(w, r)) is not None)
    return words, list(table.cells(0.0))


def told(reports: list[Report]) -> Table:
    table = Table(HALL_OF, 2, 3)
    for report in reports:
        table.merge(0.0, report)
    return table


@given(st.lists(REPORTS, max_size=30), st.randoms(use_true_random=False))
def test_neither_order_nor_repeats_matter(reports: list[Report], draws: random.Random) -> None:
    again = reports + draws.choices(reports, k=5) if reports else []
    draws.shuffle(again)
    assert state(told(reports)) == state(told(again))


@given(st.lists(REPORTS, max_size=20), st.lists(REPORTS, max_size=20))
def test_what_one_has_kept_is_as_good_as_all_that_it_heard(one: list[Report], two: list[Report]) -> None:
    """Passing on what was kept loses nothing that a table of all would keep, but the starts."""
    first, whole = told(one), told(one + two)
    other = told(two)
    for witness, region in list(first.words()):
        held = first.held(witness, region)
        assert held is not None
        other.merge(0.0, Report(witness, held.start, region, held.sequence, held.values, 0.0))
    assert state(other)[0] == state(whole)[0]  # type: ignore[index]


@given(st.lists(REPORTS, max_size=20), st.integers(0, 7))
def test_a_replaced_process_never_returns(reports: list[Report], witness: int) -> None:
    table = told([Report(witness, 3, 0, 1, Summary(9, 9, 9, 0, 0, ()).pack(), 0.0), *reports])
    assert all(table.report(0.0, w, r) is None for w, r in table.words() if w == witness and r != 0)
    held = table.held(witness, 0)
    assert held is None or held.start == 3


def test_words_age_and_echoes_make_none_younger() -> None:
    table = Table(HALL_OF, 2, 3)
    word = Report(0, 1, 0, 1, Summary(9, 9, 9, 0, 0, ()).pack(), 100.0)
    assert table.merge(1000.0, word) > 0 and table.merge(2000.0, word._replace(age=0.0)) == -1
    again = table.report(1010.0, 0, 0)
    assert again is not None and again.age == pytest.approx(110.0)
    assert table.estimate(900.0 + 6 * table.renewal, 0, 0) is not None
    assert table.estimate(901.0 + 6 * table.renewal, 0, 0) is None
    assert table.estimate(1000.0, 1, 0) is None  # unknown is None, never a figure


@given(st.lists(SUMMARIES, min_size=3, max_size=3))
def test_one_liar_of_three_says_nothing_that_lies_outside_what_the_others_say(said: list[Summary]) -> None:
    table = told([Report(n, 1, 0, 1, s.pack(), 0.0) for n, s in enumerate(said)])
    cell = table.estimate(0.0, 0, 0)
    assert cell is not None and cell.witnesses == 3
    for mine, theirs in ((cell.rtt, "rtt"), (cell.rtt_tail, "rtt_tail")):
        honest = [seconds_of(c) if (c := getattr(s, theirs)) < 63 else float("inf") for s in said[:2]]
        assert min(honest) <= mine <= max(honest)
    rates = [6 * rate_of(s.rate) for s in said[:2]]
    assert min(rates) <= cell.rate <= max(rates)


@given(st.lists(REPORTS, max_size=60))
def test_there_and_back_on_the_wire(reports: list[Report]) -> None:
    body, taken = encode(DIGEST, reports)
    assert len(body) <= MOST_BODY and (taken or not reports)
    assert sorted(decode(body, DIGEST, 8, 3)) == sorted(reports[:taken])
    assert all(unpack(r.values).pack() == r.values for r in reports)


@given(st.binary(max_size=200))
def test_rubbish_is_refused_and_no_more(body: bytes) -> None:
    for data in (body, DIGEST + body):
        try:
            found = decode(data, DIGEST, 8, 3)
        except ReportError:
            continue
        told(found)


def test_codes_are_as_near_as_they_say() -> None:
    for n in range(1, 4000):
        assert seconds_of(code_of(n / 1000)) == pytest.approx(n / 1000, rel=0.075)
        assert rate_of(rate_code(float(n))) == pytest.approx(n, rel=0.13)
    assert all(part_of(part_code(n / 1000)) == pytest.approx(n / 1000, rel=0.25) for n in range(4, 1000))
    assert part_of(part_code(0.0)) == 0.0


def test_a_sketch_fades() -> None:
    sketch = Fading(60.0)
    for _ in range(100):
        sketch.add(0.0, 10)
    assert sketch.weight(120.0) == pytest.approx(25.0)
    for _ in range(30):
        sketch.add(120.0, 40)
    assert (sketch.quantile(0.4), sketch.quantile(0.5)) == (10, 40)
    sketch.add(1e6, 50)
    assert sketch.quantile(0.01) == 50 and sketch.weight(1e6) == pytest.approx(1.0)
