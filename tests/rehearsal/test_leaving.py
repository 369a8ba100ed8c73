"""Clients that have gone, and the time that servers are told: records made by hand, and a world played."""

from __future__ import annotations

import pytest

from ironrail.rehearsal.account.leaving import (
    abandoned_request_violations,
    attempts_after_departure,
    overstated_wait_violations,
)
from ironrail.rehearsal.account.record import CLIENT_LEFT, Ended, Outcome, Record
from ironrail.rehearsal.account.rules import find_violations
from tests.rehearsal.facts import Story, planned, scenario

S = scenario()


def gone(
    record: Record, number: int, attempts: list[float], left: float = 1.2, excuse: str = CLIENT_LEFT
) -> Story:
    """One that was left then, with attempts at these times."""
    story = Story(record, planned(number))
    for at in attempts:
        story.attempt(at, ended=Ended.LEFT)
    story.one.left_at, story.one.excuse = left, excuse
    return story.end(Outcome.UNANSWERED, left)


def broken(record: Record) -> list[str]:
    return [v.what for v in find_violations(record, S) if v.rule == "gone-clients"]


@pytest.mark.parametrize(("count", "breaks"), [(2, 0), (3, 1), (5, 3)])
def test_attempts_that_begin_after_the_close_break_from_the_third_on(count: int, breaks: int) -> None:
    record = Record()
    for number in range(count):
        gone(record, number, [1.1, 1.45])  # a further attempt 0.25 s after the close
    assert len(broken(record)) == breaks
    assert len(attempts_after_departure(record, 0.0)) == count


@pytest.mark.parametrize(("at", "counts"), [(1.25, False), (1.29, False), (1.31, True)])
def test_an_attempt_may_begin_for_a_tenth_of_a_second(at: float, counts: bool) -> None:
    record = Record()
    gone(record, 0, [at])
    assert bool(attempts_after_departure(record, 0.0)) is counts


def test_what_a_router_could_not_know_or_nobody_can_date_does_not_count() -> None:
    record = Record()
    for number in range(4):
        gone(record, number, [1.1, 2.0], excuse="router-1 was sent SIGSTOP")
        gone(record, 10 + number, [1.1, 2.0]).one.attempts[-1].late = True
    assert not attempts_after_departure(record, 0.0) and not broken(record)


@pytest.mark.parametrize(("late", "waiting", "broken_"), [(4, 4, False), (5, 20, False), (5, 19, True)])
def test_a_quarter_of_what_waited_for_its_first_attempt(late: int, waiting: int, broken_: bool) -> None:
    """On a record in which each is sent on once only: the others never were."""
    record = Record()
    for number in range(waiting):
        gone(record, number, [1.65] if number < late else [])
    for number in range(100, 150):  # had their first attempt before
        gone(record, number, [1.1])
    found = [what for _, _, what in abandoned_request_violations(record, 0.1) if "for the first time" in what]
    assert bool(found) is broken_


def told(record: Record, number: int, beyond: float) -> None:
    """A miss and a further attempt that told so much more than was left."""
    story = Story(record, planned(number))
    story.attempt(1.0, ended=Ended.MISS).told = 5.0  # the first is not judged
    story.attempt(1.5, "archive", Ended.SERVED).told = story.one.due - 1.5 + beyond
    story.answer(1.6)


@pytest.mark.parametrize(("beyond", "share", "breaks"), [(0.14, 1.0, 0), (0.16, 0.2, 0), (0.16, 0.3, 3)])
def test_what_further_attempts_tell(beyond: float, share: float, breaks: int) -> None:
    record = Record()
    for number in range(10):
        told(record, number, beyond if number < 10 * share else 0.0)
    assert len([v for v in find_violations(record, S) if v.rule == "time-told"]) == breaks
    assert len(list(overstated_wait_violations(record))) == breaks


def test_an_answer_to_a_try_that_was_left_on_a_connection_that_goes_on() -> None:
    """Its client wants it no more, and the router can't know: others are out on that connection."""
    record = Record()
    story = Story(record, planned())
    story.attempt(1.0, ended=Ended.MISS)
    story.attempt(1.6, "archive", Ended.SERVED)
    story.one.excuse = CLIENT_LEFT
    story.end(Outcome.UNANSWERED, 1.2)
    story.answer(1.7)
    assert not find_violations(record, S)
