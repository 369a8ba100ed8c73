"""Rooms together: how far and how soon a fault is known, what it costs, what is handed out."""

import math
import random
import tracemalloc

import pytest

from ironrail.errors import InputError
from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.snapshot import HallLink, HallsSeen
from ironrail.peers.zone_latency.reports import Report, encode, pack
from ironrail.peers.zone_latency.protocol import LatencyRoom
from ironrail.peers.zone_latency.link_tracker import Link
from ironrail.peers.zone_latency.gossip_scheduler import OVERHEAD, RATE

from .fleet import NAMES, Fleet

WARM = 15.0


def alone(halls: int = 3, routers: int = 6) -> LatencyRoom:
    hall_of = [r % halls for r in range(routers)]
    return LatencyRoom(0.0, 0, 1, [f"h{n}" for n in range(halls)], hall_of, random.Random(1))


def told(room: LatencyRoom, now: float, *reports: Report) -> HallsSeen | None:
    room.on_message(now, Received(1, 1, encode(reports)[0]))
    room.on_timer(now)
    return room.facts()


def word(witness: int, sequence: int, code: int, state: Link = Link.WELL) -> Report:
    return Report(witness, 1, 1, sequence, pack(state, code, code, 0.0), 0.0)


@pytest.mark.parametrize(("loss", "times"), [(0.0, math.inf), (0.1, math.inf), (0.3, 10.0)])
def test_a_fault_is_known_to_all_within_three_seconds_of_the_first_who_sees_it(
    loss: float, times: float
) -> None:
    fleet = Fleet(60, loss=loss)
    fleet.run(WARM)
    assert set(fleet.states(0, 1)) == {Link.WELL}
    fleet.break_link(0, 1, times)
    seen, state = None, Link.CUT if times == math.inf else Link.SLOW
    while set(fleet.states(0, 1)) != {state}:
        fleet.run(0.1)
        if seen is None and any(room.evidence.state(1) is state for room in fleet.rooms[::3]):
            seen = fleet.now
        assert fleet.now < WARM + 20.0
    assert seen is not None and fleet.now - seen <= 3.0


def test_a_router_never_sends_more_than_its_rate() -> None:
    room, sent = alone(routers=200), 0
    draws = random.Random(2)
    for step in range(1, 2001):
        now = step * 0.01
        room.observe(now, draws.randrange(3), draws.choice([0.001, 0.5]))
        told(room, now, word(1 + 3 * (step % 60), step, draws.randrange(60), Link(1 + step % 3)))
        sent += sum(len(say.body) + OVERHEAD for say in room.take_outgoing())
    assert 0.5 * RATE * 20.0 < sent <= RATE * 20.0 + 256


def test_a_link_that_breaks_one_way_is_cut_for_both_and_others_are_not() -> None:
    fleet = Fleet(12)
    fleet.run(WARM)
    fleet.break_link(0, 1, math.inf, both=False)
    fleet.run(8.0)
    assert set(fleet.states(0, 1)) == set(fleet.states(1, 0)) == {Link.CUT}
    assert set(fleet.states(0, 2) + fleet.states(1, 2) + fleet.states(0, 0)) == {Link.WELL}
    fleet.break_link(0, 1, 1.0)
    fleet.run(10.0)
    assert set(fleet.states(0, 1)) == {Link.WELL}


def test_halls_that_are_cut_from_one_another_hear_of_it_through_a_third() -> None:
    fleet = Fleet(12)
    fleet.run(WARM)
    fleet.break_link(0, 2, math.inf)
    fleet.run(8.0)
    for a, b, state in ((0, 2, Link.CUT), (2, 0, Link.CUT), (0, 1, Link.WELL), (1, 2, Link.WELL)):
        assert set(fleet.states(a, b)) == {state}


def test_ten_times_slower_is_handed_out_once_with_its_figures() -> None:
    fleet = Fleet(12)
    fleet.run(WARM)
    fleet.rooms[0].facts()
    fleet.break_link(0, 1, 10.0)
    tables = []
    for _ in range(80):
        fleet.run(0.1)
        tables += [table for table in (fleet.rooms[0].facts(),) if table]
    link = tables[-1].links[1]
    assert (link.hall, link.state) == (NAMES[1], Link.SLOW) and 0.08 < link.typical < 0.13
    assert len(tables) <= 3 and [t.version for t in tables] == sorted({t.version for t in tables})
    assert link.age(fleet.now) < 10.0


