"""Zone states by the list of servers, voters' turns, returned clients, and the status document."""

import math

import pytest

from ironrail.peers.steering.capacity import (
    ServerInfo,
    ServerInventory,
    accepting_zones,
    is_zone_cut_off,
    zone_states,
)
from ironrail.peers.steering.cost_model import ZoneState, ZoneStatus
from ironrail.peers.steering.migration import (
    RETURNED_CLIENT_SECONDS,
    MigrationCandidate,
    MigrationSelector,
    assign_zone,
)
from ironrail.peers.steering.proposal_schedule import STAGGER_SECONDS, ProposalSchedule
from ironrail.peers.steering.report_table import CellEstimate
from ironrail.peers.steering.status import NoRowsError, steering_status
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.report_table import UNKNOWN_LINK, LinkEstimate

ZONE_OF = ["a", "a", "b", "c"]


def cell(rate: float, age: float = 10.0) -> CellEstimate:
    return CellEstimate(0.03, math.inf, rate, 0.0, 0.0, ((0.02, 0.05, 1.0),), age, 2)


def inventory() -> ServerInventory:
    servers = ServerInventory()
    changes = {
        "s1": ServerInfo("a", 2.0, 0.0),
        "s2": ServerInfo("a", 1.0, 95.0),
        "s3": ServerInfo("b", 1.0, 95.0),
    }
    servers.update(True, changes.items())
    return servers


def test_capacity_load_and_status_of_zones() -> None:
    cells = {("", "a"): cell(5.0), ("north", "a"): cell(10.0), ("north", "c"): cell(1.0)}
    found = zone_states(100.0, ZONE_OF, inventory(), cells, 10.0, slow_start=10.0)
    assert found == {
        "a": ZoneState(30.0, 15.0, ZoneStatus.OPEN, 2),
        "b": ZoneState(10.0, 0.0, ZoneStatus.COLD, 1),  # its server has just started
        "c": ZoneState(0.0, 1.0, ZoneStatus.CLOSED, 1),  # none of its servers is in the list
    }
    assert (
        zone_states(106.0, ZONE_OF, inventory(), cells, 10.0, slow_start=10.0)["b"].status is ZoneStatus.OPEN
    )
    assert zone_states(100.0, ZONE_OF, inventory(), cells, 10.0, {"a"})["a"].status is ZoneStatus.CLOSED
    assert (
        zone_states(100.0, ZONE_OF, ServerInventory(), cells, 10.0)["c"].status is ZoneStatus.COLD
    )  # no list yet
    for unreachable in ({"is_cut_off": lambda zone: zone == "a"}, {"max_report_age": 9.0}):
        status = zone_states(100.0, ZONE_OF, inventory(), cells, 10.0, **unreachable)["a"].status
        assert status is ZoneStatus.COLD


def test_updates_replace_and_remove_servers() -> None:
    servers = inventory()
    servers.update(False, [("s1", None), ("s4", ServerInfo("c", 4.0, 0.0))])
    assert [servers.weight(zone) for zone in "abc"] == [1.0, 1.0, 4.0]
    servers.update(True, [("s4", ServerInfo("c", 5.0, 0.0))])
    assert [servers.weight(zone) for zone in "abc"] == [0.0, 0.0, 5.0]


def test_overloaded_cold_and_empty_zones_accept_no_clients() -> None:
    zones = {
        "a": ZoneState(10.0, 8.9),
        "b": ZoneState(10.0, 9.0),
        "c": ZoneState(9.0, 0.0, ZoneStatus.COLD),
        "d": ZoneState(0.0, 0.0),
    }
    assert accepting_zones(zones) == {"a": True, "b": False, "c": False, "d": False}


def test_a_zone_is_cut_off_if_more_than_half_of_its_known_links_are_cut() -> None:
    cut = {(0, 1), (1, 0), (0, 2)}

    def estimate(now: float, zone: int, to: int) -> LinkEstimate:
        if 3 in (zone, to):
            return UNKNOWN_LINK
        return LinkEstimate(
            MeasuredLinkState.CUT if (zone, to) in cut else MeasuredLinkState.WELL, 0.0, 0.0, 0.0, 1.0, 3
        )

    names = ["a", "b", "c", "d"]
    assert [is_zone_cut_off(estimate, names, lambda: 0.0, n) for n in names] == [True, False, False, False]


@pytest.mark.parametrize(("every", "voters"), [(60.0, 3), (60.0, 7), (5.0, 3), (600.0, 5)])
def test_voters_take_turns_and_never_propose_at_once(every: float, voters: int) -> None:
    schedules = [ProposalSchedule(0.0, n, voters, every) for n in range(voters)]
    min_distance = min(STAGGER_SECONDS, every / voters)
    turns = [
        (t / 10, n)
        for t in range(int(every * 30))
        for n, schedule in enumerate(schedules)
        if schedule.poll(t / 10)
    ]
    assert [n for _, n in turns[:voters]] == list(range(voters)) and turns[0][0] >= every
    assert all(b[0] - a[0] >= min_distance - 0.11 for a, b in zip(turns, turns[1:], strict=False))
    late = schedules[0]
    late.restart(1e4)
    assert (
        not late.poll(1e4 + every - 0.1)
        and late.poll(1e4 + 10.5 * every)
        and not late.poll(1e4 + 10.9 * every)
    )


def test_a_client_that_returned_after_its_migration_is_left_alone_for_a_while() -> None:
    row = {"here": 0.5, "there": 0.5}
    client = next(f"10.0.0.{n}" for n in range(99) if assign_zone(row, f"10.0.0.{n}") == "there")
    selector = MigrationSelector("here", 0.0)

    def is_selected(now: float, opened_at: float) -> bool:
        candidates = [MigrationCandidate(1, "north", client, False, 1.0, opened_at)]
        return selector.select(now, {"north": row}, candidates, {"there": True}) == [1]

    assert is_selected(10.0, 0.0)
    # Another connection that it opened before is migrated, too.
    assert not is_selected(20.0, 11.0) and is_selected(20.0, 5.0)
    assert not is_selected(9.0 + RETURNED_CLIENT_SECONDS, 11.0) and is_selected(
        11.0 + RETURNED_CLIENT_SECONDS, 11.0
    )


def test_status_document() -> None:
    found = steering_status(
        (7,), 3.21, {"north": {"a": 1.0}}, {("north", "a"): cell(10.0)}, {}, ("page",), 2.0
    )
    assert found["versions"] == [7] and found["age"] == 3.2 and found["rows"] == {"north": {"a": 1.0}}
    (one,) = found["cells"]
    assert one["round_trip_tail"] is None and one["age"] == 12.0 and one["in_time"] == 1.0
    assert one["service"] == {"page": {"typical": 0.02, "tail": 0.05, "share": 1.0}}
    errors = [str(NoRowsError.for_versions(*case)) for case in ((False, ()), (True, ()), (True, (3, 4)))]
    assert "no voters" in errors[0] and "no lease" in errors[1] and "3 and 4 has no rows" in errors[2]
