"""The rules on hand-made records: what violates them, and what does not."""

from __future__ import annotations

import pytest

from ironrail.rehearsal.account.record import CacheCollapse, Ended, Outcome, Record
from ironrail.rehearsal.account.rules import find_violations
from tests.rehearsal.facts import Story, planned, scenario

S = scenario()


def rules(record: Record) -> list[tuple[str, str]]:
    return [(v.rule, v.what) for v in find_violations(record, S)]


def served(record: Record) -> Story:
    story = Story(record, planned())
    story.attempt(1.0, ended=Ended.SERVED, until=1.2)
    return story.answer(1.21)


def test_a_served_request_breaks_nothing() -> None:
    record = Record()
    served(record)
    assert rules(record) == []


def test_a_second_answer() -> None:
    record = Record()
    served(record).answer(1.3)
    assert rules(record) == [("one-answer", "answered twice")]


@pytest.mark.parametrize(("at", "broken"), [(2.49, False), (2.51, True)])
def test_a_late_answer(
    at: float, broken: bool
) -> None:  # due at 1.9; tolerances of 0.5 and, for the kit, 0.1
    record = Record()
    Story(record, planned()).answer(at)
    assert [r for r, _ in rules(record)] == ["one-answer"] * broken


@pytest.mark.parametrize(
    ("outcome", "attempted", "excuse", "broken"),
    [
        (Outcome.UNANSWERED, False, "", True),
        (Outcome.UNANSWERED, True, "", True),
        (Outcome.UNANSWERED, True, "killed", False),
        (Outcome.CLOSED, True, "", True),
        (Outcome.CLOSED, True, "killed", False),
        (Outcome.CLOSED, False, "", False),  # on a reused connection, sent as the router closed it
        (Outcome.UNCONNECTED, False, "", False),  # no router accepted it
    ],
)
def test_a_missing_answer_breaks_one_answer_unless_excused(
    outcome: Outcome, attempted: bool, excuse: str, broken: bool
) -> None:
    record = Record()
    story = Story(record, planned())
    if attempted:
        story.attempt(1.0)
    story.one.excuse, story.one.first_on_connection = excuse, False
    story.end(outcome, 2.0)
    assert [r for r, _ in rules(record)] == ["one-answer"] * broken


def test_a_value_of_another_request() -> None:
    record = Record()
    Story(record, planned()).answer(1.1, request="id-9-0")
    assert rules(record) == [("own-value", "given the answer of id-9-0")]


def test_a_value_that_no_server_produced() -> None:
    record = Record()
    Story(record, planned()).answer(1.1, value=b"other")
    assert rules(record) == [("own-value", "given a value that no server made for it")]


@pytest.mark.parametrize(
    ("at", "late", "broken"), [(1.3, False, False), (1.4, False, True), (1.4, True, False)]
)
def test_an_attempt_after_the_answer(at: float, late: bool, broken: bool) -> None:
    record = Record()
    story = served(record)
    story.attempt(at, "cache-2").late = late
    assert [r for r, _ in rules(record)] == ["one-answer"] * broken


@pytest.mark.parametrize(
    ("first", "until", "broken"),
    [
        (Ended.BUSY, 1.1, False),
        (Ended.MISS, 1.1, False),
        (Ended.BUSY, 1.5, True),  # the end is known only after the second attempt
        (Ended.ERROR, 1.1, True),
        (Ended.RESET, 1.1, True),
        (Ended.SPOILT, 1.1, True),
        (Ended.LEFT, 1.1, True),
        (Ended.OPEN, None, True),
    ],
)
def test_an_unsafe_write_sent_again(first: Ended, until: float | None, broken: bool) -> None:
    record = Record()
    story = Story(record, planned(kind="entry"))
    story.attempt(1.0, "archive", first, until)
    story.attempt(1.2, "archive", Ended.SERVED, 1.3)
    story.answer(1.31, "HD")
    assert [r for r, _ in rules(record)] == ["no-second-effect"] * broken


def test_a_write_that_took_effect_twice() -> None:
    record = Record()
    story = Story(record, planned(kind="hint"))
    for at in (1.0, 1.2):
        story.attempt(at, "archive", Ended.SERVED).effect_at = at
    story.answer(1.3, "HD")
    assert rules(record) == [("no-second-effect", "took effect 2 times")]


@pytest.mark.parametrize(("at", "broken"), [(3.6, False), (3.7, True)])  # a window of 2.5 s from 1.0
def test_a_keyed_write_after_its_window(at: float, broken: bool) -> None:
    record = Record()
    story = Story(record, planned(kind="hint"))
    story.attempt(1.0, "archive", Ended.ERROR)
    story.attempt(at, "archive")
    assert [r for r, _ in rules(record)] == ["no-second-effect"] * broken