def test_a_flapping_link_hands_out_few_tables() -> None:
    fleet = Fleet(12)
    fleet.run(WARM)
    tables, states = 0, {Link.WELL}
    for step in range(600):
        fleet.break_link(0, 1, math.inf if step % 40 < 20 else 1.0)
        fleet.run(0.1)
        table = fleet.rooms[0].facts()
        tables += table is not None
        states |= {table.links[1].state} if table else set()
    assert Link.CUT in states and tables <= 20


def test_figures_that_waver_are_not_handed_out_and_worse_goes_before_better() -> None:
    room = alone()
    first = told(room, 1.0, word(0, 1, 30), word(3, 1, 30))
    assert first is not None and first.links[1].state is Link.WELL and first.hall == "h0"
    for n in range(2, 20):
        assert told(room, n * 1.0, word(3, n, 30 + n % 2)) is None
    assert told(room, 30.0, word(3, 30, 33)) is not None  # 1.77 times
    cut = told(room, 30.5, word(3, 31, 33, Link.CUT))
    assert cut is not None and cut.links[1].state is Link.CUT
    assert told(room, 31.0, word(3, 32, 33)) is None
    assert told(room, 32.0, word(3, 33, 33)) is None
    calm = told(room, 33.1)
    assert calm is not None and calm.links[1].state is Link.WELL


def test_a_hall_nobody_speaks_of_is_handed_out_as_unknown_and_far() -> None:
    table = told(alone(), 1.0, word(3, 1, 0))
    assert table is not None
    for link in (table.links[0], table.links[2], HallLink("before anything was heard")):
        assert link.state is Link.UNKNOWN and link.typical == link.low == math.inf
        assert link.lost == 1.0 and link.age(1.0) == math.inf
    assert min(table.links, key=lambda link: link.typical).hall == "h1"


def test_a_restarted_witness_is_believed_anew_and_its_old_word_is_gone() -> None:
    fleet = Fleet(3)  # one witness a link
    fleet.run(WARM)
    fleet.break_link(0, 1, math.inf)
    fleet.run(6.0)
    assert set(fleet.states(0, 1)) == {Link.CUT}
    fleet.break_link(0, 1, 1.0)
    fleet.restart(0)
    fleet.run(6.0)
    assert set(fleet.states(0, 1)) == {Link.WELL}
    assert all(room.table.starts[0] == 2 for room in fleet.rooms)
    fleet.dead.add(0)
    fleet.run(7 * fleet.rooms[1].table.renewal)
    assert set(fleet.states(0, 1)) == {Link.UNKNOWN}


def test_nobody_tells_a_router_what_it_saw_and_rubbish_is_counted() -> None:
    room = alone()
    told(room, 1.0, word(0, 9, 30))
    assert room.estimate(1.0, 0, 1).witnesses == 0
    room.on_message(1.0, Received(1, 1, b"\xff" * 9))
    assert room.unusable == 1


def test_memory_is_bounded_with_a_thousand_routers_in_fifty_halls() -> None:
    tracemalloc.start()
    room = alone(halls=50, routers=1000)
    before = tracemalloc.get_traced_memory()[0]
    for witness in range(1, 1000):
        words = [word(witness, 1, 30)._replace(to=to, start=2**40) for to in range(50)]
        for part in (words[:25], words[25:]) if witness < 60 else ():  # more rumours than are kept
            room.on_message(1.0, Received(1, 1, encode(part)[0]))
        for report in words:
            room.table.merge(1.0, report)
    for to in range(50):
        for n in range(5):
            room.observe(1.0 + n, to, 0.01)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(room.table) == 50 * 50 * 5
    assert kept < 6e6, kept


def test_halls_that_cannot_be_kept_are_refused() -> None:
    for names, hall_of in ((["a", "a"], [0]), (["a"], [1]), ([str(n) for n in range(65)], [0]), ([], [])):
        with pytest.raises(InputError):
            LatencyRoom(0.0, 0, 1, names, hall_of, random.Random(1))
