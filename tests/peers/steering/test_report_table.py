"""Region reports: laws of merging, encoding, and the effect of a reporter with wrong values."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.histogram import (
    DecayingHistogram,
    duration_code,
    duration_from_code,
    fraction_code,
    fraction_from_code,
    rate_code,
    rate_from_code,
)
from ironrail.peers.steering.report_table import RegionReportTable
from ironrail.peers.steering.reports import (
    MAX_BODY_BYTES,
    RegionReport,
    RegionReportError,
    RegionSummary,
    decode,
    encode,
    unpack,
)

ZONE_OF = [0] * 6 + [1] * 2
CODE, SMALL = st.integers(0, 63), st.integers(0, 15)
CLASSES = st.dictionaries(st.integers(0, 5), st.tuples(CODE, CODE, SMALL))
SUMMARIES = st.builds(
    lambda a, b, c, d, e, f: RegionSummary(a, b, c, d, e, tuple((k, *v) for k, v in sorted(f.items()))),
    CODE, CODE, CODE, SMALL, SMALL, CLASSES,
)  # fmt: skip
REPORTS = st.builds(
    RegionReport, st.integers(0, 7), st.integers(1, 2), st.integers(0, 2), st.integers(1, 4),
    SUMMARIES.map(RegionSummary.pack), st.just(0.0),
)  # fmt: skip
DIGEST = b"abcd"


def state(table: RegionReportTable) -> object:
    reports = sorted(
        (w, r, stored.order()) for w, r in table.report_keys() if (stored := table.stored(w, r)) is not None
    )
    return reports, list(table.cell_estimates(0.0))


def merged(reports: list[RegionReport]) -> RegionReportTable:
    table = RegionReportTable(ZONE_OF, 2, 3)
    for report in reports:
        table.merge(0.0, report)
    return table


@given(st.lists(REPORTS, max_size=30), st.randoms(use_true_random=False))
def test_order_and_repetition_do_not_matter(reports: list[RegionReport], draws: random.Random) -> None:
    again = reports + draws.choices(reports, k=5) if reports else []
    draws.shuffle(again)
    assert state(merged(reports)) == state(merged(again))


@given(st.lists(REPORTS, max_size=20), st.lists(REPORTS, max_size=20))
def test_forwarding_stored_reports_loses_nothing(one: list[RegionReport], two: list[RegionReport]) -> None:
    """Other tables would not store what a table drops either; only incarnations may differ."""
    first, whole = merged(one), merged(one + two)
    other = merged(two)
    for reporter, region in list(first.report_keys()):
        stored = first.stored(reporter, region)
        assert stored is not None
        other.merge(
            0.0, RegionReport(reporter, stored.incarnation, region, stored.sequence, stored.values, 0.0)
        )
    assert state(other)[0] == state(whole)[0]  # type: ignore[index]


@given(st.lists(REPORTS, max_size=20), st.integers(0, 7))
def test_reports_of_a_replaced_process_are_ignored(reports: list[RegionReport], reporter: int) -> None:
    table = merged([RegionReport(reporter, 3, 0, 1, RegionSummary(9, 9, 9, 0, 0, ()).pack(), 0.0), *reports])
    assert all(
        table.report_to_forward(0.0, w, r) is None for w, r in table.report_keys() if w == reporter and r != 0
    )
    stored = table.stored(reporter, 0)
    assert stored is None or stored.incarnation == 3


def test_reports_expire_and_repetition_does_not_make_them_younger() -> None:
    table = RegionReportTable(ZONE_OF, 2, 3)
    report = RegionReport(0, 1, 0, 1, RegionSummary(9, 9, 9, 0, 0, ()).pack(), 100.0)
    assert table.merge(1000.0, report) > 0 and table.merge(2000.0, report._replace(age=0.0)) == -1
    again = table.report_to_forward(1010.0, 0, 0)
    assert again is not None and again.age == pytest.approx(110.0)
    assert table.estimate(900.0 + 6 * table.renewal_seconds, 0, 0) is not None
    assert table.estimate(901.0 + 6 * table.renewal_seconds, 0, 0) is None
    assert table.estimate(1000.0, 1, 0) is None  # unknown, not a number


@given(st.lists(SUMMARIES, min_size=3, max_size=3))
def test_one_of_three_reporters_can_not_push_the_estimate_beyond_the_others(
    summaries: list[RegionSummary],
) -> None:
    table = merged([RegionReport(n, 1, 0, 1, s.pack(), 0.0) for n, s in enumerate(summaries)])
    cell = table.estimate(0.0, 0, 0)
    assert cell is not None and cell.num_reporters == 3
    for estimate, name in ((cell.rtt, "rtt"), (cell.rtt_tail, "rtt_tail")):
        honest = [
            duration_from_code(c) if (c := getattr(s, name)) < 63 else float("inf") for s in summaries[:2]
        ]
        assert min(honest) <= estimate <= max(honest)
    rates = [6 * rate_from_code(s.rate) for s in summaries[:2]]
    assert min(rates) <= cell.rate <= max(rates)


@given(st.lists(REPORTS, max_size=60))
def test_encoding_round_trip(reports: list[RegionReport]) -> None:
    body, taken = encode(DIGEST, reports)
    assert len(body) <= MAX_BODY_BYTES and (taken or not reports)
    assert sorted(decode(body, DIGEST, 8, 3)) == sorted(reports[:taken])
    assert all(unpack(r.values).pack() == r.values for r in reports)


@given(st.binary(max_size=200))
def test_invalid_messages_raise_the_documented_error_only(body: bytes) -> None:
    for data in (body, DIGEST + body):
        try:
            found = decode(data, DIGEST, 8, 3)
        except RegionReportError:
            continue
        merged(found)


def test_quantization_error_is_within_the_documented_bounds() -> None:
    for n in range(1, 4000):
        assert duration_from_code(duration_code(n / 1000)) == pytest.approx(n / 1000, rel=0.075)
        assert rate_from_code(rate_code(float(n))) == pytest.approx(n, rel=0.13)
    assert all(
        fraction_from_code(fraction_code(n / 1000)) == pytest.approx(n / 1000, rel=0.25)
        for n in range(4, 1000)
    )
    assert fraction_from_code(fraction_code(0.0)) == 0.0


def test_histogram_decays() -> None:
    histogram = DecayingHistogram(60.0)
    for _ in range(100):
        histogram.add(0.0, 10)
    assert histogram.weight(120.0) == pytest.approx(25.0)
    for _ in range(30):
        histogram.add(120.0, 40)
    assert (histogram.quantile(0.4), histogram.quantile(0.5)) == (10, 40)
    histogram.add(1e6, 50)
    assert histogram.quantile(0.01) == 50 and histogram.weight(1e6) == pytest.approx(1.0)
