"""Service of hand-made records, compared with values computed by hand."""

from __future__ import annotations

import pytest

from ironrail.rehearsal.account.record import Ended, Outcome, Record
from ironrail.rehearsal.account.service import measure_service, quantiles
from ironrail.rehearsal.lateness import Lateness
from tests.rehearsal.facts import Story, planned, scenario

S = scenario()


def test_worth_in_time_late_and_never() -> None:
    record = Record()
    plan = [planned(0, 1.0), planned(1, 1.1), planned(2, 1.2), planned(3, 6.0, kind="entry")]
    Story(record, plan[0]).answer(1.79)  # wanted within 0.8
    Story(record, plan[1]).answer(1.95)  # late: 0.3 of its worth
    Story(record, plan[2]).answer(1.4, "busy")
    Story(record, plan[3]).answer(6.5, "HD")
    service = measure_service(record, S, plan)
    assert service.whole.asked == pytest.approx(3 * 3 + 8)
    assert service.whole.answered == pytest.approx(3 + 0.9 + 8)
    assert service.classes["grid-read"].share == pytest.approx(3.9 / 9)
    assert (service.whole.in_time, service.whole.late, service.whole.unserved) == (2, 1, 1)
    for name, share in (service.worst_window(20.0), service.worst(service.classes)):
        assert name in (0, "grid-read") and share == pytest.approx(3.9 / 9)
    assert service.outcomes == {"served": 3, "refused": 1}


def test_an_answer_after_the_give_up_time_is_worth_nothing() -> None:
    record = Record()
    plan = [planned(0, 1.0)]
    Story(record, plan[0]).answer(2.51)
    service = measure_service(record, S, plan)
    assert service.whole.answered == 0.0 and service.whole.unserved == 1


def test_retries_are_attributed_to_the_first_try() -> None:
    record = Record()
    plan = [planned(0, 1.0)]
    Story(record, plan[0]).answer(1.1, "busy")
    Story(record, plan[0], 1, sent_at=1.2).answer(1.75)
    service = measure_service(record, S, plan)
    assert (service.whole.first_tries, service.whole.in_time, service.retries) == (1, 1, 1)
    assert service.latencies["grid-read"][0.5] == pytest.approx(
        0.75
    )  # from the first try, not from the retry


def test_latency_counts_from_the_scheduled_time() -> None:
    record = Record()
    plan = [planned(0, 1.0)]
    Story(record, plan[0], sent_at=1.5).answer(1.9)  # sent late: a stalled loop gains nothing by it
    assert measure_service(record, S, plan).whole.in_time == 0


def test_worth_is_proportional_to_work() -> None:
    record = Record()
    plan = [planned(0, 1.0, work=0.11), planned(1, 1.1, work=0.33)]
    Story(record, plan[0]).answer(1.2)
    Story(record, plan[1]).answer(1.2, "failed")
    assert measure_service(record, S, plan).whole.share == pytest.approx(1 / 4)


def test_requests_beyond_a_titles_share_are_worth_less() -> None:
    text = "[load]\nrate = 10\nover_share_worth = 0.2\n[[class]]\nname = 'grid-read'\nshare = 1\n"
    conf = scenario(text + "[[title]]\nname = 'daily'\nshare = 1\n[[title]]\nname = 'junior'\nshare = 1\n")
    # 10/s of 0.11 s and a quarter more is 1.375 s per second, half of it for each title; 2 s of it at once
    record, plan = Record(), [planned(n, 1.0) for n in range(20)]
    for p in plan:
        Story(record, p).answer(1.1)
    service = measure_service(record, conf, plan)
    within = int(1.375 / 2 * 2 / 0.11)
    assert within == 12
    assert service.whole.asked == pytest.approx(3 * within + 0.6 * (20 - within))


def test_the_warm_up_does_not_count() -> None:
    record = Record()
    plan = [planned(0, -1.0), planned(1, 1.0)]
    for p in plan:
        Story(record, p).answer(p.at + 0.1)
    assert measure_service(record, S, plan).whole.first_tries == 1


def test_a_shortened_last_window_counts_only_above_the_minimum_length() -> None:
    record = Record()
    plan = [planned(0, 1.0), planned(1, 5.5)]
    Story(record, plan[0]).answer(1.1)
    Story(record, plan[1]).end(Outcome.UNANSWERED, 6.5)
    service = measure_service(record, S, plan)
    assert service.worst_window(6.0) == (0, 1.0)
    assert service.worst_window(7.0) == (1, 0.0)


@pytest.mark.parametrize(
    ("kind", "at", "ended", "kept_back"),
    [
        ("busy", 1.3, Ended.BUSY, False),  # may have waited in a queue until its wanted time
        ("busy", 1.8, Ended.BUSY, False),
        (
            "failed",
            2.0,
            Ended.ERROR,
            True,
        ),  # no attempt was open since 1.1, and an answer was no longer useful
        ("busy", 2.0, Ended.BUSY, True),
        ("busy", 2.0, Ended.LEFT, False),  # the time of its abandonment is unknown
        ("VA", 2.0, Ended.SERVED, False),
    ],
)
def test_failure_answers_held_back_without_reason(
    kind: str, at: float, ended: Ended, kept_back: bool
) -> None:
    record = Record()
    plan = [planned(0, 1.0)]
    story = Story(record, plan[0])
    story.one.due = 2.05
    story.attempt(1.0, ended=ended, until=1.1)
    story.answer(at, kind)
    assert measure_service(record, S, plan).kept_back == kept_back


def test_an_attempt_that_ended_just_before_explains_the_time() -> None:
    record = Record()
    plan = [planned(0, 1.0)]
    story = Story(record, plan[0])
    story.attempt(1.0, ended=Ended.ERROR, until=1.95)
    story.answer(2.0, "failed")
    assert measure_service(record, S, plan).kept_back == 0


def test_quantiles_by_nearest_rank() -> None:
    assert quantiles([]) == {}
    assert quantiles([5.0]) == {0.5: 5.0, 0.9: 5.0, 0.99: 5.0, 0.999: 5.0}
    assert quantiles([float(n) for n in range(1, 1001)]) == {0.5: 500, 0.9: 900, 0.99: 990, 0.999: 999}


def test_a_late_kit_gives_no_verdict() -> None:
    late = Lateness()
    for _ in range(98):
        late.add(0.0)
    assert late.too_late() == ""
    late.add(0.2)
    late.add(0.2)
    assert "one in a hundred" in late.too_late()
    late = Lateness([0.0] * 1000)
    late.add(0.3)
    assert "a send was 300 ms late" in late.too_late()
