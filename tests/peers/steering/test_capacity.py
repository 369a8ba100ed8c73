"""Halls' room by the list of servers, whose turn it is, and who came back."""

import math

import pytest

from ironrail.peers.steering.capacity import Server, Servers, cut_off, halls_now, takes
from ironrail.peers.steering.migration import AGAIN, Carrier, Resting, place
from ironrail.peers.steering.cost_model import Hall, Standing
from ironrail.peers.steering.report_table import Cell
from ironrail.peers.steering.status import NoRowsError, tell
from ironrail.peers.steering.proposal_schedule import DELAY, Turn
from ironrail.peers.zone_latency.sight import Link
from ironrail.peers.zone_latency.table import NOTHING, Estimate

HALL_OF = ["a", "a", "b", "c"]


def cell(rate: float, age: float = 10.0) -> Cell:
    return Cell(0.03, math.inf, rate, 0.0, 0.0, ((0.02, 0.05, 1.0),), age, 2)


def listed() -> Servers:
    servers = Servers()
    news = {"s1": Server("a", 2.0, 0.0), "s2": Server("a", 1.0, 95.0), "s3": Server("b", 1.0, 95.0)}
    servers.take(True, news.items())
    return servers


def test_room_load_and_standing_of_halls() -> None:
    cells = {("", "a"): cell(5.0), ("north", "a"): cell(10.0), ("north", "c"): cell(1.0)}
    found = halls_now(100.0, HALL_OF, listed(), cells, 10.0, ramp=10.0)
    assert found == {
        "a": Hall(30.0, 15.0, Standing.OPEN, 2),
        "b": Hall(10.0, 0.0, Standing.COLD, 1),  # it has just started
        "c": Hall(0.0, 1.0, Standing.CLOSED, 1),  # none of its servers is in the list
    }
    assert halls_now(106.0, HALL_OF, listed(), cells, 10.0, ramp=10.0)["b"].standing is Standing.OPEN
    assert halls_now(100.0, HALL_OF, listed(), cells, 10.0, {"a"})["a"].standing is Standing.CLOSED
    assert halls_now(100.0, HALL_OF, Servers(), cells, 10.0)["c"].standing is Standing.COLD  # no list yet
    for unsure in ({"cut": lambda hall: hall == "a"}, {"silent": 9.0}):
        state = halls_now(100.0, HALL_OF, listed(), cells, 10.0, **unsure)["a"].standing
        assert state is Standing.COLD


def test_news_of_the_list_replace_and_remove() -> None:
    servers = listed()
    servers.take(False, [("s1", None), ("s4", Server("c", 4.0, 0.0))])
    assert [servers.weight(hall) for hall in "abc"] == [1.0, 1.0, 4.0]
    servers.take(True, [("s4", Server("c", 5.0, 0.0))])
    assert [servers.weight(hall) for hall in "abc"] == [0.0, 0.0, 5.0]


def test_nobody_is_brought_to_a_full_a_cold_or_an_unknown_hall() -> None:
    halls = {
        "a": Hall(10.0, 8.9),
        "b": Hall(10.0, 9.0),
        "c": Hall(9.0, 0.0, Standing.COLD),
        "d": Hall(0.0, 0.0),
    }
    assert takes(halls) == {"a": True, "b": False, "c": False, "d": False}


def test_a_hall_is_cut_off_where_more_than_half_of_the_known_links_are_cut() -> None:
    cut = {(0, 1), (1, 0), (0, 2)}

    def estimate(now: float, hall: int, to: int) -> Estimate:
        if 3 in (hall, to):
            return NOTHING
        return Estimate(Link.CUT if (hall, to) in cut else Link.WELL, 0.0, 0.0, 0.0, 1.0, 3)

    names = ["a", "b", "c", "d"]
    assert [cut_off(estimate, names, lambda: 0.0, n) for n in names] == [True, False, False, False]


@pytest.mark.parametrize(("every", "voters"), [(60.0, 3), (60.0, 7), (5.0, 3), (600.0, 5)])
def test_voters_look_in_turn_and_never_at_once(every: float, voters: int) -> None:
    turns = [Turn(0.0, n, voters, every) for n in range(voters)]
    apart = min(DELAY, every / voters)
    looks = [(t / 10, n) for t in range(int(every * 30)) for n, turn in enumerate(turns) if turn.due(t / 10)]
    assert [n for _, n in looks[:voters]] == list(range(voters)) and looks[0][0] >= every
    assert all(b[0] - a[0] >= apart - 0.11 for a, b in zip(looks, looks[1:], strict=False))
    late = turns[0]
    late.changed(1e4)
    assert (
        not late.due(1e4 + every - 0.1) and late.due(1e4 + 10.5 * every) and not late.due(1e4 + 10.9 * every)
    )


def test_who_came_back_after_it_was_let_go_is_left_alone_for_a_while() -> None:
    row = {"here": 0.5, "there": 0.5}
    client = next(f"10.0.0.{n}" for n in range(99) if place(row, f"10.0.0.{n}") == "there")
    carrier = Carrier("here", 0.0)

    def goes(now: float, opened: float) -> bool:
        resting = [Resting(1, "north", client, False, 1.0, opened)]
        return carrier.let_go(now, {"north": row}, resting, {"there": True}) == [1]

    assert goes(10.0, 0.0)
    assert not goes(20.0, 11.0) and goes(20.0, 5.0)  # another of its connections goes all the same
    assert not goes(9.0 + AGAIN, 11.0) and goes(11.0 + AGAIN, 11.0)


def test_what_fronts_are_told() -> None:
    found = tell((7,), 3.21, {"north": {"a": 1.0}}, {("north", "a"): cell(10.0)}, {}, ("page",), 2.0)
    assert found["versions"] == [7] and found["age"] == 3.2 and found["rows"] == {"north": {"a": 1.0}}
    (one,) = found["cells"]
    assert one["round_trip_tail"] is None and one["age"] == 12.0 and one["in_time"] == 1.0
    assert one["service"] == {"page": {"typical": 0.02, "tail": 0.05, "share": 1.0}}
    said = [str(NoRowsError.of(*case)) for case in ((False, ()), (True, ()), (True, (3, 4)))]
    assert "no voters" in said[0] and "no lease" in said[1] and "3 and 4 has no rows" in said[2]
