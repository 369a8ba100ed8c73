"""Merging of reports: order, repetition and loss don't matter, and no reporter counts twice."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.report_table import (
    EXPIRED_REFRESHES,
    MAX_REPORTERS,
    STALE_REFRESHES,
    UNKNOWN_LINK,
    LinkReportChange,
    LinkReportTable,
    rank,
)
from ironrail.peers.zone_latency.reports import (
    MAX_BODY_BYTES,
    LinkReport,
    ReportError,
    decode,
    encode,
    pack_values,
    unpack_values,
)

ROUTER_ZONES = [0] * 8 + [1]
VALUES = st.builds(
    pack_values,
    st.sampled_from(MeasuredLinkState).filter(bool),
    st.integers(0, 63),
    st.integers(0, 63),
    st.just(0.2),
)
REPORTS = st.lists(
    st.builds(
        LinkReport,
        st.integers(0, 8),
        st.integers(0, 2),
        st.integers(0, 1),
        st.integers(0, 3),
        VALUES,
        st.sampled_from([0.0, 1.0, 61.0, 100.0, 130.0]),
    ),
    max_size=30,
)
StoredReports = dict[tuple[int, int], dict[int, tuple[int, int, int, float]]]


def contents(table: LinkReportTable) -> tuple[StoredReports, dict[int, int]]:
    stored_reports = {
        ends: {r: (s.incarnation, s.sequence, s.packed_values, s.evidence_at) for r, s in link.items()}
        for ends, link in table.links.items()
        if link
    }
    return stored_reports, table.incarnations


def table_of(*parts: list[LinkReport]) -> LinkReportTable:
    table = LinkReportTable(ROUTER_ZONES, 2)
    for report in itertools.chain(*parts):
        table.merge(200.0, report)
    return table


def reports_of(table: LinkReportTable) -> list[LinkReport]:
    """Return all reports of a table; incarnations reach other routers only with reports."""
    return [
        LinkReport(r, s.incarnation, to_zone, s.sequence, s.packed_values, 200.0 - s.evidence_at)
        for (_, to_zone), link in table.links.items()
        for r, s in link.items()
    ]


@given(REPORTS, st.randoms(use_true_random=False))
def test_order_and_repetition_do_not_matter(reports: list[LinkReport], draws: random.Random) -> None:
    shuffled = reports + draws.choices(reports, k=10) if reports else []
    draws.shuffle(shuffled)
    assert contents(table_of(reports)) == contents(table_of(shuffled))


@given(REPORTS, REPORTS, REPORTS)
def test_tables_merge_in_any_grouping(a: list[LinkReport], b: list[LinkReport], c: list[LinkReport]) -> None:
    left = table_of(
        reports_of(table_of(reports_of(table_of(a)), reports_of(table_of(b)))), reports_of(table_of(c))
    )
    right = table_of(
        reports_of(table_of(a)), reports_of(table_of(reports_of(table_of(c)), reports_of(table_of(b))))
    )
    assert contents(left)[0] == contents(right)[0] == contents(table_of(a, b, c))[0]


@given(REPORTS)
def test_the_table_is_bounded_and_no_reporter_counts_twice(reports: list[LinkReport]) -> None:
    table = table_of(reports, reports)
    for (from_zone, to_zone), link in table.links.items():
        assert len(link) <= MAX_REPORTERS
        assert table.estimate(200.0, from_zone, to_zone).num_reporters <= len(link)
    reported = {(ROUTER_ZONES[r.reporter], r.to_zone, r.reporter) for r in reports}
    assert len(table) <= len(reported)


def report(
    reporter: int,
    bucket: int,
    state: MeasuredLinkState = MeasuredLinkState.WELL,
    age: float = 0.0,
    **others: int,
) -> LinkReport:
    incarnation, sequence = others.get("incarnation", 1), others.get("sequence", 1)
    return LinkReport(reporter, incarnation, 1, sequence, pack_values(state, bucket, bucket, 0.0), age)


@given(st.lists(st.integers(0, 62), min_size=2, max_size=4), st.integers(0, 63), st.sampled_from([1, 2, 3]))
def test_one_wrong_reporter_moves_a_figure_only_within_the_range_of_the_others(
    correct: list[int], wrong: int, state: int
) -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    for reporter, bucket in enumerate(correct):
        table.merge(0.0, report(reporter, bucket))
    table.merge(0.0, report(7, wrong, MeasuredLinkState(state)))
    estimate = table.estimate(0.0, 0, 1)
    bounds = sorted(seconds for bucket in correct for seconds in (estimated_seconds(bucket),))
    assert bounds[0] <= estimate.median <= bounds[-1]
    assert estimate.state is MeasuredLinkState.WELL


def estimated_seconds(bucket: int) -> float:
    table = LinkReportTable(ROUTER_ZONES, 2)
    table.merge(0.0, report(0, bucket))
    return table.estimate(0.0, 0, 1).median


def test_with_two_reporters_a_wrong_one_hides_a_fault_but_does_not_invent_one() -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    table.merge(0.0, report(0, 20))
    table.merge(0.0, report(1, 60, MeasuredLinkState.CUT))
    assert table.estimate(0.0, 0, 1).state is MeasuredLinkState.WELL
    assert table.estimate(0.0, 0, 1).median == estimated_seconds(20)
    table.merge(0.0, report(0, 20, MeasuredLinkState.CUT, sequence=2))
    assert table.estimate(0.0, 0, 1).state is MeasuredLinkState.CUT


def test_a_newer_report_replaces_the_old_one_and_a_replaced_process_never_returns() -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    assert table.merge(0.0, report(0, 20, sequence=9)) is LinkReportChange.REFRESHED
    assert table.merge(0.0, report(0, 21, MeasuredLinkState.CUT, sequence=10)) is LinkReportChange.STATE
    assert table.merge(0.0, report(0, 20, sequence=9)) is LinkReportChange.NONE
    # sequence numbers start again
    assert table.merge(0.0, report(0, 20, incarnation=2)) is LinkReportChange.STATE
    assert table.merge(0.0, report(0, 60, MeasuredLinkState.CUT, sequence=99)) is LinkReportChange.NONE
    estimate = table.estimate(0.0, 0, 1)
    assert (estimate.state, estimate.num_reporters, estimate.median) == (
        MeasuredLinkState.WELL,
        1,
        estimated_seconds(20),
    )


def test_reports_of_a_replaced_process_are_not_used_even_on_links_without_a_new_report() -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    table.merge(0.0, report(0, 20, MeasuredLinkState.CUT))
    table.merge(0.0, report(0, 20, incarnation=2)._replace(to_zone=0))
    assert table.estimate(0.0, 0, 1) == UNKNOWN_LINK
    assert table.report(0.0, 0, 1) is None


def test_an_unknown_link_is_not_near() -> None:
    estimate = LinkReportTable(ROUTER_ZONES, 2).estimate(0.0, 0, 1)
    assert estimate.state is MeasuredLinkState.UNKNOWN and estimate.num_reporters == 0
    assert min(estimate.fastest, estimate.median, estimate.age) == float("inf") and estimate.loss_ratio == 1.0


def test_ages_travel_with_reports_and_expired_reports_do_not_return() -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    table.merge(100.0, report(0, 20, age=30.0))
    assert table.estimate(110.0, 0, 1).age == pytest.approx(40.0)
    forwarded = table.report(110.03, 0, 1)
    assert forwarded is not None
    (received,) = decode(encode([forwarded])[0], len(ROUTER_ZONES), 2)
    assert 39.95 <= received.age <= 40.03  # a hop takes off at most 0.05 s, and never adds
    # younger by the time on the way: the table keeps the older evidence
    assert table.merge(110.1, received) is LinkReportChange.NONE
    assert table.estimate(110.1, 0, 1).age == pytest.approx(40.1)
    late = 100.0 + EXPIRED_REFRESHES * table.refresh_interval
    assert table.estimate(late, 0, 1) == UNKNOWN_LINK
    assert (
        table.merge(late, report(0, 20, age=EXPIRED_REFRESHES * table.refresh_interval + 1))
        is LinkReportChange.NONE
    )
    table.remove_expired(late + EXPIRED_REFRESHES * table.refresh_interval)
    assert len(table) == 0


def test_stale_reporters_are_replaced_by_others() -> None:
    table = LinkReportTable(ROUTER_ZONES, 2)
    for reporter in range(8):
        table.merge(0.0, report(reporter, 20))
    first = sorted(range(8), key=lambda r: rank(r, 1))[:MAX_REPORTERS]
    assert set(table.links[0, 1]) == set(first)
    late = STALE_REFRESHES * table.refresh_interval + 1.0
    other = next(r for r in range(8) if r not in first)
    table.merge(late, report(other, 30, sequence=2))
    assert table.estimate(late, 0, 1).median == estimated_seconds(30)


@given(REPORTS)
def test_decoded_reports_equal_the_encoded_ones(reports: list[LinkReport]) -> None:
    body, num_encoded = encode(reports)
    assert len(body) <= MAX_BODY_BYTES
    received = decode(body, len(ROUTER_ZONES), 2)
    assert sorted(received) == sorted(r._replace(age=int(r.age / 0.05) * 0.05) for r in reports[:num_encoded])


@given(st.binary(max_size=40))
def test_a_malformed_message_is_rejected_as_a_whole(body: bytes) -> None:
    try:
        reports = decode(body, len(ROUTER_ZONES), 2)
    except ReportError:
        return
    for r in reports:
        assert (
            r.reporter < 9 and r.to_zone < 2 and unpack_values(r.packed_values)[0] > MeasuredLinkState.UNKNOWN
        )


def test_a_truncated_message_is_rejected() -> None:
    body, _ = encode([report(0, 20), report(0, 20)._replace(to_zone=0)])
    for end in range(1, len(body)):
        with pytest.raises(ReportError):
            decode(body[:end], len(ROUTER_ZONES), 2)
