"""What counts as refused, lost, late and large enough for a verdict, at each limit."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ironrail.rehearsal.account.answers import Answers, count_answer_outcomes
from ironrail.rehearsal.account.record import Attempt, Ended, Outcome, Record
from ironrail.rehearsal.account.rules import find_violations
from ironrail.rehearsal.account.service import measure_service
from ironrail.rehearsal.report.table import answers_line
from ironrail.rehearsal.verdicts import judge
from tests.rehearsal.facts import Story, planned, scenario

S = scenario()


def crowd(served: int, closed: int = 0) -> Record:
    """Return a record of served tries, followed by tries whose new connection was closed at once."""
    record = Record()
    for n in range(served + closed):
        story = Story(record, planned(n, at=1.0 + n / 1000))
        story.answer(1.5) if n < served else story.end(Outcome.CLOSED, 3.0 + n / 1000)
    return record


def broken(record: Record) -> list[tuple[str, str]]:
    return [(v.rule, v.request) for v in find_violations(record, S)]


@pytest.mark.parametrize(
    ("kind", "attempted", "refused"), [("failed", False, 1), ("failed", True, 0), ("cut-off", False, 0)]
)
def test_failed_without_an_attempt_counts_as_refused(kind: str, attempted: bool, refused: int) -> None:
    record = Record()
    story = Story(record, planned(kind="entry"))
    if attempted:
        story.attempt(1.0, ended=Ended.ERROR)
    story.answer(1.2, kind)
    assert count_answer_outcomes(record) == Answers(1, refused=refused, unsent_failed=refused)
    assert broken(record) == []


@pytest.mark.parametrize(
    ("served", "closed", "lost"), [(199, 1, 0), (198, 1, 1), (398, 2, 0), (397, 2, 1), (397, 3, 1), (0, 1, 1)]
)
def test_new_connections_that_were_closed(served: int, closed: int, lost: int) -> None:
    record = crowd(served, closed)
    counts = count_answer_outcomes(record)
    assert (counts.closed_new, counts.refused, counts.lost) == (closed - lost, closed - lost, lost)
    latest = [("one-answer", f"id-{served + closed - 1}-0")]
    assert broken(record) == latest * lost  # only those beyond the limit


@pytest.mark.parametrize("change", ["used before", "excused", "sent on", "unconnected"])
def test_tries_that_do_not_count_as_closed_new_connections(change: str) -> None:
    record = crowd(0, 1)
    (one,) = record.tries.values()
    match change:
        case "used before":
            one.first_on_connection = False
        case "excused":
            one.excuse = "killed"
        case "sent on":
            one.attempts.append(Attempt("cache-1", "router-1", False, 1.1, 1.1, False))
        case "unconnected":
            one.outcome = Outcome.UNCONNECTED
    counts = count_answer_outcomes(record)
    assert (counts.refused, counts.lost) == (0, change == "sent on")
    assert len(broken(record)) == counts.lost and counts.taken == (change != "unconnected")


def test_unconnected_tries_do_not_raise_the_allowed_number_of_closes() -> None:
    record = crowd(198, 1)
    Story(record, planned(500)).end(Outcome.UNCONNECTED, 1.5)
    assert count_answer_outcomes(record).lost == 1


@pytest.mark.parametrize(  # due at 1.9; lost beyond half a second and 0.1 s of the kit's own
    ("at", "answered", "lost"), [(1.9, 0.9, 0), (1.91, 0.0, 0), (2.49, 0.0, 0), (2.51, 0.0, 1)]
)
def test_a_late_answer_earns_nothing_and_a_later_one_is_lost(at: float, answered: float, lost: int) -> None:
    record, plan = Record(), [planned()]
    Story(record, plan[0]).answer(at)
    service = measure_service(record, S, plan)
    assert service.whole.answered == pytest.approx(answered)  # late_worth of 3, as 0.8 s were wanted
    assert [rule for rule, _ in broken(record)] == ["one-answer"] * lost
    assert service.answers.lost == lost


@pytest.mark.parametrize(
    ("names", "bound", "kept"), [(0.2, 0, True), (0.0, 0, True), (None, 0, False), (None, 1, True)]
)
def test_refusals_without_a_retry_time(names: float | None, bound: int, kept: bool) -> None:
    conf, record, plan = scenario(f"[bounds]\nuntimed = {bound}\n"), Record(), [planned()]
    Story(record, plan[0]).answer(1.2, "busy").one.answers[0].retry_after = names
    verdicts = judge(conf, measure_service(record, conf, plan), record, [], 0.0)
    (verdict,) = (v for v in verdicts if v.name == "refusals that name no time")
    assert (verdict.kept, verdict.measured, verdict.bound) == (kept, names is None, bound)


CLASSES = """
[[class]]
name = "grid-read"
share = 1
[[class]]
name = "prize-entry"
share = 1
worth = {worth}
repeats = "{repeats}"
[bounds]
worst_class = 0.5
"""


@pytest.mark.parametrize(
    ("reads", "worth", "repeats", "judged"),
    [
        (19, 0.1, "safe", True),  # one request of 20
        (20, 0.1, "safe", False),
        (60, 9.5, "safe", True),  # 9.5 of 189.5 in worth
        (60, 9.4, "safe", False),
        (57, 9.0, "safe", True),  # exactly a twentieth, despite rounding errors in the sum
        (60, 0.1, "never", True),
        (60, 0.1, "keyed", True),
    ],
)
def test_large_or_not_repeatable_classes_are_judged(
    reads: int, worth: float, repeats: str, judged: bool
) -> None:
    conf = scenario(CLASSES.format(worth=worth, repeats=repeats))
    record, plan = Record(), [planned(n, work=0.1) for n in range(reads)]
    for p in plan:
        Story(record, p).answer(1.1)
    plan.append(replace(planned(reads, kind="entry"), work=0.1))  # never served
    service = measure_service(record, conf, plan)
    assert (service.classes["grid-read"].judged, service.classes["prize-entry"].judged) == (True, judged)
    (verdict,) = (v for v in judge(conf, service, record, [], 0.0) if v.name == "worst class")
    assert (verdict.kept, verdict.note) == (not judged, "prize-entry" if judged else "grid-read")


@pytest.mark.parametrize(
    ("dailies", "juniors", "judged"), [(19, 1, True), (20, 1, False), (20, 30, False), (19, 30, True)]
)
def test_titles_that_are_large_inside_their_shares_are_judged(
    dailies: int, juniors: int, judged: bool
) -> None:
    text = "[load]\nrate = 10\n[bounds]\nworst_title = 0.5\n[[class]]\nname = 'grid-read'\nshare = 1\n"
    text += "[[title]]\nname = 'daily'\nshare = 1\n[[title]]\nname = 'junior'\nshare = 0.1\n"
    conf = scenario(text)  # of 'junior' two seconds of 0.125 s a second are inside its share: 2 requests
    record, plan = Record(), [planned(n, 1.0 + n / 5) for n in range(dailies)]
    for p in plan:
        Story(record, p).answer(p.at + 0.1)
    # the first of them uses up the share; those beyond it are worth less and are not `within`
    plan += [planned(100 + n, 1.0, title="junior", work=0.11 if n == 0 else 0.2) for n in range(juniors)]
    service = measure_service(record, conf, plan)
    assert service.titles["junior"].within == pytest.approx(3.0)
    assert (service.titles["daily"].judged, service.titles["junior"].judged) == (True, judged)
    (verdict,) = (v for v in judge(conf, service, record, [], 0.0) if v.name == "worst title")
    assert verdict.kept is not judged


def test_the_order_of_tries_does_not_change_the_counts() -> None:
    record, turned = crowd(197, 3), Record()
    turned.tries = dict(reversed(record.tries.items()))
    assert count_answer_outcomes(record) == count_answer_outcomes(turned)
    assert broken(record) == broken(turned)


def test_the_answers_line_of_the_report() -> None:
    assert answers_line(Answers(400, 7, 2, 1, 3, 4)) == (
        "of 400 tries taken: 7 refused (2 failed and never sent on, 1 new connections closed,"
        " 4 named no time), 3 lost"
    )
