"""The laws of the map: order, repeats and loss don't matter, and no evidence counts twice."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.zone_latency.reports import MOST_BODY, Report, ReportError, decode, encode, pack, unpack
from ironrail.peers.zone_latency.link_tracker import Link
from ironrail.peers.zone_latency.report_table import EXPIRED, NOTHING, STALE, WITNESSES, Change, Table, rank

HALL_OF = [0] * 8 + [1]
VALUES = st.builds(
    pack, st.sampled_from(Link).filter(bool), st.integers(0, 63), st.integers(0, 63), st.just(0.2)
)
REPORTS = st.lists(
    st.builds(
        Report,
        st.integers(0, 8),
        st.integers(0, 2),
        st.integers(0, 1),
        st.integers(0, 3),
        VALUES,
        st.sampled_from([0.0, 1.0, 61.0, 100.0, 130.0]),
    ),
    max_size=30,
)
Words = dict[tuple[int, int], dict[int, tuple[int, int, int, float]]]


def words(table: Table) -> tuple[Words, dict[int, int]]:
    found = {
        place: {w: (h.start, h.sequence, h.values, h.born) for w, h in link.items()}
        for place, link in table.links.items()
        if link
    }
    return found, table.starts


def made(*parts: list[Report]) -> Table:
    table = Table(HALL_OF, 2)
    for report in itertools.chain(*parts):
        table.merge(200.0, report)
    return table


def told(table: Table) -> list[Report]:
    """All of a map, as another would hear it; starts travel only with words."""
    return [
        Report(w, h.start, to, h.sequence, h.values, 200.0 - h.born)
        for (_, to), link in table.links.items()
        for w, h in link.items()
    ]


@given(REPORTS, st.randoms(use_true_random=False))
def test_order_and_repeats_do_not_matter(reports: list[Report], draws: random.Random) -> None:
    again = reports + draws.choices(reports, k=10) if reports else []
    draws.shuffle(again)
    assert words(made(reports)) == words(made(again))


@given(REPORTS, REPORTS, REPORTS)
def test_maps_join_in_any_grouping(a: list[Report], b: list[Report], c: list[Report]) -> None:
    left = made(told(made(told(made(a)), told(made(b)))), told(made(c)))
    right = made(told(made(a)), told(made(told(made(c)), told(made(b)))))
    assert words(left)[0] == words(right)[0] == words(made(a, b, c))[0]


@given(REPORTS)
def test_bounded_and_no_witness_counts_twice(reports: list[Report]) -> None:
    table = made(reports, reports)
    for (hall, to), link in table.links.items():
        assert len(link) <= WITNESSES
        assert table.estimate(200.0, hall, to).witnesses <= len(link)
    told_by = {(HALL_OF[r.witness], r.to, r.witness) for r in reports}
    assert len(table) <= len(told_by)


def report(witness: int, code: int, state: Link = Link.WELL, age: float = 0.0, **more: int) -> Report:
    start, sequence = more.get("start", 1), more.get("sequence", 1)
    return Report(witness, start, 1, sequence, pack(state, code, code, 0.0), age)


@given(st.lists(st.integers(0, 62), min_size=2, max_size=4), st.integers(0, 63), st.sampled_from([1, 2, 3]))
def test_one_liar_moves_a_figure_only_among_what_others_say(honest: list[int], lie: int, state: int) -> None:
    table = Table(HALL_OF, 2)
    for witness, code in enumerate(honest):
        table.merge(0.0, report(witness, code))
    table.merge(0.0, report(7, lie, Link(state)))
    got = table.estimate(0.0, 0, 1)
    bounds = sorted(seconds for code in honest for seconds in (table_seconds(code),))
    assert bounds[0] <= got.typical <= bounds[-1]
    assert got.state is Link.WELL


def table_seconds(code: int) -> float:
    alone = Table(HALL_OF, 2)
    alone.merge(0.0, report(0, code))
    return alone.estimate(0.0, 0, 1).typical


def test_with_two_witnesses_a_liar_hides_but_does_not_invent() -> None:
    table = Table(HALL_OF, 2)
    table.merge(0.0, report(0, 20))
    table.merge(0.0, report(1, 60, Link.CUT))
    assert table.estimate(0.0, 0, 1).state is Link.WELL
    assert table.estimate(0.0, 0, 1).typical == table_seconds(20)
    table.merge(0.0, report(0, 20, Link.CUT, sequence=2))
    assert table.estimate(0.0, 0, 1).state is Link.CUT


def test_a_witness_replaces_its_word_and_its_old_process_never_returns() -> None:
    table = Table(HALL_OF, 2)
    assert table.merge(0.0, report(0, 20, sequence=9)) is Change.RENEWED
    assert table.merge(0.0, report(0, 21, Link.CUT, sequence=10)) is Change.STATE
    assert table.merge(0.0, report(0, 20, sequence=9)) is Change.NONE
    assert table.merge(0.0, report(0, 20, start=2)) is Change.STATE  # sequences begin anew
    assert table.merge(0.0, report(0, 60, Link.CUT, sequence=99)) is Change.NONE
    got = table.estimate(0.0, 0, 1)
    assert (got.state, got.witnesses, got.typical) == (Link.WELL, 1, table_seconds(20))


def test_words_of_a_replaced_process_are_not_read_even_of_links_the_new_one_is_silent_on() -> None:
    table = Table(HALL_OF, 2)
    table.merge(0.0, report(0, 20, Link.CUT))
    table.merge(0.0, report(0, 20, start=2)._replace(to=0))
    assert table.estimate(0.0, 0, 1) == NOTHING
    assert table.report(0.0, 0, 1) is None


def test_nothing_known_is_not_near() -> None:
    got = Table(HALL_OF, 2).estimate(0.0, 0, 1)
    assert got.state is Link.UNKNOWN and got.witnesses == 0
    assert min(got.low, got.typical, got.age) == float("inf") and got.lost == 1.0


def test_ages_travel_and_old_evidence_goes_for_good() -> None:
    table = Table(HALL_OF, 2)
    table.merge(100.0, report(0, 20, age=30.0))
    assert table.estimate(110.0, 0, 1).age == pytest.approx(40.0)
    passed_on = table.report(110.03, 0, 1)
    assert passed_on is not None
    (heard,) = decode(encode([passed_on])[0], len(HALL_OF), 2)
    assert 39.95 <= heard.age <= 40.03  # a hop takes off at most a step of 0.05 s, and never adds
    assert table.merge(110.1, heard) is Change.NONE  # younger by its way: the map keeps the older
    assert table.estimate(110.1, 0, 1).age == pytest.approx(40.1)
    late = 100.0 + EXPIRED * table.renewal
    assert table.estimate(late, 0, 1) == NOTHING
    assert table.merge(late, report(0, 20, age=EXPIRED * table.renewal + 1)) is Change.NONE
    table.sweep(late + EXPIRED * table.renewal)
    assert len(table) == 0


def test_witnesses_that_fell_silent_make_room() -> None:
    table = Table(HALL_OF, 2)
    for witness in range(8):
        table.merge(0.0, report(witness, 20))
    first = sorted(range(8), key=lambda w: rank(w, 1))[:WITNESSES]
    assert set(table.links[0, 1]) == set(first)
    late = STALE * table.renewal + 1.0
    other = next(w for w in range(8) if w not in first)
    table.merge(late, report(other, 30, sequence=2))
    assert table.estimate(late, 0, 1).typical == table_seconds(30)


@given(REPORTS)
def test_messages_say_what_was_told(reports: list[Report]) -> None:
    body, taken = encode(reports)
    assert len(body) <= MOST_BODY
    heard = decode(body, len(HALL_OF), 2)
    assert sorted(heard) == sorted(r._replace(age=int(r.age / 0.05) * 0.05) for r in reports[:taken])


@given(st.binary(max_size=40))
def test_what_is_no_message_is_refused_whole(body: bytes) -> None:
    try:
        found = decode(body, len(HALL_OF), 2)
    except ReportError:
        return
    for r in found:
        assert r.witness < 9 and r.to < 2 and unpack(r.values)[0] > Link.UNKNOWN


def test_a_message_that_breaks_off_is_refused() -> None:
    body, _ = encode([report(0, 20), report(0, 20)._replace(to=0)])
    for end in range(1, len(body)):
        with pytest.raises(ReportError):
            decode(body[:end], len(HALL_OF), 2)