def test_a_read_may_be_repeated_at_any_server() -> None:
    record = Record()
    story = Story(record, planned())
    for at in (1.0, 1.1, 1.2):
        story.attempt(at, "cache-2", Ended.RESET)
    story.answer(1.3, "busy")
    assert rules(record) == []


def test_more_attempts_than_allowed() -> None:
    record = Record()
    story = Story(record, planned())
    for at in (1.0, 1.1, 1.2, 1.3):
        story.attempt(at)
    assert rules(record) == [("protocol", "4 attempts")]


@pytest.mark.parametrize(
    ("kind", "ended", "until", "broken"),
    [
        ("entry", Ended.BUSY, 1.1, False),
        ("entry", Ended.ERROR, 1.1, True),
        ("entry", Ended.OPEN, None, True),
        ("hint", Ended.ERROR, 1.1, False),
        ("read", Ended.ERROR, 1.1, False),
    ],
)
def test_a_refusal_of_a_request_that_may_have_been_executed(
    kind: str, ended: Ended, until: float | None, broken: bool
) -> None:
    record = Record()
    story = Story(record, planned(kind=kind))
    story.attempt(1.0, "archive", ended, until)
    story.answer(1.2, "busy")
    assert [r for r, _ in rules(record)] == ["no-second-effect"] * broken


@pytest.mark.parametrize(
    ("told", "at", "broken"),
    [
        ([(1.0, "terminating")], 2.1, False),
        ([(1.0, "terminating")], 2.2, True),
        ([(1.0, "terminated")], 2.2, True),
        ([(1.0, "terminating"), (3.0, "terminated")], 3.5, True),  # one period without a second grace
        ([(1.0, "terminating"), (3.0, "in_service")], 3.5, False),
        ([(1.0, "terminating"), (3.0, "in_service"), (4.0, "terminated")], 4.5, False),
        ([(5.0, "terminating")], 2.2, False),
        ([], 2.2, False),
    ],
)
def test_an_attempt_at_a_draining_server_after_the_grace(
    told: list[tuple[float, str]], at: float, broken: bool
) -> None:
    record = Record()
    for when, state in told:
        record.add_state_notice("router-1", "cache-1", state, when)
        record.add_state_notice("router-2", "cache-1", "terminated", 0.0)  # a notice to another router
    Story(record, planned(at=at)).attempt(at)
    assert [r for r, _ in rules(record)] == ["drains"] * broken


def test_an_attempt_of_unknown_sending_time_breaks_no_drain_rule() -> None:
    record = Record()
    record.add_state_notice("router-1", "cache-1", "terminated", 0.0)
    Story(record, planned(at=5.0)).attempt(5.0).late = True
    assert rules(record) == []


def test_collapses_and_strays_are_reported_in_order_of_time() -> None:
    record = Record()
    record.collapses.append(CacheCollapse(3.0, "cache-2", 9.0, 4.0, 8.0))
    record.stray(2.0, "cache-1", "a probe")
    assert [r for r, _ in rules(record)] == ["protocol", "cold"]


def test_a_violation_comes_with_the_whole_history() -> None:
    record = Record()
    story = Story(record, planned(kind="entry"))
    story.attempt(1.0, "archive", Ended.RESET, 1.05).effect_at = 1.04
    story.attempt(1.2, "archive", Ended.SERVED, 1.3)
    story.answer(1.31, "HD")
    (violation,) = find_violations(record, S)
    text = "\n".join(violation.history)
    assert violation.request == "id-0-0"
    assert "reset at 1.050, took effect at 1.040" in text
    assert [line.split()[0] for line in violation.history] == ["1.000", "1.000", "1.200", "1.310", "1.310"]


def test_the_number_of_stored_strays_is_limited() -> None:
    record = Record()
    for n in range(100_000):
        record.stray(float(n), "cache-1", "noise")
    assert (len(record.strays), record.stray_count) == (1000, 100_000)


@pytest.mark.parametrize("attempted", [False, True])
def test_a_request_unanswered_when_its_router_is_killed_is_lost(attempted: bool) -> None:
    """Guards against counting a request unanswered at SIGKILL as sent to a connection being closed."""
    record = Record()
    story = Story(record, planned())
    if attempted:
        story.attempt(1.0)
    story.one.first_on_connection = False
    story.one.killed_at = 1.5
    story.end(Outcome.CLOSED, 1.51)
    found = [("one-answer", "unanswered when its router was killed, as it had not ended")]
    assert rules(record) == found
