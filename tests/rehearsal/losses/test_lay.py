"""Each lost request has one cause: by hand, moment by moment, and for any history at all."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.policy.events import AttemptStatus
from ironrail.rehearsal.account.record import Ended, Outcome, Record
from ironrail.rehearsal.account.service import measure_service
from ironrail.rehearsal.losses.lay import Causes, Laid, largest, lay
from ironrail.rehearsal.losses.tap import Decided, Sent, Why
from tests.rehearsal.facts import Story, planned, scenario

S = scenario()
START = 500.0  # of the load on the clock of decisions


def laid(record: Record, decided: dict[str, Decided]) -> Laid:
    tries = [one.planned for one in record.tries.values() if one.number == 0]
    return lay(measure_service(record, S, tries).losses, record, S, decided, START)


def cause_of(record: Record, decided: dict[str, Decided]) -> str:
    (cause,) = laid(record, decided).causes
    return cause


def decided(
    asked: float,
    *sent: tuple[float, str, float | None, AttemptStatus | None],
    waits: tuple[float, ...] = (),
    why: Why | None = None,
) -> Decided:
    """As a tap would have written it down, in seconds of the load."""
    attempts = {
        n: Sent(START + at, server, None if end is None else START + end, status)
        for n, (at, server, end, status) in enumerate(sent)
    }
    return Decided(START + asked, attempts, [START + at for at in waits], why=why)


ONE = "id-0-0"


def test_a_server_that_said_nothing_to_anybody() -> None:
    record = Record()
    story = Story(record, planned())
    story.attempt(1.01)
    story.answer(1.9, "failed")
    told = {ONE: decided(1.0, (1.0, "cache-1", 1.9, AttemptStatus.TIMEOUT), why=Why.TIME)}
    assert cause_of(record, told) == Causes.SILENT


def test_a_server_that_answered_others_meanwhile_was_slow() -> None:
    record = Record()
    other = Story(record, planned(1, 1.2))
    other.attempt(1.2, ended=Ended.SERVED, until=1.3)
    other.answer(1.3)
    story = Story(record, planned())
    story.attempt(1.01)
    story.answer(1.9, "failed")
    told = {ONE: decided(1.0, (1.0, "cache-1", 1.9, AttemptStatus.TIMEOUT), why=Why.TIME)}
    assert cause_of(record, told) == Causes.SLOW
    story.one.attempts[0].behind = True
    assert cause_of(record, told) == Causes.BEHIND


def test_a_connection_that_never_came_up() -> None:
    record = Record()
    Story(record, planned()).answer(1.9, "busy")
    told = {ONE: decided(1.0, (1.0, "cache-1", 1.8, AttemptStatus.CONNECT_FAILED), why=Why.TIME)}
    assert cause_of(record, told) == Causes.DIAL


def test_the_time_at_the_archive_and_before_it() -> None:
    record = Record()
    story = Story(record, planned())
    story.attempt(1.01, ended=Ended.MISS, until=1.05)
    story.attempt(1.7, "archive", ended=Ended.SERVED, until=2.0)
    story.answer(2.0)
    sends = ((1.0, "cache-1", 1.05, AttemptStatus.MISS), (1.7, "archive", 2.0, AttemptStatus.OK))
    assert cause_of(record, {ONE: decided(1.0, *sends, waits=(1.05,))}) == Causes.ARCHIVE_WAIT
    early = ((1.0, "cache-1", 1.05, AttemptStatus.MISS), (1.06, "archive", 2.0, AttemptStatus.OK))
    story.one.attempts[1].last_at = 1.07
    assert cause_of(record, {ONE: decided(1.0, *early, waits=(1.05,))}) == Causes.ARCHIVE


@pytest.mark.parametrize(
    "why", [Why.SHED, Why.LIMIT, Why.COLD, Why.REST, Why.BUDGET, Why.ATTEMPTS, Why.ARCHIVE]
)
def test_what_ends_a_try_has_the_time_until_the_next(why: Why) -> None:
    record = Record()
    Story(record, planned()).answer(1.01, "busy")
    second = Story(record, planned(), 1, sent_at=1.6)
    second.attempt(1.61, ended=Ended.SERVED, until=2.1)
    second.answer(2.1)
    told = {ONE: decided(1.0, why=why), "id-0-1": decided(1.6, (1.6, "cache-1", 2.1, AttemptStatus.OK))}
    assert cause_of(record, told) == why


def test_a_reply_that_was_lost_where_the_module_may_not_ask_again() -> None:
    record = Record()
    plan = planned(kind="entry")
    story = Story(record, plan)
    story.attempt(1.01, "cache-2", ended=Ended.RESET, until=1.2)
    story.answer(1.2, "failed")
    told = {ONE: decided(1.0, (1.0, "cache-2", 1.2, AttemptStatus.RESET), why=Why.UNSAFE)}
    assert cause_of(record, told) == Causes.LOST


@pytest.mark.parametrize(
    ("outcome", "excuse", "cause"),
    [
        (Outcome.UNCONNECTED, "", Causes.PLACE),
        (Outcome.CLOSED, "", Causes.PLACE),
        (Outcome.UNCONNECTED, "router-1 was sent SIGKILL", Causes.ROUTER_DOWN),
        (Outcome.UNANSWERED, "", Causes.ROUTER),
    ],
)
def test_what_no_module_ever_heard_of(outcome: Outcome, excuse: str, cause: str) -> None:
    record = Record()
    story = Story(record, planned()).end(outcome, 1.9)
    story.one.excuse = excuse
    assert cause_of(record, {}) == cause


def test_work_that_no_server_does_in_time() -> None:
    record = Record()
    story = Story(record, planned(work=1.5))
    story.attempt(1.01, ended=Ended.SERVED, until=2.2)
    story.answer(2.2)
    assert cause_of(record, {ONE: decided(1.0, (1.0, "cache-1", 2.2, AttemptStatus.OK))}) == Causes.HEAVY


def test_of_two_that_are_equal_the_earlier_has_it() -> None:
    assert largest([(1.0, 2.0, "first"), (2.0, 3.0, "second")]) == "first"
    assert largest([(1.0, 2.0, "a"), (2.0, 2.6, "b"), (2.6, 3.2, "a"), (3.2, 3.3, "b")]) == "a"
    assert largest([]) == Causes.CLIENT


moments = st.floats(0.0, 3.0)


@given(
    st.lists(
        st.tuples(
            moments, moments, moments, st.sampled_from(Ended), st.sampled_from(["cache-1", "archive"]),
            st.sampled_from([*Why, None]), st.sampled_from(Outcome), st.booleans(),
        ),
        max_size=12,
    )
)  # fmt: skip
def test_whatever_happened_the_parts_add_up_to_the_loss(histories: list[tuple[float, ...]]) -> None:
    record, told = Record(), {}
    for number, (sent, came, over, ended, server, why, outcome, heard) in enumerate(histories):
        story = Story(record, planned(number, sent))
        story.attempt(sent + came, str(server), ended, sent + came + over)  # type: ignore[arg-type]
        story.end(outcome, sent + over)  # type: ignore[arg-type]
        if heard:
            told[story.one.request] = decided(
                sent,
                (sent, str(server), sent + over, AttemptStatus.TIMEOUT),
                waits=(sent + came,),
                why=why,  # type: ignore[arg-type]
            )
    found = laid(record, told)
    service = measure_service(record, S, [one.planned for one in record.tries.values()])
    assert found.whole == pytest.approx(service.whole.asked - service.whole.answered)
    assert sum(found.causes.values()) == pytest.approx(found.whole)
    assert sum(found.requests.values()) == len(service.losses)
    windows = [worth for window in found.windows.values() for worth in window.values()]
    assert sum(windows) == pytest.approx(found.whole)
