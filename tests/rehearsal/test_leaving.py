"""Attempts for clients that disconnected, and announced waiting times, on hand-made records."""

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


def add_abandoned_try(
    record: Record, number: int, attempts: list[float], left: float = 1.2, excuse: str = CLIENT_LEFT
) -> Story:
    """Add a try whose client disconnected at `left`, with attempts at these times."""
    story = Story(record, planned(number))
    for at in attempts:
        story.attempt(at, ended=Ended.LEFT)
    story.one.left_at, story.one.excuse = left, excuse
    return story.end(Outcome.UNANSWERED, left)


def broken(record: Record) -> list[str]:
    return [v.what for v in find_violations(record, S) if v.rule == "gone-clients"]


@pytest.mark.parametrize(("count", "breaks"), [(2, 0), (3, 1), (5, 3)])
def test_late_attempts_after_a_close_are_violations_from_the_third_on(count: int, breaks: int) -> None:
    record = Record()
    for number in range(count):
        add_abandoned_try(record, number, [1.1, 1.45])  # a further attempt 0.25 s after the close
    assert len(broken(record)) == breaks
    assert len(attempts_after_departure(record, 0.0)) == count


@pytest.mark.parametrize(("at", "counts"), [(1.25, False), (1.29, False), (1.31, True)])
def test_an_attempt_may_begin_for_a_tenth_of_a_second(at: float, counts: bool) -> None:
    record = Record()
    add_abandoned_try(record, 0, [at])
    assert bool(attempts_after_departure(record, 0.0)) is counts


def test_attempts_of_excused_routers_or_unknown_time_do_not_count() -> None:
    record = Record()
    for number in range(4):
        add_abandoned_try(record, number, [1.1, 2.0], excuse="router-1 was sent SIGSTOP")
        add_abandoned_try(record, 10 + number, [1.1, 2.0]).one.attempts[-1].late = True
    assert not attempts_after_departure(record, 0.0) and not broken(record)


@pytest.mark.parametrize(("late", "waiting", "broken_"), [(4, 4, False), (5, 20, False), (5, 19, True)])
def test_late_first_attempts_above_a_quarter_are_violations(late: int, waiting: int, broken_: bool) -> None:
    """Each try of the record has at most one attempt."""
    record = Record()
    for number in range(waiting):
        add_abandoned_try(record, number, [1.65] if number < late else [])
    for number in range(100, 150):  # first attempt before the disconnect
        add_abandoned_try(record, number, [1.1])
    found = [what for _, _, what in abandoned_request_violations(record, 0.1) if "for the first time" in what]
    assert bool(found) is broken_


def add_overstated_wait(record: Record, number: int, beyond: float) -> None:
    """Add a miss and a further attempt that overstated the remaining time by `beyond` seconds."""
    story = Story(record, planned(number))
    story.attempt(1.0, ended=Ended.MISS).announced_wait = 5.0  # the first attempt is not judged
    story.attempt(1.5, "archive", Ended.SERVED).announced_wait = story.one.due - 1.5 + beyond
    story.answer(1.6)


@pytest.mark.parametrize(("beyond", "share", "breaks"), [(0.14, 1.0, 0), (0.16, 0.2, 0), (0.16, 0.3, 3)])
def test_further_attempts_that_announce_too_much_time(beyond: float, share: float, breaks: int) -> None:
    record = Record()
    for number in range(10):
        add_overstated_wait(record, number, beyond if number < 10 * share else 0.0)
    assert len([v for v in find_violations(record, S) if v.rule == "time-told"]) == breaks
    assert len(list(overstated_wait_violations(record))) == breaks


def test_an_answer_to_an_abandoned_try_is_no_violation() -> None:
    """The router can't know that the client abandoned it: other requests are open on the connection."""
    record = Record()
    story = Story(record, planned())
    story.attempt(1.0, ended=Ended.MISS)
    story.attempt(1.6, "archive", Ended.SERVED)
    story.one.excuse = CLIENT_LEFT
    story.end(Outcome.UNANSWERED, 1.2)
    story.answer(1.7)
    assert not find_violations(record, S)
