"""Parts of a fleet rehearsal: the queue for list calls, replaced caches, corrupt lists, and counts."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ironrail.rehearsal.account.record import ListCall, ListCallOutcome, Record
from ironrail.rehearsal.fleet.counts import Counts, count, judge_fleet
from ironrail.rehearsal.losses.tap import Decided, Why
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.standins.call_queue import CallQueue
from ironrail.rehearsal.standins.warm_up import WarmUp
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.rehearsal.facts import Story, planned


@given(st.floats(0.5, 50), st.floats(0, 5), st.lists(st.floats(0, 0.5), min_size=1, max_size=60))
def test_a_desk_serves_in_turn_and_refuses_what_waited_too_long(
    rate: float, patience: float, gaps: list[float]
) -> None:
    queue, now, last = CallQueue(rate, patience), 0.0, 0.0
    for gap in gaps:
        now += gap
        ends, answered = queue.call(now)
        if answered:
            assert ends >= last + 1 / rate - 1e-9 and ends <= now + patience + 1 / rate + 1e-9
            last = ends
        else:
            assert ends == now + patience


def test_a_desk_works_off_what_it_refused() -> None:
    queue = CallQueue(1.0, 2.0)
    assert [queue.call(0.0)[1] for _ in range(10)] == [True] * 3 + [False] * 7
    assert queue.call(7.9) == (9.9, False)  # queued behind those seven
    assert queue.call(20.0) == (21.0, True)


def test_a_crowd_slows_a_desk() -> None:
    queue = CallQueue(10.0, 2.0)
    queue.slowdown = 10.0
    assert queue.call(0.0) == (1.0, True)


def test_what_a_cold_cache_is_sent_counts_by_who_knew() -> None:
    warm_up = WarmUp(capacity=1.0, cold=0.5, ramp=10.0, multiple=2.0, window=1.0)
    warm_up.start(0.0)
    warm_up.record_work(0.0, 0.4, informed=True)
    warm_up.record_work(0.1, 0.4, informed=False)
    assert 0.35 < warm_up.max_load_ratio < 0.41
    warm_up.record_work(2.0, 0.1, informed=True)
    assert warm_up.max_load_ratio < 0.41  # calls outside the window no longer count
    warm_up.start(5.0)
    assert warm_up.max_load_ratio == 0.0


def scenario(text: str) -> Scenario:
    return parse_scenario('summary = "x"\nlength = "8 s"\nwarm_up = "500 ms"\n' + text, "x.toml")


REPLACED = """
[load]
rate = 60
[caches]
count = 4
warm = "2 s"
[registry]
notice = "300 ms"
add = "200 ms"
spread = "50 ms"
[[fault]]
kind = "replace"
whom = "cache-2"
at = "1 s"
lasts = "500 ms"
"""


def test_a_machine_that_takes_a_place_has_another_id_and_is_listed_cold() -> None:
    played = run_virtual(scenario(REPLACED), 1)
    record = played.result.record
    assert not played.result.broken and not played.violations
    servers = Counter(a.server for one in record.tries.values() for a in one.attempts if a.last_at > 3.0)
    assert servers["cache-2-2"] > 20 and not servers["cache-2"]
    for router in record.routers:
        assert record.state_notices[router, "cache-2"][-1].state == "terminated"
        assert record.state_notices[router, "cache-2-2"][-1].state == "in_service"
    assert 0.0 < record.cold["cache-2-2", max(s for i, s in record.cold if i == "cache-2-2")] <= 1.0


def test_replaced_twice_it_has_a_third_id() -> None:
    again = REPLACED + '[[fault]]\nkind = "replace"\nwhom = "cache-2"\nat = "4 s"\nlasts = "500 ms"\n'
    record = run_virtual(scenario(again), 1).result.record
    assert ("router-1", "cache-2-3") in record.state_notices
    assert record.state_notices["router-1", "cache-2-2"][-1].state == "terminated"


ASKED = """
[load]
rate = 40
[routers]
count = 2
[caches]
count = 3
[registry]
asked = true
rate = 20.0
"""


def calls(text: str) -> Counter[ListCallOutcome]:
    played = run_virtual(scenario(ASKED + text), 1)
    assert not played.result.broken and not played.violations
    return Counter(call.ended for call in played.result.record.list_calls)


def test_routers_that_have_to_ask_are_told_and_watch() -> None:
    assert calls("") == {ListCallOutcome.TOLD: 2}  # the watches are open at the end


def test_a_crowded_list_refuses() -> None:
    crowd = '[[fault]]\nkind = "list-crowded"\nat = "0 s"\nlasts = "4 s"\nhard = 200\n'
    moved = '[[fault]]\nkind = "list-moves"\nat = "500 ms"\n'
    assert calls(crowd + moved)[ListCallOutcome.REFUSED] >= 1


def test_spoilt_answers_are_asked_for_again_until_one_can_be_used() -> None:
    for kind in ("list-cut", "list-spoilt"):
        spoilt = f'[[fault]]\nkind = "{kind}"\nat = "0 s"\nlasts = "3 s"\nhard = 1.0\n'
        told = calls(spoilt + '[[fault]]\nkind = "list-moves"\nat = "500 ms"\n')
        assert told[ListCallOutcome.SPOILT] >= 4 and told[ListCallOutcome.TOLD] >= 2


def test_counts_add_up() -> None:
    record = Record()
    Story(record, planned(0)).attempt(1.0)
    Story(record, planned(1)).answer(2.0, "busy")
    Story(record, planned(2, at=-1.0)).attempt(-1.0)  # in the warm-up
    request = next(one.request for one in record.tries.values() if one.planned.number == 1)
    for at in (0.0, 0.1, 0.2, 5.0):
        record.list_calls.append(ListCall(at, "router-1", True, ListCallOutcome.REFUSED))
    record.list_calls.append(ListCall(0.1, "router-2", False, ListCallOutcome.TOLD))
    counts = count(record, {request: Decided(0.0, why=Why.BUDGET)}, 3.0)
    assert (counts.first_tries, counts.attempts, counts.tries) == (2, 1, 2)
    assert counts.given_up == {str(Why.BUDGET): 1}
    assert (counts.peak_list_calls, counts.max_list_calls_per_router, counts.routers_listed) == (3, 4, 1)
    assert counts.list_calls == {"refused": 4, "told": 1}


def test_a_fleet_is_judged_by_its_bounds() -> None:
    conf = scenario("[routers]\ncount = 40\n")
    good = Counts(
        first_tries=10, attempts=20, peak_list_calls=20, max_cold_load=1.0, max_connections_per_cache=95
    )
    assert all(v.kept for v in judge_fleet(good, conf))
    bad = Counts(
        first_tries=10, attempts=40, peak_list_calls=21, max_cold_load=1.01, max_connections_per_cache=96
    )
    assert not any(v.kept for v in judge_fleet(bad, conf))
